#include "fuzzing/support/check.hpp"
#include "platform/json_item_decoder.hpp"

#include <array>
#include <boost/json.hpp>

namespace yuccashift::fuzzing {
namespace {

    namespace json = boost::json;

    constexpr std::array<const char*, 9> fields { "service", "address", "zone", "version", "slots", "state", "coldRemainingMs", "born", "sequence" };

    /** A value that some writer might have left. */
    json::value anyValue(const Step& step)
    {
        switch (pick(step.b, 9)) {
        case 0:
            return nullptr;
        case 1:
            return static_cast<std::int64_t>(step.c) - 100;
        case 2:
            return step.c + 0.5;
        case 3:
            return step.c % 2 == 0;
        case 4:
            return json::array { step.c };
        case 5:
            return json::object { { "state", "ready" } };
        case 6:
            return json::string(step.c % 64, static_cast<char>(step.c));
        case 7:
            return step.c % 2 == 0 ? "draining" : "resting";
        default:
            return json::string(std::to_string(step.c % 256) + ".0.0.1:" + std::to_string(step.c));
        }
    }

    /** An entry that other writers change field by field and byte by byte. */
    class SpoiledEntries {
    public:
        explicit SpoiledEntries(std::string_view mutant)
            : m_mutant(mutant)
        {
        }

        std::optional<std::string> apply(const Step& step)
        {
            const auto* field = fields[pick(step.a, fields.size())];
            switch (pick(step.action, 5)) {
            case 0:
                m_entry = good();
                break;
            case 1:
                m_entry.erase(field);
                break;
            case 2:
            case 3:
                m_entry[field] = anyValue(step);
                break;
            default:
                return judge(spoilBytes(step));
            }
            return judge(json::serialize(m_entry));
        }

    private:
        static json::object good()
        {
            return { { "service", "draft" }, { "address", "10.0.0.9:8080" }, { "zone", "hall" }, { "version", "v1" }, { "slots", 64 }, { "state", "ready" }, { "coldRemainingMs", 0 }, { "born", 1 }, { "sequence", 4 } };
        }

        std::string spoilBytes(const Step& step) const
        {
            auto text = json::serialize(m_entry);
            const auto at = pick(step.a, text.size());
            if (step.b % 2 == 0)
                text.resize(at);
            else
                text[at] = static_cast<char>(step.c);
            return text;
        }

        /** A usable entry has everything that a request needs, as it was written. */
        std::optional<std::string> judge(const std::string& text) const
        {
            const auto item = platform::JsonItemDecoder().decode("servers/i-1", text);
            const auto* entry = std::get_if<ServerEntry>(&item);
            if (!entry && !std::holds_alternative<InvalidItem>(item))
                return "a server's entry was taken for something else";
            json::error_code ec;
            const auto parsed = json::parse(text, ec);
            const auto* object = ec ? nullptr : parsed.if_object();
            const bool usable = object && isWhole(*object);
            const bool taken = entry != nullptr || m_mutant == "spoiled entries are taken";
            if (taken && !usable)
                return "a spoiled entry names a server: " + text;
            if (!taken && usable)
                return "a whole entry names no server: " + text;
            return std::nullopt;
        }

        static bool isWhole(const json::object& entry)
        {
            Endpoint endpoint;
            const auto text = [&](const char* name) { const auto* it = entry.if_contains(name); return it && it->is_string() ? std::optional(std::string(it->get_string())) : std::nullopt; };
            const auto state = text("state");
            const auto address = text("address");
            return text("service") && text("zone") && address && parseEndpoint(*address, endpoint) && (state == "ready" || state == "draining")
                && isWholeNumber(entry, "slots", 1, true) && isWholeNumber(entry, "born", 0, false) && isNumber(entry, "coldRemainingMs");
        }

        static bool isWholeNumber(const json::object& entry, const char* name, std::int64_t least, bool required)
        {
            const auto* it = entry.if_contains(name);
            if (!it || it->is_null())
                return !required;
            if (it->is_uint64())
                return true;
            if (it->is_double())
                return it->get_double() == static_cast<double>(static_cast<std::int64_t>(it->get_double())) && it->get_double() >= static_cast<double>(least);
            return it->is_int64() && it->get_int64() >= least;
        }

        static bool isNumber(const json::object& entry, const char* name)
        {
            const auto* it = entry.if_contains(name);
            return !it || it->is_null() || (it->is_number() && it->to_number<double>() >= 0);
        }

        std::string m_mutant;
        json::object m_entry = good();
    };

    class EntriesCheck final : public Check {
    public:
        std::vector<std::string> mutants() const override { return { "spoiled entries are taken" }; }

        std::optional<std::string> run(std::span<const Step> steps, std::string_view mutant) override
        {
            SpoiledEntries world(mutant);
            for (const auto& step : steps) {
                if (auto broken = world.apply(step))
                    return broken;
            }
            return std::nullopt;
        }
    };

    const Registrar<Check, EntriesCheck> registeredEntries { "entries" };

} // namespace
} // namespace yuccashift::fuzzing
