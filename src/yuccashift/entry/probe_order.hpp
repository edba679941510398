#pragma once

#include "yuccashift/entry/entry_settings.hpp"
#include "yuccashift/fleet/peer_table.hpp"
#include "yuccashift/resilience/prompt_quarantine.hpp"

namespace yuccashift {

/** Orders the instances that this one hears, and itself, by rendezvous hashing. */
class InstanceProbeOrder final : public ProbeOrder {
public:
    InstanceProbeOrder(const PeerTable&, const EntrySettings&);
    std::size_t rankFor(PartHash) const override;

private:
    const PeerTable& m_peerTable;
    const EntrySettings& m_settings;
};

} // namespace yuccashift
