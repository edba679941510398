#pragma once

#include "yuccashift/kernel/clock.hpp"
#include "yuccashift/kernel/ids.hpp"

#include <cstdint>
#include <map>
#include <set>
#include <unordered_map>

namespace yuccashift {

/**
 * Requests that were in progress when backend servers died, by fingerprint. A
 * request whose fingerprint has seen three deaths is not sent again for a while.
 */
class CrashTracker {
public:
    explicit CrashTracker(const Clock&);

    /** A server died with this request in progress; the same server counts once. */
    void onServerCrash(std::uint64_t fingerprint, std::uint64_t server);
    /** Deaths seen by another instance. */
    void setPeerCrashes(const InstanceId&, std::map<std::int64_t, std::int32_t>);
    /** Whether no death is known at all, so that a request's fingerprint need not be taken. */
    bool empty() const { return m_records.empty() && m_peers.empty(); }
    bool blocked(std::uint64_t fingerprint) const;
    /** Own records for heartbeats, bounded. */
    std::map<std::int64_t, std::int32_t> ownCrashes() const;

private:
    struct Record {
        std::set<std::uint64_t> servers;
        Instant last {};
    };
    void expire();

    const Clock& m_clock;
    std::unordered_map<std::uint64_t, Record> m_records;
    std::map<InstanceId, std::map<std::int64_t, std::int32_t>> m_peers;
};

} // namespace yuccashift
