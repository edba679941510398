#include "yuccashift/orders/ownership.hpp"

#include <algorithm>
#include <string_view>

namespace yuccashift {

namespace {

    // FNV-1a, used with finalMix(); gives the same result on every instance, unlike std::hash.
    std::uint64_t fnv1a(std::string_view text, std::uint64_t hash)
    {
        constexpr std::uint64_t prime = 1099511628211ULL;
        for (const char c : text)
            hash = (hash ^ static_cast<unsigned char>(c)) * prime;
        // A separator keeps ("a", "bc") apart from ("ab", "c").
        return (hash ^ 0xffU) * prime;
    }

    std::uint64_t finalMix(std::uint64_t hash)
    {
        hash = (hash ^ (hash >> 33)) * 0xff51afd7ed558ccdULL;
        hash = (hash ^ (hash >> 33)) * 0xc4ceb9fe1a85ec53ULL;
        return hash ^ (hash >> 33);
    }

    std::uint64_t rendezvousScore(const RegionalBackend& key, const InstanceId& instance)
    {
        constexpr std::uint64_t offsetBasis = 14695981039346656037ULL;
        return finalMix(fnv1a(instance, fnv1a(key.backend, fnv1a(key.service, offsetBasis))));
    }

} // namespace

std::optional<InstanceId> ownerOf(const RegionalBackend& key, std::span<const OwnerCandidate> candidates)
{
    const OwnerCandidate* best = nullptr;
    std::uint64_t bestScore = 0;
    for (const auto& candidate : candidates) {
        if (candidate.region != key.region)
            continue;
        const auto candidateScore = rendezvousScore(key, candidate.instance);
        const bool wins = !best || candidateScore > bestScore || (candidateScore == bestScore && candidate.instance < best->instance);
        if (!wins)
            continue;
        best = &candidate;
        bestScore = candidateScore;
    }
    return best ? std::optional(best->instance) : std::nullopt;
}

Ownership::Ownership(InstanceId self, OwnershipTiming timing)
    : m_self(std::move(self))
    , m_timing(timing)
{
}

void Ownership::update(std::span<const RegionalBackend> backends, std::span<const OwnerCandidate> candidates, Instant now)
{
    const bool paused = m_updatedAt && now - *m_updatedAt > m_timing.maxUpdateGap;
    if (paused)
        m_ownedSince.clear();
    // Recomputing costs the number of backends times the number of candidates, comparing only their sum.
    const bool unchanged = std::ranges::equal(backends, m_backends) && std::ranges::equal(candidates, m_candidates);
    if (paused || !unchanged) {
        m_backends.assign(backends.begin(), backends.end());
        m_candidates.assign(candidates.begin(), candidates.end());
        recomputeOwned(now);
    }
    m_updatedAt = now;
}

void Ownership::recomputeOwned(Instant now)
{
    std::map<RegionalBackend, Instant> owned;
    for (const auto& key : m_backends) {
        if (ownerOf(key, m_candidates) != m_self)
            continue;
        const auto it = m_ownedSince.find(key);
        owned.emplace(key, it == m_ownedSince.end() ? now : it->second);
    }
    m_ownedSince = std::move(owned);
}

std::optional<Instant> Ownership::actingSince(const RegionalBackend& key, Instant now) const
{
    const auto it = m_ownedSince.find(key);
    if (it == m_ownedSince.end() || now - *m_updatedAt > m_timing.maxUpdateGap)
        return std::nullopt;
    const auto settledAt = it->second + m_timing.settlingTime;
    return now < settledAt ? std::nullopt : std::optional(settledAt);
}

} // namespace yuccashift
