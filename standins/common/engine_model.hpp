#pragma once

#include "standins/common/prefix_cache.hpp"
#include "standins/common/signal.hpp"

#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace standins {

/** Speeds and limits of one simulated engine. */
struct EngineOptions {
    /** Maximum number of sequences in a batch. */
    std::uint32_t slots = 8;
    /** Maximum number of waiting sequences; submit() rejects any further ones. */
    std::uint32_t queue = 256;
    double prefillTokensPerSecond = 8000;
    /** Decoding speed of a batch with a single sequence, in tokens per second. */
    double decodeTokensPerSecond = 200;
    /** Increase in step time for each additional sequence in the batch, in percent. */
    double batchCostPercent = 3;
    std::size_t blockTokens = 16;
    std::size_t cacheBlocks = 4096;
    /** Number of finished sequences kept so that they can be resumed. */
    std::size_t maxKeptSequences = 1024;
};

/** State of one generation request from its arrival to its last token. */
struct Sequence {
    std::string id;
    std::string model;
    std::string prompt;
    int priority = 1;
    std::uint64_t tokens = 0;
    /** Tokens still to be prefilled. */
    std::uint64_t prefillLeft = 0;
    std::uint64_t generated = 0;
    bool cancelled = false;
    /** Notified when a token is generated and when the sequence is cancelled. */
    Signal progress;

    bool finished() const { return cancelled || generated >= tokens; }
};

using SequencePtr = std::shared_ptr<Sequence>;

/**
 * Simulates continuous batching: each step prefills part of the
 * prompts of newly started sequences and generates one token for every running
 * sequence whose prefill is complete.
 */
class EngineModel {
public:
    explicit EngineModel(EngineOptions);

    /** Queues the sequence. Returns false if the queue is full. */
    bool submit(const SequencePtr&);
    /** Returns the running, waiting or kept sequence with this id, or null if there is none. */
    SequencePtr find(const std::string& id) const;
    bool cancel(const std::string& id);
    /** Executes batch steps in an endless loop. */
    boost::asio::awaitable<void> run();

    /** Called with each sequence that moves from the queue into the batch. */
    std::function<void(const Sequence&)> onStart;
    /** Factor applied to the time of each step. */
    double slowFactor = 1;

    std::size_t running() const { return m_running.size(); }
    std::size_t waiting() const { return m_waiting.size(); }
    /** Tokens that all sequences together still have to prefill or generate. */
    std::uint64_t queuedTokens() const;
    PrefixCache& cache() { return m_cache; }
    const EngineOptions& options() const { return m_options; }

private:
    void admit();
    void start(const SequencePtr&);
    std::uint64_t prefill();
    Clock::duration stepTime(std::uint64_t prefilled) const;
    void generate();
    void retire(const SequencePtr&);

    EngineOptions m_options;
    PrefixCache m_cache;
    std::vector<SequencePtr> m_running;
    std::list<SequencePtr> m_waiting;
    std::map<std::string, SequencePtr> m_sequences;
    std::deque<std::string> m_keptIds;
    Signal m_arrived;
};

} // namespace standins
