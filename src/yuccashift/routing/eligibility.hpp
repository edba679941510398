#pragma once

#include "yuccashift/routing/types.hpp"

#include <span>
#include <vector>

namespace yuccashift {

/** Reason why the backend server is not eligible for the request; None if it is. */
RejectReason backendRejection(const RequestTraits&, const BackendState&);

/** Reason why the region is not eligible for the request; None if it is. */
RejectReason regionRejection(const RequestTraits&, const RegionState&);

/** Whether the documents allow the request to be served in the region. */
bool residencyAllows(const RequestTraits&, const RegionName&);

/** Result of filtering the backend servers for a request. */
struct EligibleBackends {
    /** All servers in the order given. Eligible ones have the reason NotSampled until a policy evaluates them. */
    std::vector<Candidate> candidates;
    /** Indexes of the eligible servers. */
    std::vector<std::size_t> indexes;
};

/**
 * Filters backend servers. If no other server is eligible, the ejected ones are,
 * since a server that may fail is better than none.
 */
EligibleBackends eligibleBackends(const RequestTraits&, std::span<const BackendState>);

} // namespace yuccashift
