#pragma once

#include "peer_types.h"
#include "yuccashift/kernel/ids.hpp"

#include <vector>

namespace yuccashift {

/** A control frame and the instance that it is to be sent to. */
struct Outgoing {
    InstanceId to;
    wire::Frame frame;
};

using OutgoingFrames = std::vector<Outgoing>;

} // namespace yuccashift
