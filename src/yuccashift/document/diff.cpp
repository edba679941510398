#include "yuccashift/document/diff.hpp"

#include <sstream>

namespace yuccashift {

namespace {

    using Fields = std::map<std::string, std::string>;

    /** Collects field values under a common path prefix. */
    class FieldWriter {
    public:
        FieldWriter(std::string path, Fields& fields)
            : m_path(std::move(path))
            , m_fields(fields)
        {
        }

        template <typename Value>
        void put(const std::string& key, const Value& value)
        {
            std::ostringstream out;
            out << std::boolalpha << value;
            m_fields[m_path + key] = out.str();
        }

        void put(const std::string& key, milliseconds value)
        {
            put(key, value.count());
        }

        void put(const std::string& key, const std::vector<std::string>& names)
        {
            std::string text;
            for (const auto& name : names)
                text += (text.empty() ? "" : ", ") + name;
            m_fields[m_path + key] = "[" + text + "]";
        }

        FieldWriter section(const std::string& key) const { return { m_path + key + ".", m_fields }; }
        FieldWriter item(const std::string& key, const std::string& name) const { return section(key + "[" + name + "]"); }

    private:
        std::string m_path;
        Fields& m_fields;
    };

    void write(FieldWriter out, const ModelSpec& model)
    {
        out.put("version", model.version);
        out.put("adapters", model.adapters);
    }

    void write(FieldWriter out, const BackendSpec& backend)
    {
        out.put("region", backend.region);
        out.put("datacentre", backend.datacentre);
        out.put("address", toString(backend.address));
        out.put("fence", toString(backend.fence));
        out.put("role", toString(backend.role));
        out.put("slots", backend.slots);
        out.put("models", backend.models);
        out.put("software_version", backend.softwareVersion);
    }

    void write(FieldWriter out, const RouteSpec& route)
    {
        out.put("method", route.method);
        out.put("path", route.path);
        out.put("idempotent", route.idempotent);
        out.put("priority", toString(route.priority));
        out.put("deadline_ms", route.deadline);
    }

    void write(FieldWriter out, const LimitSpec& limits)
    {
        out.put("requests_per_second", limits.requestsPerSecond);
        out.put("tokens_per_second", limits.tokensPerSecond);
        out.put("concurrency", limits.concurrency);
    }

    void write(FieldWriter out, const OrganisationSpec& organisation)
    {
        out.put("credential_sha256", organisation.credentialHashes);
        out.put("residency", organisation.residency);
        out.put("weight", organisation.weight);
        write(out.section("limits"), organisation.limits);
    }

    void write(FieldWriter out, const RetrySpec& retry)
    {
        out.put("attempts", retry.attempts);
        out.put("budget_percent", retry.budgetPercent);
    }

    void write(FieldWriter out, const HedgeSpec& hedge)
    {
        out.put("after_ms", hedge.after);
        out.put("budget_percent", hedge.budgetPercent);
    }

    void write(FieldWriter out, const SpillSpec& spill)
    {
        out.put("mode", toString(spill.mode));
        out.put("cost_ms", spill.cost);
        out.put("hysteresis_percent", spill.hysteresisPercent);
    }

    void write(FieldWriter out, const PrefixCacheSpec& cache)
    {
        out.put("block_tokens", cache.blockTokens);
        out.put("trust_percent", cache.trustPercent);
    }

    template <typename Item>
    void writeItems(const FieldWriter& out, const std::string& key, const std::vector<Item>& items)
    {
        for (const auto& item : items)
            write(out.item(key, item.name), item);
    }

    Fields fieldsOf(const Document& document)
    {
        Fields fields;
        FieldWriter out("", fields);
        out.put("service", document.service);
        out.put("owner", document.owner);
        out.put("revision", document.revision);
        out.put("deleted", document.deleted);
        out.put("kind", toString(document.kind));
        out.put("path_prefix", document.pathPrefix);
        out.put("regions", document.regions);
        out.put("queue_limit", document.queueLimit);
        writeItems(out, "models", document.models);
        writeItems(out, "backends", document.backends);
        writeItems(out, "routes", document.routes);
        writeItems(out, "organisations", document.organisations);
        write(out.section("retry"), document.retry);
        write(out.section("hedge"), document.hedge);
        write(out.section("spill"), document.spill);
        write(out.section("prefix_cache"), document.prefixCache);
        return fields;
    }

} // namespace

std::vector<Difference> differences(const Document& before, const Document& after)
{
    const auto oldFields = fieldsOf(before);
    const auto newFields = fieldsOf(after);
    std::map<std::string, Difference> differencesByPath;
    for (const auto& [path, value] : oldFields) {
        const auto it = newFields.find(path);
        if (it == newFields.end() || it->second != value)
            differencesByPath[path] = { path, value, it == newFields.end() ? "" : it->second };
    }
    for (const auto& [path, value] : newFields) {
        if (!oldFields.contains(path))
            differencesByPath[path] = { path, "", value };
    }
    std::vector<Difference> list;
    list.reserve(differencesByPath.size());
    for (auto& [path, difference] : differencesByPath)
        list.push_back(std::move(difference));
    return list;
}

} // namespace yuccashift
