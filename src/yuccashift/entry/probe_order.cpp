#include "yuccashift/entry/probe_order.hpp"

#include "yuccashift/kernel/rendezvous.hpp"

#include <algorithm>

namespace yuccashift {

namespace {

    /** A part is let through within a minute after its time, however many instances there are. */
    constexpr std::size_t maxRank = 12;

} // namespace

InstanceProbeOrder::InstanceProbeOrder(const PeerTable& peerTable, const EntrySettings& settings)
    : m_peerTable(peerTable)
    , m_settings(settings)
{
}

std::size_t InstanceProbeOrder::rankFor(PartHash part) const
{
    std::vector<InstanceId> instances { m_settings.instance };
    for (const auto* peer : m_peerTable.alive()) {
        if (!peer->draining)
            instances.push_back(peer->instance);
    }
    const auto order = rendezvousOrder(part, instances);
    return std::min(maxRank, static_cast<std::size_t>(std::ranges::find(order, m_settings.instance) - order.begin()));
}

} // namespace yuccashift
