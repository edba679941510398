#include "yuccashift/ports/json_bodies.hpp"

#include "yuccashift/kernel/log.hpp"

#include <algorithm>
#include <boost/json.hpp>
#include <charconv>

namespace yuccashift::detail {

namespace json = boost::json;

namespace {

    constexpr int hexBase = 16;

    void logUnusableEntry(std::string_view list, std::string_view reason)
    {
        logWarning("an entry is not usable and left out", { { "list", list }, { "reason", reason } });
    }

    /** Copies a body without those entries of its lists that are no JSON by themselves or nested too deeply. */
    class UsableEntries {
    public:
        UsableEntries(std::string_view body, const char* what)
            : m_body(body)
            , m_what(what)
        {
        }

        std::string copy()
        {
            for (std::size_t n = 0; n < m_body.size(); ++n)
                read(n);
            return std::move(m_out);
        }

    private:
        /** Depth of the entries: those of a list that is a field of the body. */
        static constexpr std::size_t entryDepth = 2;

        void read(std::size_t n)
        {
            const char it = m_body[n];
            const bool between = m_inList && m_depth == entryDepth && !m_inText;
            if (between && (it == ',' || it == ']')) {
                endEntry(n);
                m_inList = it == ',';
                m_depth -= m_inList ? 0 : 1;
                if (!m_inList)
                    m_out += it;
                return;
            }
            if (!m_inList)
                m_out += it;
            if (m_inText)
                return readText(it);
            if (it == '"')
                m_inText = true;
            else if (it == '[' || it == '{')
                begin(it, n);
            else if (it == ']' || it == '}')
                m_depth -= std::min<std::size_t>(m_depth, 1);
        }

        void readText(char it)
        {
            m_inText = m_escaped || it != '"';
            m_escaped = !m_escaped && it == '\\';
        }

        void begin(char it, std::size_t n)
        {
            if (++m_depth != entryDepth || it != '[')
                return;
            m_inList = true;
            m_isFirst = true;
            m_entryBegin = n + 1;
        }

        void endEntry(std::size_t end)
        {
            const auto entry = m_body.substr(m_entryBegin, end - m_entryBegin);
            m_entryBegin = end + 1;
            if (entry.find_first_not_of(" \t\r\n") == std::string_view::npos)
                return;
            json::error_code ec;
            json::parse(entry, ec);
            if (ec)
                return logUnusableEntry(m_what, ec.message());
            m_out.append(m_isFirst ? "" : ",").append(entry);
            m_isFirst = false;
        }

        std::string_view m_body;
        const char* m_what;
        std::string m_out;
        std::size_t m_depth = 0;
        std::size_t m_entryBegin = 0;
        bool m_inList = false;
        bool m_isFirst = true;
        bool m_inText = false;
        bool m_escaped = false;
    };

    json::value parseUsable(std::string_view body, const char* what)
    {
        json::error_code ec;
        auto value = json::parse(body, ec);
        return ec ? json::parse(UsableEntries(body, what).copy()) : value;
    }

    /** Decodes each entry of a list. One that is not usable does not hide the others. */
    template <typename Decode>
    void forEachEntry(const json::value& list, std::string_view what, Decode decode)
    {
        for (const auto& it : list.as_array()) {
            try {
                decode(it.as_object());
            } catch (const std::exception& e) {
                logUnusableEntry(what, e.what());
            }
        }
    }

    /** Parses the body. Any exception of Boost.JSON or of the parser becomes MalformedRequest. */
    template <typename Parser>
    auto parseBody(std::string_view body, const char* what, Parser&& parser) -> Result<decltype(parser(std::declval<const json::object&>()))>
    {
        try {
            const auto value = parseUsable(body, what);
            return parser(value.as_object());
        } catch (const std::exception& e) {
            return fail(ErrorKind::MalformedRequest, std::string(what) + ": " + e.what());
        }
    }

    std::string requiredString(const json::object& object, std::string_view key)
    {
        return json::value_to<std::string>(object.at(key));
    }

    std::string optionalString(const json::object& object, std::string_view key)
    {
        return object.contains(key) ? requiredString(object, key) : std::string();
    }

    template <typename Number>
    Number numberOrZero(const json::object& object, std::string_view key)
    {
        return object.contains(key) ? object.at(key).to_number<Number>() : Number {};
    }

