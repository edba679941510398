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
    updateSingle(now);
}

void SoftwareVersions::onServerRemoved(const ServiceName& service, SoftwareId software, Instant now)
{
    auto& versions = m_services[service];
    auto& presence = versions[software];
    if (presence.servers > 0 && --presence.servers == 0)
        m_digest ^= software;
    presence.lastSeen = now;
    std::erase_if(versions, [&](const auto& it) { return it.second.servers == 0 && now - it.second.lastSeen >= memoryOfVersions; });
    updateSingle(now);
}

void SoftwareVersions::updateSingle(Instant now)
{
    if (mostInOneService() > 1) {
        m_hadSeveral = true;
        m_singleSince.reset();
        m_reportedSingleSince.reset();
    } else if (!m_singleSince) {
        m_singleSince = m_hadSeveral ? now : m_followingSince.value_or(now);
    }
}

SingleSoftware SoftwareVersions::singleSoftware(Instant now) const
{
    return { m_digest, m_singleSince ? now - *m_singleSince : Duration::zero() };
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
    const bool reported = m_singleSince && m_reportedSingleSince && m_reportedDigest == m_digest && now - *m_reportedSingleSince >= period;
    const bool followed = m_followingSince && now - *m_followingSince >= period;
    if (!reported && !followed)
        return {};
    std::optional<SoftwareId> only;
    for (const auto& [software, presence] : versions->second) {
        const bool present = presence.servers > 0;
        if (!present && (reported || now - presence.lastSeen >= period))
            continue;
        if (only)
            return {};
        only = software;
    }
    return only;
}

} // namespace yuccashift
