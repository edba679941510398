#include "yuccashift/fleet/stream_ages.hpp"

#include <algorithm>
#include <boost/algorithm/string/case_conv.hpp>

namespace yuccashift {

namespace {

    constexpr std::size_t maxKnownVersions = 256;
    constexpr std::size_t maxLaterVersions = 32;
    /** Keeps heartbeats small. */
    constexpr std::size_t maxNamedVersions = 8;

    /**
     * No event that a caller has is older when it resumes the stream: its tries follow one another within one deadline. An
     * instance that learns of changes late may have begun the stream at a server that others no longer use.
     */
    Duration ageUnder(const Route& route)
    {
        return route.timeLimit + std::max<Duration>(route.timeLimit, StreamAges::replacementDelay);
    }

    std::set<ServiceName> servicesOf(const Route& route)
    {
        std::set<ServiceName> services;
        for (const auto& it : route.services) {
            if (it.weight > 0)
                services.insert(it.service);
        }
        return services;
    }

    std::pair<std::string, std::string> keyOf(const Route& route)
    {
        return { boost::algorithm::to_lower_copy(route.host), route.pathPrefix };
    }

    /** The streaming route that takes the requests of the given route's prefix; null if there is none. */
    const Route* streamingRouteFor(const Route& route, const RouteIndex& index)
    {
        const auto* found = index.find(route.host, route.pathPrefix);
        return found && found->kind == RouteKind::Streaming ? found : nullptr;
    }

