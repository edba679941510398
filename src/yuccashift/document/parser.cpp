#include "yuccashift/document/parser.hpp"

#include "yuccashift/document/yaml_reader.hpp"

#include <algorithm>
#include <array>
#include <set>

namespace yuccashift {

namespace {

    using detail::Choice;
    using detail::Range;
    using detail::YamlReader;

    constexpr std::size_t maxBackends = 12000;
    constexpr std::size_t maxOrganisations = 1024;
    constexpr std::size_t maxModels = 64;
    constexpr std::size_t maxRoutes = 256;
    constexpr Range percentRange { 0, 100 };
    constexpr Range revisionRange { 1, 9007199254740992.0 };
    constexpr Range rateRange { 0, 1e9 };

    template <typename Enum>
    constexpr Choice makeChoice(std::string_view text, Enum value)
    {
        return { text, static_cast<int>(value) };
    }

    constexpr auto kinds = std::to_array<Choice>({ makeChoice("model", ServiceKind::Model), makeChoice("plain", ServiceKind::Plain) });
    constexpr auto priorities = std::to_array<Choice>({ makeChoice("urgent", Priority::Urgent), makeChoice("normal", Priority::Normal), makeChoice("batch", Priority::Batch) });
    constexpr auto fences = std::to_array<Choice>({ makeChoice("checked", FenceMode::Checked), makeChoice("ignored", FenceMode::Ignored) });
    constexpr auto roles = std::to_array<Choice>({ makeChoice("both", BackendRole::Both), makeChoice("prefill", BackendRole::Prefill), makeChoice("decode", BackendRole::Decode) });
    constexpr auto spillModes = std::to_array<Choice>({ makeChoice("never", SpillMode::Never), makeChoice("when-loaded", SpillMode::WhenLoaded) });

    void readModel(YamlReader& reader, Document& document)
    {
        ModelSpec model;
        reader.name("name", model.name);
        reader.name("version", model.version);
        reader.names("adapters", model.adapters);
        document.models.push_back(std::move(model));
    }

    void readBackend(YamlReader& reader, Document& document)
    {
        BackendSpec backend;
        reader.name("name", backend.name);
        reader.name("region", backend.region);
        reader.name("datacentre", backend.datacentre);
        reader.endpoint("address", backend.address, true);
        reader.choice("fence", backend.fence, fences);
        reader.choice("role", backend.role, roles);
        reader.integer("slots", backend.slots, Range { 1, 4096 });
        reader.names("models", backend.models);
        reader.text("software_version", backend.softwareVersion);
        document.backends.push_back(std::move(backend));
    }

    void readRoute(YamlReader& reader, Document& document)
    {
        RouteSpec route;
        reader.name("name", route.name);
        reader.text("method", route.method);
        reader.text("path", route.path, true);
        reader.boolean("idempotent", route.idempotent);
        reader.choice("priority", route.priority, priorities);
        reader.duration("deadline_ms", route.deadline, Range { 1, 3600000 });
        document.routes.push_back(std::move(route));
    }

    void readLimits(YamlReader& reader, LimitSpec& limits)
    {
        reader.number("requests_per_second", limits.requestsPerSecond, rateRange);
        reader.number("tokens_per_second", limits.tokensPerSecond, rateRange);
        reader.integer("concurrency", limits.concurrency, Range { 0, 1e6 });
    }

    void readOrganisation(YamlReader& reader, Document& document)
    {
        OrganisationSpec organisation;
        reader.name("name", organisation.name);
        reader.names("credential_sha256", organisation.credentialHashes, true);
        reader.names("residency", organisation.residency);
        reader.number("weight", organisation.weight, Range { 0.001, 1000 });
        reader.section("limits", [&](YamlReader& section) { readLimits(section, organisation.limits); });
        document.organisations.push_back(std::move(organisation));
    }

    void readRetry(YamlReader& reader, RetrySpec& retry)
    {
        reader.integer("attempts", retry.attempts, Range { 1, 5 });
        reader.number("budget_percent", retry.budgetPercent, percentRange);
    }

    void readHedge(YamlReader& reader, HedgeSpec& hedge)
    {
        reader.duration("after_ms", hedge.after, Range { 0, 600000 });
        reader.number("budget_percent", hedge.budgetPercent, percentRange);
    }

    void readSpill(YamlReader& reader, SpillSpec& spill)
    {
        reader.choice("mode", spill.mode, spillModes);
        reader.duration("cost_ms", spill.cost, Range { 0, 600000 });
        reader.number("hysteresis_percent", spill.hysteresisPercent, percentRange);
    }

    void readPrefixCache(YamlReader& reader, PrefixCacheSpec& cache)
    {
        reader.integer("block_tokens", cache.blockTokens, Range { 0, 4096 });
        reader.number("trust_percent", cache.trustPercent, percentRange);
    }

