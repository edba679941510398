#include "yuccashift/node/membership_loop.hpp"

#include "yuccashift/gateway/gateway_components.hpp"
#include "yuccashift/gateway/heartbeat_exchange.hpp"
#include "yuccashift/kernel/hash.hpp"
#include "yuccashift/kernel/log.hpp"
#include "yuccashift/kernel/rendezvous.hpp"
#include "yuccashift/membership/coordinator.hpp"
#include "yuccashift/peer/peer_hub.hpp"

#include <algorithm>
#include <set>

namespace yuccashift {

namespace asio = boost::asio;

namespace {

    constexpr milliseconds tickInterval { 100 };
    constexpr milliseconds listingInterval { 1000 };
    /** Ticks between two rounds of slower upkeep. */
    constexpr std::uint64_t upkeepTicks = 10;
    /** Links that are always held to each other region. */
    constexpr std::size_t linksPerRegion = 2;

} // namespace

MembershipLoop::MembershipLoop(LoopContext context, InstanceList& list)
    : m_context(context)
    , m_list(list)
{
}

asio::awaitable<void> MembershipLoop::pollInstanceList()
{
    bool failed = false;
    for (;;) {
        const auto listing = co_await m_list.read();
        if (listing)
            takeListing(*listing);
        else if (!failed)
            logWarning("instance list cannot be read", { { "reason", listing.error().detail } });
        failed = !listing;
        // Jitter keeps instances that started together from reading together.
        const auto jitter = milliseconds(threadRandom().uniformBelow(listingInterval.count()));
        co_await sleepFor(listingInterval / 2 + jitter);
    }
}

void MembershipLoop::takeListing(const InstanceListing& listing)
{
    m_context.coordinator.onListing(listing, m_context.components.clock.now());
    for (const auto& backend : listing.backends)
        m_context.components.loadTracker.onLeaving({ backend.service, backend.backend }, backend.leaving);
    updatePeers();
}

// Links inside the region are always held. To each other region a few are, to
// instances that differ from one holder to the next; the rest are dialled when needed.
std::set<InstanceId> MembershipLoop::keptLinks(const std::map<InstanceId, MemberState>& members) const
{
    std::set<InstanceId> kept;
    std::map<RegionName, std::vector<InstanceId>> others;
    for (const auto& [instance, member] : members) {
        if (member.info.region == m_context.components.settings.region)
            kept.insert(instance);
        else if (member.liveness != Liveness::Gone)
            others[member.info.region].push_back(instance);
    }
    const auto purpose = hash64(m_context.components.self.instance);
    for (const auto& [region, candidates] : others) {
        const auto chosen = rendezvousTop(purpose, candidates, linksPerRegion);
        kept.insert(chosen.begin(), chosen.end());
    }
    return kept;
}

void MembershipLoop::updatePeers()
{
    std::vector<PeerAddress> peers;
    const auto view = m_context.coordinator.view();
    const auto kept = keptLinks(view->members);
    for (const auto& [instance, member] : view->members) {
        if (member.liveness != Liveness::Gone && member.info.peers.port != 0)
            peers.push_back({ instance, member.info.peers, kept.contains(instance) });
    }
    m_context.hub.setPeers(peers);
}

void MembershipLoop::updateSenders()
{
    auto& parts = m_context.components;
    const auto view = m_context.coordinator.view();
    const auto live = static_cast<std::uint32_t>(std::max<std::size_t>(view->liveInRegion.size(), 1));
    parts.senderCount = live;
    parts.loadTracker.setSenderCount(live);
    parts.regionLoadTracker.setObserverCount(live);
    std::set<RegionName> others;
    std::set<RegionName> reachable;
    std::vector<InstanceId> limitPeers { parts.self.instance };
    for (const auto& [instance, member] : view->members) {
        if (member.liveness == Liveness::Gone)
            continue;
        if (member.info.region == parts.settings.region) {
            limitPeers.push_back(instance);
            continue;
        }
        others.insert(member.info.region);
        if (member.liveness == Liveness::Alive && m_context.hub.connected(instance))
            reachable.insert(member.info.region);
    }
    for (const auto& region : others) {
        limitPeers.push_back(HeartbeatExchange::regionPeer(region));
        parts.regionLoadTracker.onReachable(region, reachable.contains(region), parts.clock.now());
    }
    parts.limits.setInstances(limitPeers);
}

asio::awaitable<void> MembershipLoop::runTicks()
{
    for (std::uint64_t ticks = 0;; ++ticks) {
        const auto now = m_context.components.clock.now();
        m_context.send(m_context.coordinator.tick(now));
        m_context.components.pollGates();
        if (ticks % upkeepTicks == 0) {
            updateSenders();
            m_context.components.keys.expire(now);
            m_context.components.quarantine.expire(now);
            for (const auto& document : m_context.components.documents.activeDocuments())
                m_context.components.loadTracker.retain(*document);
        }
        co_await sleepFor(tickInterval);
    }
}

} // namespace yuccashift
