#pragma once

#include "yuccashift/kernel/clock.hpp"
#include "yuccashift/kernel/ids.hpp"

#include <cstdint>
#include <map>
#include <set>
#include <unordered_map>

namespace yuccashift {

/**
 * Counts server crashes by the fingerprint of the request that was in progress. A
 * fingerprint with three crashes is blocked until its crash records expire.
 */
class CrashTracker {
public:
    explicit CrashTracker(const Clock&);

    /** Records that a server crashed with this request in progress; counts each server once. */
    void onServerCrash(std::uint64_t fingerprint, std::uint64_t server);
    /** Replaces the crash counts that another instance reported, by fingerprint; an empty map removes them. */
    void setPeerCrashes(const InstanceId&, std::map<std::int64_t, std::int32_t>);
    /** Whether no crash is known, in which case callers need not compute a fingerprint. */
    bool empty() const { return m_records.empty() && m_peers.empty(); }
    /** Whether this instance and its peers together saw enough crashes to stop sending the request. */
    bool blocked(std::uint64_t fingerprint) const;
    /** Crash counts seen by this instance, for heartbeats; limited in number. */
    std::map<std::int64_t, std::int32_t> ownCrashes() const;

private:
    struct Record {
        std::set<std::uint64_t> servers;
        Instant lastCrash {};
    };
    void expire();

    const Clock& m_clock;
    std::unordered_map<std::uint64_t, Record> m_records;
    std::map<InstanceId, std::map<std::int64_t, std::int32_t>> m_peers;
};

} // namespace yuccashift
