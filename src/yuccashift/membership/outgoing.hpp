#pragma once

#include "peer_types.h"
#include "yuccashift/kernel/ids.hpp"

#include <vector>

namespace yuccashift {

/** A control frame and the instance that it is to be sent to. */
struct OutgoingFrame {
    InstanceId to;
    wire::Frame frame;
};

using OutgoingFrames = std::vector<OutgoingFrame>;

} // namespace yuccashift
