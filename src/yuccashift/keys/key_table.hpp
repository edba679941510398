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

/** A whole answer, kept for callers that send the same request again. */
struct StoredAnswer {
    int status = 200;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;

    /** Bytes of memory it takes, roughly. */
    std::size_t size() const;
};

using StoredAnswerPtr = std::shared_ptr<const StoredAnswer>;

/** Permission to run a key once; given back through one of KeyTable's closing calls. */
struct KeyTicket {
    KeyId id {};
    /** Tells apart two runs of a key that was released in between. */
    std::uint64_t attempt = 0;
};

enum class KeyVerdict {
    Run,
    Replay,
    Refuse,
};

/** What to do with a request that carries a minted key. */
struct KeyDecision {
    KeyVerdict verdict = KeyVerdict::Refuse;
    /** For Run. */
    KeyTicket ticket;
    /** For Replay. */
    StoredAnswerPtr answer;
    /** For Refuse. */
    std::optional<Error> error;
};

/** Bounds of a KeyTable. */
struct KeyTableBounds {
    std::size_t keys = 100000;
    /** Bytes of all kept answers together; the oldest go first. */
    std::size_t answerBytes = 16 << 20;
    /** Bytes of one kept answer. */
    std::size_t oneAnswerBytes = 256 << 10;
};

/**
 * Remembers which keys of this incarnation have run. An entry lives exactly as
 * long as its key is accepted, so forgetting it never allows a second run; a
 * full table refuses new keys and forgets none. Thread safe.
 */
class KeyTable {
public:
    KeyTable(KeyOwner, KeyTableBounds);

    /**
     * Decides on a request for a key that routeKey() said to run here.
     * Refuses with KeyConflict for another request's fingerprint, InProgress
     * while the first runs, KeyExpired for old keys and for runs whose answer
     * was not kept (run state Ran), KeyTableFull where there is no room.
     */
    KeyDecision begin(const MintedKey&, std::uint64_t requestFingerprint, Instant now);

    /** The request ran, and this is its whole answer. */
    void finish(const KeyTicket&, StoredAnswer);
    /** The request ran; its answer is not worth or not possible to keep. */
    void finishWithoutAnswer(const KeyTicket&);
    /** The request may have run; later sendings are refused with this kind and an unknown outcome. */
    void finishUnknown(const KeyTicket&, ErrorKind = ErrorKind::BackendLost);
    /** It is certain that nothing ran: the key may be used again. */
    void releaseNotRun(const KeyTicket&);

    /** Drops the entries of keys that are refused for their age from this moment on. */
    void expire(Instant now);

    std::size_t size() const;
    std::size_t answerBytes() const;

private:
    enum class State : std::uint8_t {
        Running,
        Answered,
        Ran,
        Unknown,
    };

    // Small on purpose: a full table is most of the memory of this module.
    struct Entry {
        std::uint64_t fingerprint = 0;
        std::uint64_t attempt = 0;
        milliseconds mintedAt { 0 };
        StoredAnswerPtr answer;
        State state = State::Running;
        ErrorKind kind = ErrorKind::BackendLost;
    };

    struct KeptAnswer {
        KeyId id;
        std::size_t size = 0;
    };

    using Table = ShardedMap<KeyId, Entry>;

    KeyDecision beginLocked(Table::Shard&, const MintedKey&, std::uint64_t fingerprint);
    KeyDecision decideKnown(const Entry&, std::uint64_t fingerprint) const;
    bool reserve();
    bool close(const KeyTicket&, State, StoredAnswerPtr, ErrorKind);
    void keep(const KeyId&, std::size_t size);
    void trimAnswers();
    bool holdsAnswer(const KeyId&);

    const KeyOwner m_owner;
    const KeyTableBounds m_bounds;
    Table m_entries;
    std::atomic<std::size_t> m_size = 0;
    std::atomic<std::uint64_t> m_nextAttempt = 1;
    /** Latest moment for which entries were dropped. */
    std::atomic<Instant> m_expiredUntil = Instant {};

    /** Guards what follows; taken before a shard's lock, never after it. */
    mutable std::mutex m_answersMutex;
    /** Kept answers, oldest first. */
    std::deque<KeptAnswer> m_answers;
    std::size_t m_answerBytes = 0;
};

} // namespace yuccashift
