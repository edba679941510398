#pragma once

#include "yuccashift/kernel/clock.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <set>
#include <span>
#include <unordered_map>
#include <vector>

namespace yuccashift {

/** Short hash of the id of a part of a prompt. */
using PartHash = std::uint32_t;

PartHash hashOfPart(std::uint64_t id);

/** The first blocks of a prompt but its last one, from the chained hashes of its blocks. */
std::vector<PartHash> partsOfBlocks(std::span<const std::uint64_t> blocks);

/** A backend server was lost while this request was in progress there. Sent to all instances. */
struct PromptLoss {
    /** Assigned by the instance that sent the request. */
    std::uint32_t id = 0;
    /** Short hash of the server's identity. */
    std::uint32_t server = 0;
    /** Parts of the request's prompt that may be the cause. */
    std::vector<PartHash> parts;
    /** Time since the request was sent to the server. */
    Duration sentAgo {};
    /** Time since the server was lost. */
    Duration lostAgo {};
    /** Short hash of the whole request; 0 if it is not tracked. */
    PartHash request = 0;
};

/** A request with this part was served. */
struct PartSuccess {
    PartHash part = 0;
    Duration ago {};
};

struct PromptEvidence {
    std::vector<PromptLoss> losses;
    std::vector<PartSuccess> successes;
};

struct PromptQuarantineLimits {
    /** Losses one after another from which a part is quarantined, and lost servers from which a whole request is. */
    std::size_t lossThreshold = 3;
    /** Time after the last of these losses in which news of a success may still arrive. */
    Duration settleTime = seconds(1);
    /** A part that was served here so shortly before a loss is not its cause. */
    Duration recentSuccess = seconds(2);
    /** Time for which a loss or a success counts, unless a part is quarantined for the loss. */
    Duration expiry = seconds(60);
    /** Time for which the losses of a quarantined part count after the last one of them. */
    Duration quarantineExpiry = std::chrono::hours(1);
    /** Time after the last loss until one request is let through; it grows by `probeIntervalGrowth` with each that is lost. */
    Duration firstProbeInterval = seconds(60);
    int probeIntervalGrowth = 4;
    Duration maxProbeInterval = std::chrono::minutes(30);
    /** How much later the next instance in the order of a part lets a request through, if the one before got none. */
    Duration probeStagger = seconds(5);
    /** Interval in which the losses of quarantined parts are told again, for instances that have restarted. */
    Duration retellInterval = seconds(10);
    std::size_t maxLosses = 256;
    std::size_t maxSuccesses = 4096;
    /** Number of heartbeats in the own region that carry a loss or a success. */
    std::uint32_t timesSent = 3;
};

/**
 * Decides which instance is the first to let a request with a quarantined part through: those that know the same
 * instances agree on their order.
 */
class ProbeOrder {
public:
    virtual ~ProbeOrder();
    /** Number of instances before this one. */
    virtual std::size_t rankFor(PartHash) const = 0;
};

/**
 * Finds the parts of prompts that crash backend servers, whatever else the
 * requests hold. A part is quarantined after requests that hold it lost their
 * servers several times one after another with no request served in between. Of
 * several such parts the one that explains most losses is quarantined, and the
 * losses that it explains do not count against the others. A whole request, of
 * which all copies are alike, is quarantined after several servers were lost under
 * it, also at once, with no copy served since. What is quarantined stays so for as
 * long as requests with it may still crash servers: a single request is let through
 * after growing intervals, and releases it if it is served. Thread safe under a single lock,
 * which suffices because there are almost never any losses.
 */
class PromptQuarantine {
public:
    explicit PromptQuarantine(PromptQuarantineLimits = {});

    /**
     * Records the loss of a server under a request with these parts.
     * @param request short hash of the whole request; 0 if it is not tracked
     */
    void onServerLost(std::uint32_t server, std::span<const PartHash> parts, Instant sentAt, Instant lostAt, PartHash request = 0);
    /** Records that a request with these parts was served, which proves them sound. */
    void onSuccess(std::span<const PartHash> parts, Instant now);
    /** Records that the request was served, if servers were lost under it. */
    void onRequestServed(PartHash request, Instant now);
    /** Whether no losses are known, so that nothing is quarantined. */
    bool empty() const;
    /**
     * The quarantined part or request among these for which a new request is refused; 0 if it may be sent, also as the
     * single one that is let through.
     *
     * @param order if null, this instance is the first to let a request through
     */
    PartHash findQuarantined(std::span<const PartHash> hashes, Instant now, const ProbeOrder* order = nullptr);
    /** Whether one of these is quarantined, so that nothing is sent again. */
    bool anyQuarantined(std::span<const PartHash> hashes, Instant now);
    std::size_t quarantinedCount(Instant now);

    /** Evidence for a heartbeat within the region, what was sent least often first. Counts it as sent. */
    PromptEvidence takeForHeartbeat(Instant now, std::size_t limit);
    /** The most recent evidence, for heartbeats to other regions. */
    PromptEvidence newest(Instant now, std::size_t limit) const;
    /**
     * Adds evidence of another instance.
     * @param sendInRegion whether to send it on within this region, which may lack it
     */
    void merge(const PromptEvidence&, Instant now, bool sendInRegion = false);

private:
    struct Loss {
        std::uint32_t id = 0;
        std::uint32_t server = 0;
        std::vector<PartHash> parts;
        Instant sentAt {};
        Instant lostAt {};
        /** Heartbeats that may still carry it. */
        std::uint32_t sendsLeft = 0;
        /** The whole request; 0 if it is not tracked. */
        PartHash request = 0;
        /** When this instance learned of it. */
        Instant knownAt {};
        Instant toldAt {};

        bool holds(PartHash) const;
        bool holdsAny(const std::set<PartHash>&) const;
    };
    struct Success {
        Instant at {};
        std::uint32_t sendsLeft = 0;
    };
    struct Suspect;
    using Suspects = std::map<PartHash, Suspect>;

    void addLoss(Loss);
    void retell(Loss&);
    void addSuccess(PartHash, Instant at, std::uint32_t sendsLeft);
    bool isSuspect(PartHash) const;
    void expire(Instant now);
    /** Whether this instance may let a request with the quarantined part through. */
    bool mayProbe(PartHash, Instant now, const ProbeOrder*) const;
    /** What the known losses may be blamed on. */
    std::set<PartHash> heldParts() const;
    bool servedSince(PartHash, Instant) const;
    Suspects collectSuspects(const std::set<const Loss*>& explained) const;
    /** Adds the losses of the servers that the part crashed. */
    void markExplained(PartHash, std::set<const Loss*>& explained) const;
    void updateQuarantined(Instant now);

    const PromptQuarantineLimits m_limits;
    /** Makes the loss ids of different instances distinct. */
    const std::uint64_t m_salt;
    std::uint64_t m_lossCount = 0;
    mutable std::mutex m_mutex;
    std::deque<Loss> m_losses;
    std::unordered_map<PartHash, Success> m_successes;
    std::set<PartHash> m_quarantined;
    /** When this instance last let a request with a quarantined part through. */
    std::map<PartHash, Instant> m_probedAt;
    /** When the quarantined parts were last determined. */
    Instant m_updatedAt {};
};

} // namespace yuccashift
