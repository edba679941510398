#include "yuccashift/gateway/in_flight_request_tracker.hpp"

#include <algorithm>
#include <utility>

namespace yuccashift {

InFlightRequestTracker::Entry::Entry(InFlightRequestTracker& tracker, BackendKey backend, std::uint64_t fingerprint)
    : m_tracker(tracker)
    , m_backend(std::move(backend))
    , m_fingerprint(fingerprint)
{
    m_tracker.m_requests.withShard(m_backend, [&](auto& shard) { shard[m_backend].push_back({ m_fingerprint, this, false }); });
}

InFlightRequestTracker::Entry::~Entry()
{
    m_tracker.m_requests.withShard(m_backend, [&](auto& shard) {
        auto& requests = shard[m_backend];
        requests.erase(std::ranges::find(requests, this, &TrackedRequest::entry));
        if (requests.empty())
            shard.erase(m_backend);
    });
}

std::vector<std::uint64_t> InFlightRequestTracker::fingerprintsOn(const BackendKey& backend)
{
    return m_requests.withShard(backend, [&](auto& shard) {
        std::vector<std::uint64_t> fingerprints;
        const auto it = shard.find(backend);
        if (it == shard.end())
            return fingerprints;
        for (const auto& request : it->second)
            fingerprints.push_back(request.fingerprint);
        return fingerprints;
    });
}

std::vector<std::uint64_t> InFlightRequestTracker::takeForCrash(const BackendKey& backend)
{
    return m_requests.withShard(backend, [&](auto& shard) {
        std::vector<std::uint64_t> fingerprints;
        const auto it = shard.find(backend);
        if (it == shard.end())
            return fingerprints;
        // The requests on a server notice its crash at different times, up to a
        // progress timeout apart; without this flag one crash would count as several.
        for (auto& request : it->second) {
            if (!std::exchange(request.reported, true))
                fingerprints.push_back(request.fingerprint);
        }
        return fingerprints;
    });
}

} // namespace yuccashift