    void readFields(YamlReader& reader, Document& document)
    {
        reader.name("service", document.service);
        reader.text("owner", document.owner, true);
        reader.integer("revision", document.revision, revisionRange, true);
        reader.boolean("deleted", document.deleted);
        reader.choice("kind", document.kind, kinds, !document.deleted);
        reader.text("path_prefix", document.pathPrefix);
        reader.names("regions", document.regions, !document.deleted);
        reader.list("models", maxModels, [&](YamlReader& item) { readModel(item, document); });
        reader.list("backends", maxBackends, [&](YamlReader& item) { readBackend(item, document); });
        reader.list("routes", maxRoutes, [&](YamlReader& item) { readRoute(item, document); });
        reader.list("organisations", maxOrganisations, [&](YamlReader& item) { readOrganisation(item, document); });
        reader.section("retry", [&](YamlReader& section) { readRetry(section, document.retry); });
        reader.section("hedge", [&](YamlReader& section) { readHedge(section, document.hedge); });
        reader.section("spill", [&](YamlReader& section) { readSpill(section, document.spill); });
        reader.section("prefix_cache", [&](YamlReader& section) { readPrefixCache(section, document.prefixCache); });
        reader.integer("queue_limit", document.queueLimit, Range { 1, 1e6 });
    }

    template <typename Item, typename Name>
    void requireUnique(YamlReader& reader, const std::string& key, const std::vector<Item>& items, Name Item::*name)
    {
        std::set<Name> seen;
        for (const auto& item : items) {
            if (!seen.insert(item.*name).second)
                reader.fault(key, "each name once, not '" + item.*name + "' again");
        }
    }

    bool contains(const std::vector<std::string>& names, const std::string& name)
    {
        return std::ranges::find(names, name) != names.end();
    }

    bool isSha256(const std::string& text)
    {
        constexpr std::size_t hexDigits = 64;
        const auto isHex = [](unsigned char c) { return std::isdigit(c) != 0 || (c >= 'a' && c <= 'f'); };
        return text.size() == hexDigits && std::ranges::all_of(text, isHex);
    }

    void checkBackends(YamlReader& reader, const Document& document)
    {
        requireUnique(reader, "backends", document.backends, &BackendSpec::name);
        for (const auto& backend : document.backends) {
            if (!contains(document.regions, backend.region))
                reader.fault("backends", "a region of this document, not '" + backend.region + "'");
            for (const auto& model : backend.models) {
                if (findModel(document, model) == nullptr)
                    reader.fault("backends", "a model of this document, not '" + model + "'");
            }
        }
    }

    void checkOrganisations(YamlReader& reader, const Document& document)
    {
        requireUnique(reader, "organisations", document.organisations, &OrganisationSpec::name);
        std::set<std::string> hashes;
        for (const auto& organisation : document.organisations) {
            for (const auto& hash : organisation.credentialHashes) {
                if (!isSha256(hash))
                    reader.fault("organisations", "credential_sha256 of 64 lower-case hex digits");
                if (!hashes.insert(hash).second)
                    reader.fault("organisations", "each credential once");
            }
            for (const auto& region : organisation.residency) {
                if (!contains(document.regions, region))
                    reader.fault("organisations", "residency in regions of this document, not '" + region + "'");
            }
        }
    }

    void checkDocument(YamlReader& reader, const Document& document)
    {
        if (document.deleted)
            return;
        if (document.kind == ServiceKind::Model && document.models.empty())
            reader.fault("models", "at least one model");
        if (document.kind == ServiceKind::Plain && !document.pathPrefix.starts_with('/'))
            reader.fault("path_prefix", "a path that starts with '/'");
        if (document.routes.empty())
            reader.fault("routes", "at least one route");
        for (const auto& route : document.routes) {
            if (!route.path.starts_with('/'))
                reader.fault("routes", "paths that start with '/'");
        }
        requireUnique(reader, "routes", document.routes, &RouteSpec::name);
        requireUnique(reader, "models", document.models, &ModelSpec::name);
        checkBackends(reader, document);
        checkOrganisations(reader, document);
    }

} // namespace

tl::expected<Document, Faults> parseDocument(const std::string& text)
{
    Faults faults;
    Document document;
    if (text.size() > maxDocumentBytes)
        return tl::unexpected(Faults { { 0, "", "at most 1 MiB" } });
    detail::readYaml(text, faults, [&](YamlReader& reader) {
        readFields(reader, document);
        checkDocument(reader, document);
    });
    if (!faults.empty())
        return tl::unexpected(std::move(faults));
    return document;
}

} // namespace yuccashift
