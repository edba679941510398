#include "fuzzing/support/check.hpp"
#include "platform/json_item_decoder.hpp"

#include <array>
#include <boost/asio/ip/address.hpp>
#include <boost/json.hpp>

namespace yuccashift::fuzzing {
namespace {

    namespace json = boost::json;

    constexpr std::array<const char*, 9> fields { "service", "address", "zone", "version", "slots", "state", "coldRemainingMs", "born", "sequence" };

    /** Returns a JSON value of any type, as a faulty writer might have stored it. */
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

    /** A server entry that is damaged field by field and byte by byte. */
    class DamagedEntries {
    public:
        explicit DamagedEntries(std::string_view mutant)
            : m_mutant(mutant)
        {
        }

        std::optional<std::string> apply(const Step& step)
        {
            const auto* field = fields[pick(step.a, fields.size())];
            switch (pick(step.action, 5)) {
            case 0:
                m_entry = validEntry();
                break;
            case 1:
                m_entry.erase(field);
                break;
            case 2:
            case 3:
                m_entry[field] = anyValue(step);
                break;
            default:
                return checkDecoding(damageBytes(step));
            }
            return checkDecoding(json::serialize(m_entry));
        }

    private:
        static json::object validEntry()
        {
            return { { "service", "draft" }, { "address", "10.0.0.9:8080" }, { "zone", "hall" }, { "version", "v1" }, { "slots", 64 }, { "state", "ready" }, { "coldRemainingMs", 0 }, { "born", 1 }, { "sequence", 4 } };
        }

        std::string damageBytes(const Step& step) const
        {
            auto text = json::serialize(m_entry);
            const auto at = pick(step.a, text.size());
            if (step.b % 2 == 0)
                text.resize(at);
            else
                text[at] = static_cast<char>(step.c);
            return text;
        }

        /** Checks that exactly the entries with a valid value in every required field decode to a server. */
        std::optional<std::string> checkDecoding(const std::string& text) const
        {
            const auto item = platform::JsonItemDecoder().decode("servers/i-1", text);
            const auto* entry = std::get_if<ServerEntry>(&item);
            if (!entry && !std::holds_alternative<InvalidItem>(item))
                return "a server's entry was taken for something else";
            json::error_code ec;
            const auto parsed = json::parse(text, ec);
            const auto* object = ec ? nullptr : parsed.if_object();
            const bool usable = object && isValid(*object);
            const bool taken = entry != nullptr || m_mutant == "spoiled entries are taken";
            if (taken && !usable)
                return "a spoiled entry names a server: " + text;
            if (!taken && usable)
                return "a whole entry names no server: " + text;
            return std::nullopt;
        }

        static bool isValid(const json::object& entry)
        {
            Endpoint endpoint;
            const auto text = [&](const char* name) { const auto* it = entry.if_contains(name); return it && it->is_string() ? std::optional(std::string(it->get_string())) : std::nullopt; };
            const auto state = text("state");
            const auto address = text("address");
            return text("service") && text("zone") && address && parseEndpoint(*address, endpoint) && isAddress(endpoint) && (state == "ready" || state == "draining")
                && (text("version") || isNumber(entry, "version")) && isInteger(entry, "slots", 1, true) && isInteger(entry, "born", 0, false)
                && isInteger(entry, "sequence", 0, true) && isNonNegative(entry, "coldRemainingMs");
        }

        static bool isInteger(const json::object& entry, const char* name, std::int64_t minimum, bool required)
        {
            const auto* it = entry.if_contains(name);
            if (!it)
                return !required;
            if (it->is_uint64())
                return true;
            if (it->is_double())
                return it->get_double() == static_cast<double>(static_cast<std::int64_t>(it->get_double())) && it->get_double() >= static_cast<double>(minimum);
            return it->is_int64() && it->get_int64() >= minimum;
        }

        static bool isAddress(const Endpoint& endpoint)
        {
            boost::system::error_code ec;
            const auto address = boost::asio::ip::make_address(endpoint.host, ec);
            return !ec && !address.is_unspecified() && endpoint.port != 0;
        }

        static bool isNumber(const json::object& entry, const char* name)
        {
            const auto* it = entry.if_contains(name);
            return it && it->is_number();
        }

        static bool isNonNegative(const json::object& entry, const char* name)
        {
            return isNumber(entry, name) && entry.at(name).to_number<double>() >= 0;
        }

        std::string m_mutant;
        json::object m_entry = validEntry();
    };

    class EntriesCheck final : public Check {
    public:
        std::vector<std::string> mutants() const override { return { "spoiled entries are taken" }; }

        std::optional<std::string> run(std::span<const Step> steps, std::string_view mutant) override
        {
            DamagedEntries damagedEntries(mutant);
            for (const auto& step : steps) {
                if (auto violation = damagedEntries.apply(step))
                    return violation;
            }
            return std::nullopt;
        }
    };

    const Registrar<Check, EntriesCheck> registeredEntries { "entries" };

} // namespace
} // namespace yuccashift::fuzzing
