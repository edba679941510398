#include "yuccashift/fleet/software_versions.hpp"

#include <algorithm>

namespace yuccashift {

namespace {

    /** Bounds what is kept of versions that no server runs any more. */
    constexpr Duration memoryOfVersions = std::chrono::minutes(5);

} // namespace

void SoftwareVersions::onFirstStart(Instant now)
{
    // Nothing was served before, so that no version can have gone in that time.
    m_followingSince = now - memoryOfVersions;
}

void SoftwareVersions::onServerAdded(const ServiceName& service, SoftwareId software, Instant now)
{
    if (!m_followingSince)
        m_followingSince = now;
    auto& presence = m_services[service][software];
    if (presence.servers++ == 0)
        m_digest ^= software;
}

void SoftwareVersions::onServerRemoved(const ServiceName& service, SoftwareId software, Instant now)
{
    auto& versions = m_services[service];
    auto& presence = versions[software];
    if (presence.servers > 0 && --presence.servers == 0)
        m_digest ^= software;
    presence.lastSeen = now;
    std::erase_if(versions, [&](const auto& it) { return it.second.servers == 0 && now - it.second.lastSeen >= memoryOfVersions; });
}

void SoftwareVersions::onRoutesMoved(Instant now)
{
    m_routesMovedAt = now;
    m_reportedSingleSince.reset();
}

void SoftwareVersions::onMissedChanges(Instant now)
{
    if (m_followingSince)
        m_followingSince = now;
    m_reportedSingleSince.reset();
}

std::optional<Instant> SoftwareVersions::singleSince() const
{
    if (!m_followingSince || mostInOneService() > 1)
        return {};
    auto since = std::max(*m_followingSince, m_routesMovedAt.value_or(Instant::min()));
    for (const auto& [service, versions] : m_services) {
        // Without any server, the service may come back with the version that it had.
        if (std::ranges::none_of(versions, [](const auto& it) { return it.second.servers > 0; }))
            continue;
        for (const auto& [software, presence] : versions) {
            if (presence.servers == 0)
                since = std::max(since, presence.lastSeen);
        }
    }
    return since;
}

SingleSoftware SoftwareVersions::singleSoftware(Instant now) const
{
    const auto since = singleSince();
    return { m_digest, since ? std::min<Duration>(memoryOfVersions, now - *since) : Duration::zero() };
}

void SoftwareVersions::onReport(const SingleSoftware& report, Instant now)
{
    const auto since = now - report.duration;
    if (report.duration <= Duration::zero() || report.digest != m_digest)
        return;
    if (m_reportedDigest == report.digest && m_reportedSingleSince && *m_reportedSingleSince <= since)
        return;
    m_reportedDigest = report.digest;
    m_reportedSingleSince = since;
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
    if (versions == m_services.end())
        return {};
    const bool reported = mostInOneService() <= 1 && m_reportedSingleSince && m_reportedDigest == m_digest && now - *m_reportedSingleSince >= period;
    const bool followed = m_followingSince && now - std::max(*m_followingSince, m_routesMovedAt.value_or(Instant::min())) >= period;
    if (!reported && !followed)
        return {};
    std::optional<SoftwareId> only;
    for (const auto& [software, presence] : versions->second) {
        // A version that this instance has seen counts, whatever another one says that has seen less.
        if (presence.servers == 0 && now - presence.lastSeen >= period)
            continue;
        if (only)
            return {};
        only = software;
    }
    return only;
}

} // namespace yuccashift