    bool covers(const Route& route, const Route& earlier)
    {
        return route.timeLimit >= earlier.timeLimit && servicesOf(route) == servicesOf(earlier);
    }

} // namespace

void StreamAges::Longest::add(Duration newAge, Instant newUntil, Instant now)
{
    age = std::max(at(now), newAge);
    until = std::max(until, newUntil);
}

template <typename Handler>
void StreamAges::forOverlapping(const Route& route, Instant now, Handler handle) const
{
    const auto [host, prefix] = keyOf(route);
    const auto handleLiving = [&](const auto& it) {
        if (now < it->second.until)
            handle(it->second);
    };
    for (auto it = m_former.lower_bound({ host, prefix }); it != m_former.end() && it->first.first == host && it->first.second.starts_with(prefix); ++it)
        handleLiving(it);
    // The shorter prefixes, each of which ends with a slash.
    for (std::size_t end = 0; end + 1 < prefix.size(); ++end) {
        if (prefix[end] != '/')
            continue;
        if (const auto it = m_former.find({ host, prefix.substr(0, end + 1) }); it != m_former.end())
            handleLiving(it);
    }
}

void StreamAges::add(const Route& limits, const RouteKey& key, Duration age, Instant now)
{
    auto& former = m_former[key];
    former.services.merge(servicesOf(limits));
    former.longestAge = std::max(former.longestAge, age);
    former.until = std::max(former.until, now + replacementDelay + age);
    if (m_former.size() <= maxFormerRoutes)
        return;
    m_former.clear();
    onUnknownConfigs(now);
}

bool StreamAges::leadElsewhere(const Route& route, Instant now) const
{
    bool elsewhere = false;
    const auto services = servicesOf(route);
    forOverlapping(route, now, [&](const FormerStreams& it) { elsewhere |= it.services != services; });
    return elsewhere;
}

void StreamAges::addKnownVersion(std::int64_t version)
{
    m_knownVersions.insert(version);
    if (m_knownVersions.size() > maxKnownVersions)
        m_knownVersions.erase(m_knownVersions.begin());
}

bool StreamAges::skipsTo(std::int64_t version)
{
    const auto end = m_laterVersions.lower_bound(version);
    const bool skips = end != m_laterVersions.begin();
    m_laterVersions.erase(m_laterVersions.begin(), m_laterVersions.upper_bound(version));
    return skips;
}

void StreamAges::onFirstConfig(std::int64_t version)
{
    m_firstVersion = version;
    addKnownVersion(version);
}

bool StreamAges::onConfig(const RouteIndex& before, const RouteIndex& after, Instant now)
{
    expire(now);
    bool moved = false;
    Duration longestAge {};
    const auto addFormer = [&](const Route& earlier, const Route& key) {
        add(earlier, keyOf(key), ageUnder(earlier), now);
        longestAge = std::max(longestAge, ageUnder(earlier));
    };
    for (const auto& route : before.config().routes) {
        if (route.kind != RouteKind::Streaming)
            continue;
        const auto* next = streamingRouteFor(route, after);
        if (!next || !covers(*next, route))
            addFormer(route, route);
        moved |= next && servicesOf(*next) != servicesOf(route);
    }
    for (const auto& route : after.config().routes) {
        if (route.kind != RouteKind::Streaming)
            continue;
        const auto* earlier = streamingRouteFor(route, before);
        if (earlier && !covers(route, *earlier))
            addFormer(*earlier, route);
        const bool unchanged = earlier && keyOf(*earlier) == keyOf(route) && servicesOf(*earlier) == servicesOf(route);
        moved |= !unchanged && leadElsewhere(route, now);
    }
    if (skipsTo(after.config().version)) {
        onMissedConfig(now, assumedStreamAge);
        moved = true;
    }
    addKnownVersion(after.config().version);
    if (longestAge > Duration::zero())
        m_formerVersions[before.config().version] = now + replacementDelay + longestAge;
    return moved;
}

void StreamAges::onMissedConfig(Instant now, Duration age)
{
    m_missed.add(age, now + replacementDelay + age, now);
}

void StreamAges::onCallerDeadline(const Route& route, Duration deadline, Instant now)
{
    deadline = std::min(deadline, maxCallerDeadline);
    if (route.kind != RouteKind::Streaming || deadline + replacementDelay <= ageUnder(route))
        return;
    add(route, keyOf(route), deadline + replacementDelay, now);
    m_ownDeadline.add(deadline, now + deadline + replacementDelay, now);
}

void StreamAges::onReportedDeadline(Duration deadline, Instant now)
{
    const auto age = std::min(deadline, maxCallerDeadline) + replacementDelay;
    m_reportedDeadline.add(age, now + age, now);
}

Duration StreamAges::longestAge(const Route& route, Instant now) const
{
    auto age = std::max({ ageUnder(route), m_missed.at(now), m_reportedDeadline.at(now) });
    forOverlapping(route, now, [&](const FormerStreams& it) { age = std::max(age, it.longestAge); });
    return age;
}

Duration StreamAges::longestFormerAge(Instant now) const
{
    auto age = std::max({ m_unknown.at(now), m_missed.at(now), m_reportedDeadline.at(now) });
    for (const auto& [key, former] : m_former) {
        if (now < former.until)
            age = std::max(age, former.longestAge);
    }
    return age;
}

bool StreamAges::mayBeOfUnknownConfig(Instant now) const
{
    return m_unknown.at(now) > Duration::zero();
}

std::vector<std::int64_t> StreamAges::formerVersions(Instant now) const
{
    std::vector<std::int64_t> versions;
    for (auto it = m_formerVersions.rbegin(); it != m_formerVersions.rend() && versions.size() < maxNamedVersions; ++it) {
        if (now < it->second)
            versions.push_back(it->first);
    }
    return versions;
}

ConfigNews StreamAges::onVersionsOfOther(std::span<const std::int64_t> versions)
{
    auto news = ConfigNews::None;
    for (const auto version : versions) {
        if (!m_firstVersion || m_knownVersions.contains(version))
            continue;
        if (version > *m_knownVersions.rbegin()) {
            if (m_laterVersions.size() < maxLaterVersions)
                m_laterVersions.insert(version);
            continue;
        }
        // Many configurations later, it is not known which ones were in force here.
        if (version < *m_knownVersions.begin() && version > *m_firstVersion)
            continue;
        addKnownVersion(version);
        news = std::max(news, version < *m_firstVersion ? ConfigNews::Earlier : ConfigNews::Missed);
    }
    return news;
}

void StreamAges::expire(Instant now)
{
    std::erase_if(m_former, [&](const auto& it) { return now >= it.second.until; });
    std::erase_if(m_formerVersions, [&](const auto& it) { return now >= it.second; });
}

} // namespace yuccashift
