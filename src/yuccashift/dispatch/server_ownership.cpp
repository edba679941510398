#include "yuccashift/dispatch/server_ownership.hpp"

#include "yuccashift/kernel/rendezvous.hpp"

#include <algorithm>
#include <cmath>
#include <optional>

namespace yuccashift {

namespace {

    /** Leaves the rest of the objective for the hop, and for work that takes longer than the mean. */
    constexpr double queueLimitShare = 0.7;

    /** Score of weighted rendezvous hashing: each candidate wins in proportion to its capacity. */
    double ownershipScore(std::uint64_t server, const ServerOwnerCandidate& candidate)
    {
        // The upper 53 bits, moved off both ends of the interval, as a number in (0, 1).
        const double draw = (static_cast<double>(rendezvousWeight(server, candidate.instance) >> 11) + 0.5) * 0x1p-53;
        return -candidate.capacity / std::log(draw);
    }

} // namespace

Duration ownerQueueLimit(Duration latencyObjective)
{
    return std::chrono::duration_cast<Duration>(latencyObjective * queueLimitShare);
}

void ServerOwnership::setCandidates(std::vector<ServerOwnerCandidate> candidates)
{
    std::ranges::sort(candidates, {}, &ServerOwnerCandidate::instance);
    if (candidates == m_candidates)
        return;
    m_candidates = std::move(candidates);
    m_owners.clear();
}

std::size_t ServerOwnership::chooseOwner(std::uint64_t server, const DatacentreName& datacentre) const
{
    std::optional<std::size_t> owner;
    bool ownerIsNear = false;
    double highest = 0;
    for (std::size_t i = 0; i < m_candidates.size(); ++i) {
        const bool near = m_candidates[i].datacentre == datacentre;
        const auto score = ownershipScore(server, m_candidates[i]);
        if (owner && (near == ownerIsNear ? score <= highest : !near))
            continue;
        owner = i;
        ownerIsNear = near;
        highest = score;
    }
    return *owner;
}

const InstanceId& ServerOwnership::ownerOf(std::uint64_t server, const DatacentreName& datacentre) const
{
    static const InstanceId none;
    if (m_candidates.empty())
        return none;
    auto it = m_owners.find(server);
    if (it == m_owners.end())
        it = m_owners.emplace(server, chooseOwner(server, datacentre)).first;
    return m_candidates[it->second].instance;
}

} // namespace yuccashift
