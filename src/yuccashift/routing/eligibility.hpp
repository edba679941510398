#pragma once

#include "yuccashift/routing/types.hpp"

#include <span>
#include <vector>

namespace yuccashift {

/** Why the backend server cannot take the request at all, or None. */
RejectReason backendRejection(const RequestTraits&, const BackendState&);

/** Why the region cannot take the request at all, or None. */
RejectReason regionRejection(const RequestTraits&, const RegionState&);

/** Whether the region is among those that the documents allow for the request. */
bool residencyAllows(const RequestTraits&, const RegionName&);

/** Backend servers that may take the request. */
struct EligibleBackends {
    /** Every candidate; eligible ones stand as NotSampled until the policy judges them. */
    std::vector<Candidate> candidates;
    std::vector<std::size_t> indexes;
};

/**
 * Filters backend servers. Where all that remain were ejected, these are
 * eligible again: a doubtful server is better than none.
 */
EligibleBackends eligibleBackends(const RequestTraits&, std::span<const BackendState>);

} // namespace yuccashift
