#include "yuccashift/routing/types.hpp"

namespace yuccashift {

std::string_view toString(RejectReason reason)
{
    switch (reason) {
    case RejectReason::None:
        return "chosen";
    case RejectReason::Residency:
        return "residency";
    case RejectReason::Leaving:
        return "leaving";
    case RejectReason::Ejected:
        return "ejected";
    case RejectReason::AlreadyTried:
        return "already tried";
    case RejectReason::ModelMissing:
        return "model missing";
    case RejectReason::RoleMismatch:
        return "role mismatch";
    case RejectReason::Unreachable:
        return "unreachable";
    case RejectReason::SpillForbidden:
        return "spill forbidden";
    case RejectReason::Hysteresis:
        return "not better by the hysteresis";
    case RejectReason::NotSampled:
        return "not sampled";
    case RejectReason::HigherCost:
        break;
    }
    return "costlier";
}

} // namespace yuccashift