    Endpoint requiredEndpoint(const json::object& object, std::string_view key)
    {
        Endpoint endpoint;
        if (!parseEndpoint(requiredString(object, key), endpoint))
            throw std::invalid_argument("not an address in " + std::string(key));
        return endpoint;
    }

    ListedInstance toInstance(const json::object& object)
    {
        ListedInstance instance;
        instance.instance = requiredString(object, "instance");
        instance.region = requiredString(object, "region");
        instance.datacentre = requiredString(object, "datacentre");
        instance.callerEndpoint = requiredEndpoint(object, "callers");
        instance.peerEndpoint = requiredEndpoint(object, "peers");
        instance.leaving = optionalString(object, "state") == "leaving";
        return instance;
    }

    ModelSpec toModel(const json::object& object)
    {
        ModelSpec model { requiredString(object, "name"), optionalString(object, "version"), {} };
        if (object.contains("adapters"))
            model.adapters = json::value_to<std::vector<std::string>>(object.at("adapters"));
        return model;
    }

    BackendRole toRole(const std::string& word)
    {
        if (word == "prefill")
            return BackendRole::Prefill;
        return word == "decode" ? BackendRole::Decode : BackendRole::Both;
    }

    LoadReport toReport(const json::object& object)
    {
        LoadReport report;
        report.sequence = numberOrZero<std::uint64_t>(object, "sequence");
        report.running = numberOrZero<std::uint32_t>(object, "running");
        report.waiting = numberOrZero<std::uint32_t>(object, "waiting");
        report.queuedTokens = numberOrZero<std::uint64_t>(object, "queued_tokens");
        report.prefillTokensPerSecond = numberOrZero<double>(object, "prefill_tokens_per_second");
        report.decodeTokensPerSecond = numberOrZero<double>(object, "decode_tokens_per_second");
        report.highestFencingToken = numberOrZero<std::uint64_t>(object, "fence");
        report.leaving = object.contains("leaving") && object.at("leaving").as_bool();
        report.role = toRole(optionalString(object, "role"));
        if (object.contains("models"))
            forEachEntry(object.at("models"), "models", [&](const json::object& it) { report.models.push_back(toModel(it)); });
        return report;
    }

    CacheEvent toEvent(const json::object& object)
    {
        CacheEvent event;
        event.sequence = numberOrZero<std::uint64_t>(object, "sequence");
        event.stored = requiredString(object, "kind") == "stored";
        const auto hex = requiredString(object, "block");
        const auto parsed = std::from_chars(hex.data(), hex.data() + hex.size(), event.blockHash, hexBase);
        if (parsed.ec != std::errc() || parsed.ptr != hex.data() + hex.size())
            throw std::invalid_argument("not a block hash");
        return event;
    }

} // namespace

Result<ConfigListing> parseConfigListing(std::string_view body)
{
    return parseBody(body, "configuration listing", [](const json::object& object) {
        ConfigListing listing { numberOrZero<std::uint64_t>(object, "index"), {} };
        forEachEntry(object.at("documents"), "documents", [&](const json::object& document) { listing.documents.push_back({ requiredString(document, "service"), numberOrZero<Revision>(document, "revision") }); });
        return listing;
    });
}

Result<InstanceListing> parseListing(std::string_view body)
{
    return parseBody(body, "instance list", [](const json::object& object) {
        InstanceListing listing;
        forEachEntry(object.at("instances"), "instances", [&](const json::object& it) { listing.instances.push_back(toInstance(it)); });
        if (!object.contains("backends"))
            return listing;
        forEachEntry(object.at("backends"), "backends", [&](const json::object& it) {
            listing.backends.push_back({ requiredString(it, "service"), requiredString(it, "name"), optionalString(it, "state") == "leaving" });
        });
        return listing;
    });
}

Result<LoadReport> parseLoadReport(std::string_view body)
{
    return parseBody(body, "load report", toReport);
}

Result<std::vector<CacheEvent>> parseCacheEvents(std::string_view body)
{
    return parseBody(body, "cache events", [](const json::object& object) {
        std::vector<CacheEvent> events;
        forEachEntry(object.at("events"), "cache events", [&](const json::object& it) { events.push_back(toEvent(it)); });
        return events;
    });
}

std::string formatOrder(const EngineOrder& order)
{
    const json::object body {
        { "kind", toString(order.kind) },
        { "fence", order.fencingToken },
        { "model", order.model },
        { "version", order.version },
        { "adapter", order.adapter },
        { "role", toString(order.role) },
    };
    return json::serialize(body);
}

} // namespace yuccashift::detail
