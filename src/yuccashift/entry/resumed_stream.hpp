#pragma once

#include "yuccashift/fleet/fleet_state.hpp"
#include "yuccashift/fleet/peer_table.hpp"

namespace yuccashift {

/**
 * Whether no server can have served that the instance does not know: it has all published changes, and since the given
 * time it has heard others or the store, so that it is not cut off. Otherwise a stream may have begun at software that
 * joined in the meantime.
 */
bool isInStep(const FleetState&, const PeerTable&, Instant since);

/**
 * The only software that servers of the service have run for as long as a stream of the route may be old; 0 if they
 * have run several, or if the instance has not known them for that long.
 */
SoftwareId presumedSoftware(const FleetState&, const Route&, const ServiceName&, Instant now);

/** The software that must have begun a stream of the route which no instance recorded; 0 if that is not certain. */
SoftwareId softwareWithoutRecord(const FleetState&, const Route&, Instant now);

/** The service of the route whose servers run the software; nullptr if there is none. */
const ServiceName* serviceWith(const FleetState&, const Route&, SoftwareId);

} // namespace yuccashift
