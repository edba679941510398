#include "yuccashift/fleet/software_versions.hpp"

#include <algorithm>
#include <array>
#include <bit>

namespace yuccashift {

namespace {

    /** Bounds what is kept of versions that no server runs any more. */
    constexpr Duration memoryOfVersions = std::chrono::minutes(5);
    constexpr std::size_t maxMissedDigests = 64;
    constexpr std::size_t maxReports = 512;

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

bool SoftwareVersions::isOfKnownVersions(std::uint64_t digest) const
{
    // Digests add up as vectors of bits; each version of the basis has a highest bit of its own.
    std::array<std::uint64_t, 64> basis {};
    const auto reduce = [&](std::uint64_t value) {
        while (value != 0 && basis[static_cast<std::size_t>(std::bit_width(value)) - 1] != 0)
            value ^= basis[static_cast<std::size_t>(std::bit_width(value)) - 1];
        return value;
    };
    for (const auto& [service, versions] : m_services) {
        for (const auto& [software, presence] : versions) {
            if (const auto rest = reduce(software); rest != 0)
                basis[static_cast<std::size_t>(std::bit_width(rest)) - 1] = rest;
        }
    }
    return reduce(digest) == 0;
}

void SoftwareVersions::onDigestOfOther(std::uint64_t digest, Instant now)
{
    if (digest == m_digest || std::ranges::find(m_missedDigests, digest) != m_missedDigests.end() || isOfKnownVersions(digest))
        return;
    m_missedDigests.push_back(digest);
    if (m_missedDigests.size() > maxMissedDigests)
        m_missedDigests.pop_front();
    onMissedChanges(now);
}

void SoftwareVersions::onRoutesMoved(Instant now)
{
    m_routesMovedAt = now;
    m_reports.clear();
}

void SoftwareVersions::onRoutesUnknown(Instant now)
{
    m_routesUnknownSince = now;
    m_reports.clear();
}

void SoftwareVersions::onMissedChanges(Instant now)
{
    if (m_followingSince)
        m_followingSince = now;
    m_reports.clear();
}

std::optional<Instant> SoftwareVersions::followedSince() const
{
    if (!m_followingSince)
        return {};
    return std::max({ *m_followingSince, m_routesMovedAt.value_or(Instant::min()), m_routesUnknownSince.value_or(Instant::min()) });
}

std::optional<Instant> SoftwareVersions::singleSince() const
{
    if (!m_followingSince || mostInOneService() > 1)
        return {};
    auto since = *followedSince();
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
    return { m_digest, since ? std::min<Duration>(memoryOfVersions, now - *since) : Duration::zero(), {} };
}

void SoftwareVersions::onReport(const SingleSoftware& report, Instant now, std::uint64_t reporter)
{
    if (report.duration < Duration::zero())
        return;
    m_reports[reporter] = { report.digest, now - report.duration, report.formerStreamAge };
    if (m_reports.size() > maxReports)
        m_reports.erase(std::ranges::max_element(m_reports, {}, [](const auto& it) { return it.second.singleSince; }));
}

bool SoftwareVersions::isReportedSingle(Duration period, Instant now) const
{
    return std::ranges::any_of(m_reports, [&](const auto& it) {
        const auto& report = it.second;
        return report.digest == m_digest && now - report.singleSince >= std::max(period, report.formerStreamAge);
    });
}

std::size_t SoftwareVersions::mostInOneService() const
{
    std::size_t most = 0;
    for (const auto& [service, versions] : m_services)
        most = std::max<std::size_t>(most, static_cast<std::size_t>(std::ranges::count_if(versions, [](const auto& it) { return it.second.servers > 0; })));
    return most;
}

std::optional<SoftwareId> SoftwareVersions::onlySoftware(const ServiceName& service, Duration period, Instant now, SoftwareEvidence evidence) const
{
    const auto versions = m_services.find(service);
    if (versions == m_services.end())
        return {};
    // A move that this instance has seen counts, whatever another one says that has missed it.
    const bool moved = m_routesMovedAt && now - *m_routesMovedAt < period;
    const bool reported = !moved && mostInOneService() <= 1 && isReportedSingle(period, now);
    const auto since = followedSince();
    const bool followed = evidence == SoftwareEvidence::Any && since && now - *since >= period;
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
