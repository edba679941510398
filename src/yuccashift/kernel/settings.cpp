#include "yuccashift/kernel/settings.hpp"

#include "yuccashift/document/yaml_reader.hpp"

#include <array>

namespace yuccashift {

namespace {

    using detail::Range;
    using detail::YamlReader;

    constexpr std::size_t minSecretBytes = 16;
    constexpr Range timeoutRangeMs { 10, 3600000 };

    void readListen(YamlReader& reader, ListenSettings& listen)
    {
        reader.endpoint("callers", listen.callers, true);
        reader.endpoint("peers", listen.peers, true);
        reader.endpoint("operators", listen.operators, true);
    }

    void readPlatform(YamlReader& reader, PlatformSettings& platform)
    {
        reader.endpoint("config_service", platform.configService, true);
        reader.endpoint("instance_list", platform.instanceList, true);
        Endpoint collector;
        reader.endpoint("collector", collector);
        if (!collector.host.empty())
            platform.collector = collector;
    }

    void readBounds(YamlReader& reader, InstanceLimits& bounds)
    {
        reader.integer("connections", bounds.maxConnections, Range { 1, 1e6 });
        reader.integer("header_bytes", bounds.maxHeaderBytes, Range { 1024, 1 << 20 });
        reader.integer("body_bytes", bounds.maxBodyBytes, Range { 1024, 64 << 20 });
        reader.integer("memory_mb", bounds.memoryMb, Range { 96, 1 << 20 });
        reader.duration("receive_timeout_ms", bounds.receiveTimeout, timeoutRangeMs);
        reader.duration("progress_timeout_ms", bounds.progressTimeout, timeoutRangeMs);
        reader.integer("keys", bounds.maxKeys, Range { 1, 1e7 });
        reader.duration("key_lifetime_ms", bounds.keyLifetime, Range { 1000, 86400000 });
    }

    void readPolicies(YamlReader& reader, PolicySettings& policies)
    {
        reader.name("backend", policies.backend, false);
        reader.name("region", policies.region, false);
        reader.name("entry", policies.entry, false);
    }

    void readSecret(YamlReader& reader, const std::string& key, std::string& secret)
    {
        reader.text(key, secret, true);
        if (!secret.empty() && secret.size() < minSecretBytes)
            reader.fault(key, "a secret of at least 16 bytes");
    }

    void readFields(YamlReader& reader, Settings& settings)
    {
        reader.name("instance", settings.instance);
        reader.name("region", settings.region);
        reader.name("datacentre", settings.datacentre);
        reader.section("listen", [&](YamlReader& section) { readListen(section, settings.listen); });
        reader.section("platform", [&](YamlReader& section) { readPlatform(section, settings.platform); });
        readSecret(reader, "peer_key", settings.peerKey);
        readSecret(reader, "operator_token", settings.operatorToken);
        reader.integer("threads", settings.threads, Range { 1, 64 });
        reader.section("bounds", [&](YamlReader& section) { readBounds(section, settings.bounds); });
        reader.section("policies", [&](YamlReader& section) { readPolicies(section, settings.policies); });
        reader.name("log_level", settings.logLevel, false);
        if (settings.listen.callers.host.empty())
            reader.fault("listen", "callers, peers and operators");
        if (settings.platform.configService.host.empty())
            reader.fault("platform", "config_service and instance_list");
    }

} // namespace

tl::expected<Settings, Faults> parseSettings(const std::string& text)
{
    Faults faults;
    Settings settings;
    detail::readYaml(text, faults, [&](YamlReader& reader) { readFields(reader, settings); });
    if (!faults.empty())
        return tl::unexpected(std::move(faults));
    return settings;
}

} // namespace yuccashift
