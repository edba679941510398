#pragma once

#include "yuccashift/dispatch/server_choice.hpp"

#include <span>

namespace yuccashift {

/**
 * Ranks the servers of a region that all its instances choose for a request's shared prefix, by rendezvous hashing, and
 * counts the prefix as cached at the first of them: instances agree on it without a message, so the region prefills a
 * prefix once. The others follow while the first is busy, so that few servers hold the prefix. Outside the prefix's
 * home region, the count is an assumption that does not keep the request from being forwarded home.
 */
void assumePrefixCached(std::span<ServerCandidate>, const WorkSize&, bool isHomeRegion);

} // namespace yuccashift
