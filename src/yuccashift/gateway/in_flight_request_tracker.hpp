#pragma once

#include "yuccashift/kernel/sharded_map.hpp"
#include "yuccashift/routing/backend_key.hpp"

#include <cstdint>
#include <vector>

namespace yuccashift {

/** Tracks the fingerprints of this instance's in-flight requests by backend server. Thread safe. */
class InFlightRequestTracker {
public:
    /** Tracks one request from construction to destruction. */
    class Entry {
    public:
        Entry(InFlightRequestTracker&, BackendKey, std::uint64_t fingerprint);
        ~Entry();
        Entry(const Entry&) = delete;
        Entry& operator=(const Entry&) = delete;

    private:
        InFlightRequestTracker& m_tracker;
        BackendKey m_backend;
        std::uint64_t m_fingerprint;
    };

    /** Fingerprints of the requests in flight on the server, one for each request. */
    std::vector<std::uint64_t> fingerprintsOn(const BackendKey&);
    /**
     * Fingerprints of the requests in flight on a crashed server. Each request is
     * returned by one call only, so that a crash that several requests notice
     * counts once.
     */
    std::vector<std::uint64_t> takeForCrash(const BackendKey&);

private:
    struct TrackedRequest {
        std::uint64_t fingerprint = 0;
        const Entry* entry = nullptr;
        bool reported = false;
    };

    ShardedMap<BackendKey, std::vector<TrackedRequest>> m_requests;
};

} // namespace yuccashift
