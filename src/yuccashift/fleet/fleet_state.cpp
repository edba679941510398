#include "yuccashift/fleet/fleet_state.hpp"

#include "yuccashift/kernel/log.hpp"

#include <algorithm>

namespace yuccashift {

namespace {

    // Servers whose entries expired during an outage of the platform's store have registered again this long after it.
    constexpr Duration removalDelay = seconds(2);
    // A server renews its entry several times before it expires, so that no entry of a living server expires in a shorter outage.
    constexpr Duration minOutage = seconds(1);
    // Maximum time from the writing of an entry until it is applied, as long as the store can be read.
    constexpr Duration maxEntryAge = seconds(2);
    // Without news for longer, an instance may be cut off. A watch that waits for changes tells something every two seconds.
    constexpr Duration maxUnconfirmedTime = seconds(5);
    // A store that comes back from a copy holds items that are some seconds old.
    constexpr Duration departureMemory = std::chrono::minutes(5);
    // Versions that come and go in the second until their news arrives everywhere.
    constexpr std::size_t maxLaterSoftware = 32;
    // At least this many removals at once, if they are also at least half of the servers in service, look like
    // expired entries and not like departures.
    constexpr std::size_t minMassRemoval = 3;

    template <typename... Handlers>
    struct Overloaded : Handlers... {
        using Handlers::operator()...;
    };
    template <typename... Handlers>
    Overloaded(Handlers...) -> Overloaded<Handlers...>;

} // namespace

ItemDecoder::~ItemDecoder() = default;
FleetObserver::~FleetObserver() = default;

std::string_view toString(Deferral reason)
{
    return reason == Deferral::Outage ? "outage" : "mass removal";
}

FleetState::FleetState(const Clock& clock, const ItemDecoder& decoder)
    : m_clock(clock)
    , m_decoder(decoder)
{
}

void FleetState::confirm(Instant asOf)
{
    const bool missedChanges = m_confirmedAt && asOf - *m_confirmedAt > maxUnconfirmedTime;
    if (missedChanges)
        m_softwareVersions.onMissedChanges(m_clock.now());
    // The value of a configuration may follow later than the news of it.
    m_mayHaveMissedConfigs = (m_mayHaveMissedConfigs || missedChanges) && !m_replica.awaitedValues().empty();
    m_confirmedAt = m_confirmedAt ? std::max(*m_confirmedAt, asOf) : asOf;
}

void FleetState::onPause()
{
    m_confirmedAt.reset();
    m_mayHaveMissedConfigs = true;
    m_softwareVersions.onMissedChanges(m_clock.now());
}

bool FleetState::isConfirmed() const
{
    return m_confirmedAt && m_clock.now() - *m_confirmedAt <= maxUnconfirmedTime;
}

void FleetState::onFirstStart()
{
    logInfo("first start of the whole system", {});
    m_firstStart = true;
    m_softwareVersions.onFirstStart(m_clock.now());
}

void FleetState::apply(std::span<const ItemChange> changes, std::int64_t through)
{
    deferIfMassRemoval(changes);
    const auto applied = m_replica.apply(changes, through, m_clock.now());
    onChanges(applied);
}

void FleetState::applyValue(const ItemChange& change)
{
    if (m_replica.applyValue(change))
        onChanges(std::span(&change, 1));
}

void FleetState::replaceAll(std::span<const ItemChange> listing, std::int64_t through)
{
    const auto applied = m_replica.replaceAll(listing, through);
    deferIfMassRemoval(applied);
    onChanges(applied);
}

void FleetState::beginEra(std::int64_t era, std::span<const ItemChange> listing, std::int64_t through)
{
    logWarning("the store begins a new era; its items may be older than those known", { { "era", era }, { "before", m_replica.era() }, { "revision", through }, { "revision_before", m_replica.revision() } });
    const auto applied = m_replica.beginEra(era, listing, through);
    deferRemovals(Deferral::Outage);
    m_beginningEra = true;
    onChanges(applied);
    m_beginningEra = false;
}

void FleetState::deferIfMassRemoval(std::span<const ItemChange> changes)
{
    std::size_t removedCount = 0;
    std::size_t servingCount = 0;
    for (const auto& change : changes) {
        const auto it = m_servers.find(change.key);
        removedCount += change.isRemoval() && it != m_servers.end() && !it->second.draining ? 1 : 0;
    }
    for (const auto& [key, server] : m_servers)
        servingCount += server.draining ? 0 : 1;
    if (removedCount >= minMassRemoval && removedCount * 2 >= servingCount)
        deferRemovals(Deferral::MassRemoval);
}

void FleetState::onChanges(std::span<const ItemChange> changes)
{
    for (const auto& change : changes) {
        if (change.value)
            onItem(change);
        else
            onRemoved(change);
    }
}

void FleetState::onItem(const ItemChange& change)
{
    m_deferredRemovals.erase(change.key);
    auto decoded = m_decoder.decode(change.key, *change.value);
    std::visit(Overloaded {
                   [](const IgnoredItem&) {},
                   [&](const InvalidItem& item) {
                       logWarning("published item is invalid", { { "key", change.key }, { "revision", change.revision }, { "reason", item.reason } });
                       removeServer(change.key);
                   },
                   [&](ServerEntry& entry) { updateServer(change.key, std::move(entry)); },
                   [&](RouteConfig& config) { onRouteConfig(std::move(config), change.revision); },
                   [&](const EvacuatedDatacentre& item) {
                       logInfo("data centre evacuated", { { "datacentre", item.datacentre }, { "revision", change.revision } });
                       m_evacuations[change.key] = item.datacentre;
                       m_evacuated.insert(item.datacentre);
                   },
               },
        decoded);
}

void FleetState::onRouteConfig(RouteConfig config, std::int64_t revision)
{
    // A store that was restored, or a second store of the same platform, may publish an older version under a newer revision.
    if (config.version <= configVersion())
        return;
    logInfo("configuration activated", { { "version", config.version }, { "before", configVersion() }, { "revision", revision }, { "routes", config.routes.size() } });
    auto routes = std::make_shared<const RouteIndex>(std::move(config));
    const auto now = m_clock.now();
    // Those who reported may not have compared these routes with the ones before.
    m_softwareVersions.forgetReports();
    if (!m_routes)
        m_streamAges.onFirstConfig(routes->config().version);
    else if (m_streamAges.onConfig(*m_routes, *routes, now))
        m_softwareVersions.onRoutesMoved(now);
    // Versions rise in uneven steps, so that their numbers do not tell whether others were in force in between.
    const bool missedOthers = m_mayHaveMissedConfigs || (m_confirmedAt && !isConfirmed());
    if (m_routes ? missedOthers : !m_firstStart) {
        m_streamAges.onUnknownConfigs(now);
        m_softwareVersions.onRoutesUnknown(now);
    }
    m_mayHaveMissedConfigs = false;
    m_routes = std::move(routes);
    if (m_observer)
        m_observer->onConfig(*m_routes);
}

void FleetState::onConfigsOfOther(std::int64_t version, std::span<const std::int64_t> formerVersions, Duration streamAge)
{
    const auto news = std::max(m_streamAges.onVersionsOfOther(std::span(&version, 1)), m_streamAges.onVersionsOfOther(formerVersions));
    // Some of those who reported may not know it, but do from now on.
    if (news == ConfigNews::Earlier)
        m_softwareVersions.forgetReports();
    if (news != ConfigNews::Missed)
        return;
    logInfo("another instance knew a configuration that was missed here", { { "version", configVersion() } });
    const auto now = m_clock.now();
    m_streamAges.onMissedConfig(now, std::max(assumedStreamAge, streamAge));
    m_softwareVersions.onRoutesMoved(now);
}

void FleetState::onSoftwareDigestOfOther(std::uint64_t digest, const StorePosition& position)
{
    m_laterSoftware[digest] = position;
    const StorePosition own { m_replica.era(), m_replica.revision() };
    std::erase_if(m_laterSoftware, [&](const auto& it) {
        if (it.second > own)
            return false;
        m_softwareVersions.onDigestOfOther(it.first, m_clock.now());
        return true;
    });
    if (m_laterSoftware.size() > maxLaterSoftware)
        m_laterSoftware.erase(m_laterSoftware.begin());
}

SingleSoftware FleetState::softwareReport() const
{
    const auto now = m_clock.now();
    auto report = m_softwareVersions.singleSoftware(now);
    report.formerStreamAge = m_streamAges.longestFormerAge(now);
    if (!isConfirmed())
        report.duration = seconds(-1);
    return report;
}

void FleetState::updateServer(const std::string& key, ServerEntry entry)
{
    const auto now = m_clock.now();
    auto& server = entry.server;
    server.identityHash = hashOf(server.identity);
    server.software = softwareIdOf(server.service, server.softwareVersion);
    const auto it = m_servers.find(key);
    const bool known = it != m_servers.end() && it->second.identity == server.identity && it->second.address == server.address;
    server.coldUntil = now + entry.coldFor;
    // The entry may be older than what the server said before.
    if (known && (m_beginningEra || now - it->second.coldToldAt < maxEntryAge)) {
        server.coldUntil = std::max(server.coldUntil, it->second.coldUntil);
        server.coldToldAt = it->second.coldToldAt;
    }
    if (m_beginningEra && m_departures.contains(server.identityHash))
        server.draining = true;
    if (server.draining)
        rememberDeparture(server);
    const bool changed = !known || it->second.draining != server.draining;
    if (changed)
        logInfo("backend server added or changed", { { "id", server.identity.id }, { "born", server.identity.startedAtMs }, { "service", server.service }, { "software", server.softwareVersion }, { "datacentre", server.datacentre }, { "draining", server.draining ? 1 : 0 }, { "cold_ms", toMilliseconds(server.coldUntil - now) } });
    if (!known && it != m_servers.end())
        removeServer(key);
    // An entry that is only renewed does not count as gone in between.
    m_softwareVersions.onServerAdded(server.service, server.software, now);
    if (known)
        m_softwareVersions.onServerRemoved(it->second.service, it->second.software, now);
    const bool draining = server.draining;
    auto& stored = m_servers[key] = std::move(server);
    if (!m_observer)
        return;
    if (draining)
        m_observer->onServerGone(stored);
    else if (changed)
        m_observer->onServerAdded(stored);
}

void FleetState::removeServer(const std::string& key)
{
    const auto it = m_servers.find(key);
    if (it == m_servers.end())
        return;
    const auto server = std::move(it->second);
    m_servers.erase(it);
    m_softwareVersions.onServerRemoved(server.service, server.software, m_clock.now());
    rememberDeparture(server);
    logInfo("backend server removed", { { "id", server.identity.id }, { "service", server.service }, { "datacentre", server.datacentre } });
    if (!m_observer)
        return;
    m_observer->onServerGone(server);
    m_observer->onServerRemoved(server);
}

void FleetState::rememberDeparture(const BackendServer& server)
{
    const auto now = m_clock.now();
    std::erase_if(m_departures, [&](const auto& it) { return now - it.second >= departureMemory; });
    m_departures[server.identityHash] = now;
}

void FleetState::endEvacuation(const std::string& key)
{
    const auto it = m_evacuations.find(key);
    logInfo("data centre evacuation ended", { { "datacentre", it->second } });
    m_evacuated.erase(it->second);
    m_evacuations.erase(it);
}

void FleetState::onRemoved(const ItemChange& change)
{
    const auto& key = change.key;
    const auto learnedAt = change.learnedAt.value_or(m_clock.now());
    if (m_evacuations.contains(key)) {
        if (m_beginningEra)
            deferRemoval(key, learnedAt);
        else
            endEvacuation(key);
        return;
    }
    const auto it = m_servers.find(key);
    if (it == m_servers.end())
        return;
    // An instance that hears of a removal late defers it no longer than the one that told it.
    if (it->second.draining || m_clock.now() >= std::min(m_removalsDeferredUntil, learnedAt + removalDelay))
        removeServer(key);
    else
        deferRemoval(key, learnedAt);
}

void FleetState::deferRemoval(const std::string& key, Instant learnedAt)
{
    const auto due = std::min(m_removalsDeferredUntil, learnedAt + removalDelay);
    m_deferredRemovals.try_emplace(key, DeferredRemoval { due, learnedAt, m_deferralReason });
    ++m_deferralCounts.at(static_cast<std::size_t>(m_deferralReason));
    logInfo("removal deferred", { { "key", key }, { "reason", toString(m_deferralReason) }, { "for_ms", toMilliseconds(due - m_clock.now()) } });
}

void FleetState::onStoreUnreachable(Instant since)
{
    m_storeLastHeard = since;
}

void FleetState::onStoreReachable()
{
    const auto lastHeard = std::exchange(m_storeLastHeard, {});
    if (lastHeard && m_clock.now() - *lastHeard >= minOutage)
        deferRemovals(Deferral::Outage);
}

void FleetState::deferRemovals(Deferral reason)
{
    const auto now = m_clock.now();
    // Entries that expired in an outage disappear together once it is over.
    const bool followsOutage = now < m_removalsDeferredUntil && m_deferralReason == Deferral::Outage;
    m_removalsDeferredUntil = now + removalDelay;
    m_deferralReason = followsOutage ? Deferral::Outage : reason;
    if (reason == Deferral::MassRemoval)
        return;
    // The outage also kept these servers from registering. All other removals keep the time that they got when they became known:
    // what disturbs calls to the store again and again must not put them off again and again.
    for (auto& [key, removal] : m_deferredRemovals) {
        if (removal.reason == Deferral::Outage)
            removal.due = m_removalsDeferredUntil;
    }
}

bool FleetState::isStoreAway() const
{
    // Another instance may have heard the store in the meantime.
    return m_storeLastHeard && m_clock.now() - std::max(*m_storeLastHeard, m_confirmedAt.value_or(*m_storeLastHeard)) >= minOutage;
}

void FleetState::tick()
{
    const auto now = m_clock.now();
    const bool storeAway = isStoreAway();
    std::vector<std::string> due;
    for (const auto& [key, removal] : m_deferredRemovals) {
        if (now >= removal.due && !(storeAway && removal.reason == Deferral::Outage))
            due.push_back(key);
    }
    for (const auto& key : due) {
        const auto removal = m_deferredRemovals.extract(key).mapped();
        logInfo("deferred removal takes effect", { { "key", key }, { "known_for_ms", toMilliseconds(now - removal.learnedAt) } });
        if (m_evacuations.contains(key))
            endEvacuation(key);
        else
            removeServer(key);
    }
}

void FleetState::setCold(const std::string& id, Instant until)
{
    for (auto& [key, server] : m_servers) {
        if (server.identity.id != id)
            continue;
        server.coldUntil = std::max(server.coldUntil, until);
        server.coldToldAt = m_clock.now();
    }
}

} // namespace yuccashift
