#include "yuccashift/fleet/fleet_state.hpp"

#include "yuccashift/kernel/log.hpp"

namespace yuccashift {

namespace {

    /** Entries that lapsed while the list was away are back within this time of its return. */
    constexpr Duration returnTime = seconds(2);
    /** So many removals at once, half of all servers or more, look like lapsed entries and not like departures. */
    constexpr std::size_t fewestSuspiciousRemovals = 3;

    template <typename... Handlers>
    struct Overloaded : Handlers... {
        using Handlers::operator()...;
    };
    template <typename... Handlers>
    Overloaded(Handlers...) -> Overloaded<Handlers...>;

} // namespace

ItemDecoder::~ItemDecoder() = default;
FleetObserver::~FleetObserver() = default;

FleetState::FleetState(const Clock& clock, const ItemDecoder& decoder)
    : m_clock(clock)
    , m_decoder(decoder)
{
}

void FleetState::apply(std::span<const ItemChange> changes, std::int64_t through)
{
    holdIfMostVanish(changes);
    const auto taken = m_held.apply(changes, through);
    onChanges(taken);
}

void FleetState::replaceAll(std::span<const ItemChange> listing, std::int64_t through)
{
    const auto taken = m_held.replaceAll(listing, through);
    holdIfMostVanish(taken);
    onChanges(taken);
}

void FleetState::holdIfMostVanish(std::span<const ItemChange> changes)
{
    std::size_t vanishing = 0;
    std::size_t serving = 0;
    for (const auto& change : changes) {
        const auto it = m_servers.find(change.key);
        vanishing += !change.value && it != m_servers.end() && !it->second.draining ? 1 : 0;
    }
    for (const auto& [key, server] : m_servers)
        serving += server.draining ? 0 : 1;
    if (vanishing >= fewestSuspiciousRemovals && vanishing * 2 >= serving)
        holdRemovalsUntil(m_clock.now() + returnTime);
}

void FleetState::onChanges(std::span<const ItemChange> changes)
{
    for (const auto& change : changes) {
        if (change.value)
            onItem(change);
        else
            onRemoved(change.key);
    }
}

void FleetState::onItem(const ItemChange& change)
{
    m_heldRemovals.erase(change.key);
    auto decoded = m_decoder.decode(change.key, *change.value);
    std::visit(Overloaded {
                   [](const IgnoredItem&) {},
                   [&](const InvalidItem& item) {
                       logWarning("item not usable", { { "key", change.key }, { "revision", change.revision }, { "reason", item.reason } });
                       removeServer(change.key);
                   },
                   [&](ServerEntry& entry) { onServer(change.key, std::move(entry)); },
                   [&](RouteConfig& config) {
                       // Two stores of one platform, or a restored one, may name an older version under a newer revision.
                       if (config.version <= configVersion())
                           return;
                       logInfo("configuration in force", { { "version", config.version }, { "before", configVersion() }, { "revision", change.revision }, { "routes", config.routes.size() } });
                       m_routes = std::make_shared<const RouteIndex>(std::move(config));
                       if (m_observer)
                           m_observer->onConfig(*m_routes);
                   },
                   [&](const EvacuatedDatacentre& item) {
                       logInfo("data centre evacuated", { { "datacentre", item.datacentre }, { "revision", change.revision } });
                       m_evacuationKeys[change.key] = item.datacentre;
                       m_evacuated.insert(item.datacentre);
                   },
               },
        decoded);
}

void FleetState::onServer(const std::string& key, ServerEntry entry)
{
    const auto now = m_clock.now();
    auto& server = entry.server;
    server.identityHash = hashOf(server.identity);
    const auto it = m_servers.find(key);
    const bool known = it != m_servers.end() && it->second.identity == server.identity && it->second.address == server.address;
    server.coldUntil = now + entry.coldFor;
    const bool changed = !known || it->second.draining != server.draining;
    if (changed)
        logInfo("backend server", { { "id", server.identity.id }, { "born", server.identity.startedAtMs }, { "service", server.service }, { "datacentre", server.datacentre }, { "draining", server.draining ? 1 : 0 }, { "cold_ms", toMilliseconds(server.coldUntil - now) } });
    if (!known && it != m_servers.end())
        removeServer(key);
    const bool leaves = server.draining;
    auto& held = m_servers[key] = std::move(server);
    if (!m_observer)
        return;
    if (leaves)
        m_observer->onServerGone(held);
    else if (changed)
        m_observer->onServerAdded(held);
}

void FleetState::removeServer(const std::string& key)
{
    const auto it = m_servers.find(key);
    if (it == m_servers.end())
        return;
    const auto server = std::move(it->second);
    m_servers.erase(it);
    logInfo("backend server gone", { { "id", server.identity.id }, { "service", server.service }, { "datacentre", server.datacentre } });
    if (m_observer)
        m_observer->onServerGone(server);
}

void FleetState::onRemoved(const std::string& key)
{
    if (const auto it = m_evacuationKeys.find(key); it != m_evacuationKeys.end()) {
        logInfo("data centre taken back", { { "datacentre", it->second } });
        m_evacuated.erase(it->second);
        m_evacuationKeys.erase(it);
        return;
    }
    const auto it = m_servers.find(key);
    if (it == m_servers.end())
        return;
    if (!it->second.draining && m_clock.now() < m_removalsHeldUntil)
        m_heldRemovals.insert(key);
    else
        removeServer(key);
}

void FleetState::deferRemovals()
{
    holdRemovalsUntil(m_clock.now() + returnTime);
}

void FleetState::holdRemovalsUntil(Instant until)
{
    m_removalsHeldUntil = std::max(m_removalsHeldUntil, until);
}

void FleetState::tick()
{
    if (m_heldRemovals.empty() || m_clock.now() < m_removalsHeldUntil)
        return;
    const auto due = std::exchange(m_heldRemovals, {});
    for (const auto& key : due)
        removeServer(key);
}

void FleetState::setCold(const std::string& id, Instant until)
{
    for (auto& [key, server] : m_servers) {
        if (server.identity.id == id)
            server.coldUntil = std::max(server.coldUntil, until);
    }
}

} // namespace yuccashift
