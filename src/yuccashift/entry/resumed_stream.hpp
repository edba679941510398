#pragma once

#include "yuccashift/fleet/fleet_state.hpp"

namespace yuccashift {

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
