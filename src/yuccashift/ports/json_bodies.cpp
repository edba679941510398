#include "yuccashift/ports/json_bodies.hpp"

#include <algorithm>
#include <boost/json.hpp>
#include <charconv>

namespace yuccashift::detail {

namespace json = boost::json;

namespace {

    constexpr int hexBase = 16;

    /** Parses the body. Any exception of Boost.JSON or of the parser becomes MalformedRequest. */
    template <typename Parser>
    auto parseBody(std::string_view body, const char* what, Parser&& parser) -> Result<decltype(parser(std::declval<const json::object&>()))>
    {
        try {
            const auto value = json::parse(body);
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
        if (object.contains("models")) {
            for (const auto& model : object.at("models").as_array())
                report.models.push_back(toModel(model.as_object()));
        }
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
        for (const auto& item : object.at("documents").as_array()) {
            const auto& document = item.as_object();
            listing.documents.push_back({ requiredString(document, "service"), numberOrZero<Revision>(document, "revision") });
        }
        return listing;
    });
}

Result<InstanceListing> parseListing(std::string_view body)
{
    return parseBody(body, "instance list", [](const json::object& object) {
        InstanceListing listing;
        for (const auto& item : object.at("instances").as_array())
            listing.instances.push_back(toInstance(item.as_object()));
        if (!object.contains("backends"))
            return listing;
        for (const auto& item : object.at("backends").as_array()) {
            const auto& backend = item.as_object();
            listing.backends.push_back({ requiredString(backend, "service"), requiredString(backend, "name"), optionalString(backend, "state") == "leaving" });
        }
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
        for (const auto& item : object.at("events").as_array())
            events.push_back(toEvent(item.as_object()));
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
