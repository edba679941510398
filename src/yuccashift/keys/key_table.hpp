#pragma once

#include "yuccashift/kernel/sharded_map.hpp"
#include "yuccashift/keys/key_routing.hpp"

#include <atomic>
#include <deque>
#include <memory>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

namespace yuccashift {

/** A complete answer, stored so that it can be replayed when the caller retries the request. */
struct StoredAnswer {
    int status = 200;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;

    /** Approximate memory use in bytes. */
    std::size_t size() const;
};

using StoredAnswerPtr = std::shared_ptr<const StoredAnswer>;

/**
 * Permission to run the request of a key once. The holder reports the outcome with
 * finish(), finishWithoutAnswer(), finishUnknown() or releaseNotRun() of KeyTable.
 */
struct KeyTicket {
    KeyId id {};
    /** Distinguishes a run from an earlier one of the same key that was released. */
    std::uint64_t attempt = 0;
};

enum class KeyVerdict {
    /** Run the request. */
    Run,
    /** Return the stored answer of an earlier run. */
    Replay,
    /** Return an error. */
    Refuse,
};

/** What to do with a request that carries a minted key. */
struct KeyDecision {
    KeyVerdict verdict = KeyVerdict::Refuse;
    /** Set only for Run. */
    KeyTicket ticket;
    /** Set only for Replay. */
    StoredAnswerPtr answer;
    /** Set only for Refuse. */
    std::optional<Error> error;
};

/** Limits on the memory of a KeyTable. */
struct KeyTableLimits {
    /** Maximum number of entries. */
    std::size_t maxKeys = 100000;
    /** Maximum total size of all stored answers in bytes; beyond it the oldest answers are dropped. */
    std::size_t maxTotalAnswerBytes = 16 << 20;
    /** Maximum size of one stored answer in bytes; a larger answer is not stored. */
    std::size_t maxAnswerBytes = 256 << 10;
};

/**
 * Records which keys minted by this incarnation have run. An entry is kept for
 * exactly as long as its key is accepted, so removing an entry never allows a
 * second run. A full table refuses new keys and never evicts an entry. Thread safe.
 */
class KeyTable {
public:
    KeyTable(KeyOwner, KeyTableLimits);

    /**
     * Decides whether a request runs, after routeKey() returned RunHere for its key.
     * Refuses it with
     * - KeyConflict if the key was used for a request with another fingerprint,
     * - InProgress while the first request with the key is running,
     * - KeyExpired if the key is older than its lifetime, or if the request ran
     *   but its answer is not stored (then with run state Ran),
     * - KeyTableFull if the table has no free entry,
     * - KeyOwnerUnreachable if another incarnation minted the key,
     * - the kind passed to finishUnknown() if the outcome of the run is unknown.
     */
    KeyDecision begin(const MintedKey&, std::uint64_t requestFingerprint, Instant now);

    /** Records that the request ran, and stores its complete answer. */
    void finish(const KeyTicket&, StoredAnswer);
    /** Records that the request ran, without storing its answer. */
    void finishWithoutAnswer(const KeyTicket&);
    /** Records that the request may have run. Later requests with the key are refused with this kind and an unknown outcome. */
    void finishUnknown(const KeyTicket&, ErrorKind = ErrorKind::BackendLost);
    /** Removes the entry because the request certainly did not run; the key can be used again. */
    void releaseNotRun(const KeyTicket&);

    /** Removes the entries of all keys that have expired at `now`. */
    void expire(Instant now);

    /** Number of entries. */
    std::size_t size() const;
    /** Total size of the stored answers in bytes. */
    std::size_t answerBytes() const;

private:
    enum class State : std::uint8_t {
        Running,
        Answered,
        Ran,
        Unknown,
    };

    // Keep this struct small: a full table accounts for most of the memory that this module uses.
    struct Entry {
        std::uint64_t fingerprint = 0;
        std::uint64_t attempt = 0;
        milliseconds mintedAt { 0 };
        StoredAnswerPtr answer;
        State state = State::Running;
        ErrorKind kind = ErrorKind::BackendLost;
    };

    struct StoredAnswerSize {
        KeyId id;
        std::size_t size = 0;
    };

    using Table = ShardedMap<KeyId, Entry>;

    KeyDecision beginLocked(Table::Shard&, const MintedKey&, std::uint64_t fingerprint);
    KeyDecision decideForEntry(const Entry&, std::uint64_t fingerprint) const;
    bool tryReserveEntry();
    bool setOutcome(const KeyTicket&, State, StoredAnswerPtr, ErrorKind);
    void recordStoredAnswer(const KeyId&, std::size_t size);
    void trimAnswers();
    bool hasStoredAnswer(const KeyId&);

    const KeyOwner m_owner;
    const KeyTableLimits m_bounds;
    Table m_entries;
    std::atomic<std::size_t> m_size = 0;
    std::atomic<std::uint64_t> m_nextAttempt = 1;
    /** The latest time for which expire() removed entries. */
    std::atomic<Instant> m_expiredUntil = Instant {};

    /** Guards m_answers and m_answerBytes. Locked before the lock of a shard, never while one is held. */
    mutable std::mutex m_answersMutex;
    /** Stored answers, oldest first. */
    std::deque<StoredAnswerSize> m_answers;
    std::size_t m_answerBytes = 0;
};

} // namespace yuccashift
