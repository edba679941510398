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
    /** Ticks between two rounds of the maintenance that is needed less often. */
    constexpr std::uint64_t ticksPerMaintenance = 10;
    /** Links that are kept open to each other region. */
    constexpr std::size_t linksPerOtherRegion = 2;

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
            handleListing(*listing);
        else if (!failed)
            logWarning("instance list cannot be read", { { "reason", listing.error().detail } });
        failed = !listing;
        // Jitter prevents instances that started together from polling at the same time.
        const auto jitter = milliseconds(threadRandom().uniformBelow(listingInterval.count()));
        co_await sleepFor(listingInterval / 2 + jitter);
    }
}

void MembershipLoop::handleListing(const InstanceListing& listing)
{
    m_context.coordinator.onListing(listing, m_context.components.clock.now());
    for (const auto& backend : listing.backends)
        m_context.components.loadTracker.onLeaving({ backend.service, backend.backend }, backend.leaving);
    updatePeerLinks();
}

// Links inside the region are always kept open. To each other region only
// linksPerOtherRegion are, and rendezvous hashing spreads the choice over the remote
// instances; other links are dialled when needed.
std::set<InstanceId> MembershipLoop::permanentLinks(const std::map<InstanceId, MemberState>& members) const
{
    std::set<InstanceId> permanent;
    std::map<RegionName, std::vector<InstanceId>> remoteInstances;
    for (const auto& [instance, member] : members) {
        if (member.info.region == m_context.components.settings.region)
            permanent.insert(instance);
        else if (member.liveness != Liveness::Gone)
            remoteInstances[member.info.region].push_back(instance);
    }
    const auto selfHash = hash64(m_context.components.self.instance);
    for (const auto& [region, candidates] : remoteInstances) {
        const auto selected = rendezvousTop(selfHash, candidates, linksPerOtherRegion);
        permanent.insert(selected.begin(), selected.end());
    }
    return permanent;
}

void MembershipLoop::updatePeerLinks()
{
    std::vector<PeerAddress> peers;
    const auto view = m_context.coordinator.view();
    const auto permanent = permanentLinks(view->members);
    for (const auto& [instance, member] : view->members) {
        if (member.liveness != Liveness::Gone && member.info.peers.port != 0)
            peers.push_back({ instance, member.info.peers, permanent.contains(instance) });
    }
    m_context.hub.setPeers(peers);
}

void MembershipLoop::updateRegionsAndLimits()
{
    auto& components = m_context.components;
    const auto view = m_context.coordinator.view();
    const auto liveCount = static_cast<std::uint32_t>(std::max<std::size_t>(view->liveInRegion.size(), 1));
    components.senderCount = liveCount;
    components.loadTracker.setSenderCount(liveCount);
    components.regionLoadTracker.setObserverCount(liveCount);
    std::set<RegionName> otherRegions;
    std::set<RegionName> reachable;
    std::vector<InstanceId> limitPeers { components.self.instance };
    for (const auto& [instance, member] : view->members) {
        if (member.liveness == Liveness::Gone)
            continue;
        if (member.info.region == components.settings.region) {
            limitPeers.push_back(instance);
            continue;
        }
        otherRegions.insert(member.info.region);
        if (member.liveness == Liveness::Alive && m_context.hub.connected(instance))
            reachable.insert(member.info.region);
    }
    for (const auto& region : otherRegions) {
        limitPeers.push_back(HeartbeatExchange::regionPeer(region));
        components.regionLoadTracker.onReachable(region, reachable.contains(region), components.clock.now());
    }
    components.limits.setInstances(limitPeers);
}

asio::awaitable<void> MembershipLoop::runTicks()
{
    for (std::uint64_t ticks = 0;; ++ticks) {
        const auto now = m_context.components.clock.now();
        m_context.send(m_context.coordinator.tick(now));
        m_context.components.pollGates();
        if (ticks % ticksPerMaintenance == 0) {
            updateRegionsAndLimits();
            m_context.components.keys.expire(now);
            m_context.components.quarantine.expire(now);
            for (const auto& document : m_context.components.documents.activeDocuments())
                m_context.components.loadTracker.retain(*document);
        }
        co_await sleepFor(tickInterval);
    }
}

} // namespace yuccashift
