#pragma once

#include "yuccashift/dispatch/server_choice.hpp"
#include "yuccashift/kernel/random.hpp"

#include <cstddef>
#include <span>

namespace yuccashift {

/** What the instances of a region know of its servers. */
struct LoadKnowledge {
    /** Mean age of what an instance knows of the load that others put on a server. */
    Duration age {};
    /** Share of the servers' capacity that is in use. */
    double utilisation = 0.8;
};

/**
 * Marks the servers among which one request chooses: a random sample without replacement. A server is drawn in
 * proportion to the work that it is expected to take until all servers are equally far behind, after the work that
 * was sent since the loads were known. Many instances that know the same, a little old, then fill the servers up
 * evenly, instead of all sending to the one that was free a moment ago.
 * Servers that hold all shared parts of the prompt are always among them.
 */
void sampleServers(std::span<ServerCandidate>, const WorkSize&, std::size_t sampleSize, const LoadKnowledge&, RandomSource&);

} // namespace yuccashift
