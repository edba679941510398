#pragma once

#include "yuccashift/kernel/clock.hpp"
#include "yuccashift/kernel/ids.hpp"

#include <cstdint>
#include <unordered_map>
#include <vector>

namespace yuccashift {

/**
 * Longest time to first byte with which an owner accepts a request of a route with this latency objective. It is
 * the same for requests that are late already: a queue that grows beyond it makes all that follow late as well.
 */
Duration ownerQueueLimit(Duration latencyObjective);

/** An instance of a region that may own backend servers. */
struct ServerOwnerCandidate {
    InstanceId instance;
    DatacentreName datacentre;
    /** Share of the servers that the instance owns, relative to the other candidates. */
    double capacity = 1;

    bool operator==(const ServerOwnerCandidate&) const = default;
};

/**
 * Assigns each backend server of a region to one owner, the instance through which all others send their
 * requests to it. The owner knows exactly what the server has in progress. Instances that see the same
 * candidates agree on the owners without coordination; while their views differ, a server may have two.
 */
class ServerOwnership {
public:
    void setCandidates(std::vector<ServerOwnerCandidate>);
    /**
     * The owner of a server; an empty name if there is no candidate. Candidates in the server's data centre go
     * first: the bytes of a request then cross between data centres at most once on their way.
     */
    const InstanceId& ownerOf(std::uint64_t server, const DatacentreName&) const;
    std::size_t candidateCount() const { return m_candidates.size(); }

private:
    std::size_t chooseOwner(std::uint64_t server, const DatacentreName&) const;

    std::vector<ServerOwnerCandidate> m_candidates;
    /** Index of the owner of each server that was asked for since the candidates changed. */
    mutable std::unordered_map<std::uint64_t, std::size_t> m_owners;
};

} // namespace yuccashift
