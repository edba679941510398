#include "yuccashift/fleet/software_versions.hpp"

#include <algorithm>

namespace yuccashift {

namespace {

    /** Bounds what is kept of versions that no server runs any more. */
    constexpr Duration memoryOfVersions = std::chrono::minutes(5);

} // namespace

void SoftwareVersions::onServerAdded(const ServiceName& service, SoftwareId software, Instant now)
{
    if (!m_followingSince)
        m_followingSince = now;
    ++m_services[service][software].servers;
}

void SoftwareVersions::onServerRemoved(const ServiceName& service, SoftwareId software, Instant now)
{
    auto& versions = m_services[service];
    auto& presence = versions[software];
    presence.servers -= std::min<std::size_t>(1, presence.servers);
    presence.lastSeen = now;
    std::erase_if(versions, [&](const auto& it) { return it.second.servers == 0 && now - it.second.lastSeen >= memoryOfVersions; });
}

std::size_t SoftwareVersions::mostInOneService() const
{
    std::size_t most = 0;
    for (const auto& [service, versions] : m_services)
        most = std::max<std::size_t>(most, static_cast<std::size_t>(std::ranges::count_if(versions, [](const auto& it) { return it.second.servers > 0; })));
    return most;
}

std::optional<SoftwareId> SoftwareVersions::onlySoftware(const ServiceName& service, Duration period, Instant now) const
{
    const auto versions = m_services.find(service);
    if (versions == m_services.end() || !m_followingSince || now - *m_followingSince < period)
        return {};
    std::optional<SoftwareId> only;
    for (const auto& [software, presence] : versions->second) {
        if (presence.servers == 0 && now - presence.lastSeen >= period)
            continue;
        if (only)
            return {};
        only = software;
    }
    return only;
}

} // namespace yuccashift
