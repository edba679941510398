#pragma once

#include "yuccashift/dispatch/prompt_demand.hpp"
#include "yuccashift/entry/dispatch_planner.hpp"
#include "yuccashift/fleet/fleet_state.hpp"

#include <map>
#include <set>

namespace yuccashift {

/** What the acceptance of a request was based on. */
struct AcceptanceBasis {
    AcceptedShares shares {};
    /** Demand of all levels, and the room for it, in engines. */
    PromptLoads demand {};
    double room = 0;
};

/**
 * Decides what share of the callers' requests the engines of this region take, from the demand that all instances of the
 * region report. Only services are limited of which a more urgent route may take longer than a less urgent one: its long
 * streams suffer from the prompts of the others. Short urgent answers are served first by the engines themselves.
 */
class RegionAcceptance {
public:
    RegionAcceptance(const Clock&, const FleetState&, const ServerTracker&, const DispatchPlanner&, const PromptDemand&);

    /** The basis for the service; nullptr if its requests are not limited. */
    const AcceptanceBasis* basisFor(const ServiceName&);

private:
    void updateLimitedServices();
    std::size_t usableEngines(const ServiceName&) const;

    struct Entry {
        AcceptanceBasis basis;
        Instant updatedAt {};
    };
    const Clock& m_clock;
    const FleetState& m_fleetState;
    const ServerTracker& m_serverTracker;
    const DispatchPlanner& m_planner;
    const PromptDemand& m_demand;
    std::int64_t m_configVersion = 0;
    std::set<ServiceName> m_limited;
    std::map<ServiceName, Entry> m_entries;
};

} // namespace yuccashift
