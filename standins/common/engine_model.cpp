#include "standins/common/engine_model.hpp"

#include "standins/common/answer_text.hpp"

#include <algorithm>

namespace standins {

namespace {

    /** Maximum prompt tokens prefilled in one step, so that long prompts do not stall decoding. */
    constexpr std::uint64_t maxPrefillPerStep = 512;

} // namespace

EngineModel::EngineModel(EngineOptions options)
    : m_options(options)
    , m_cache(options.cacheBlocks)
{
}

bool EngineModel::submit(const SequencePtr& sequence)
{
    if (m_waiting.size() >= m_options.queue)
        return false;
    const auto position = std::ranges::find_if(m_waiting, [&](const auto& it) { return it->priority > sequence->priority; });
    m_waiting.insert(position, sequence);
    m_sequences[sequence->id] = sequence;
    m_arrived.notifyAll();
    return true;
}

SequencePtr EngineModel::find(const std::string& id) const
{
    const auto it = m_sequences.find(id);
    return it == m_sequences.end() ? nullptr : it->second;
}

bool EngineModel::cancel(const std::string& id)
{
    const auto sequence = find(id);
    if (sequence == nullptr || sequence->finished())
        return false;
    sequence->cancelled = true;
    std::erase(m_waiting, sequence);
    std::erase(m_running, sequence);
    m_sequences.erase(id);
    sequence->progress.notifyAll();
    return true;
}

boost::asio::awaitable<void> EngineModel::run()
{
    while (true) {
        admit();
        if (m_running.empty()) {
            co_await m_arrived.wait();
            continue;
        }
        const auto prefilled = prefill();
        co_await sleepFor(stepTime(prefilled));
        generate();
    }
}

std::uint64_t EngineModel::queuedTokens() const
{
    std::uint64_t sum = 0;
    const auto add = [&](const SequencePtr& it) { sum += it->prefillLeft + it->tokens - it->generated; };
    std::ranges::for_each(m_running, add);
    std::ranges::for_each(m_waiting, add);
    return sum;
}

void EngineModel::admit()
{
    while (!m_waiting.empty() && m_running.size() < m_options.slots) {
        const auto sequence = m_waiting.front();
        m_waiting.pop_front();
        start(sequence);
    }
}

void EngineModel::start(const SequencePtr& sequence)
{
    if (onStart)
        onStart(*sequence);
    const auto blocks = blockHashes(sequence->prompt, m_options.blockTokens);
    const auto cached = m_cache.match(blocks) * m_options.blockTokens;
    // A resumed sequence also prefills the tokens that it generated before.
    const auto all = sequence->prompt.size() / bytesPerToken + sequence->generated;
    sequence->prefillLeft = std::max<std::uint64_t>(all - std::min<std::uint64_t>(all, cached), 1);
    for (const auto block : blocks)
        m_cache.store(block);
    m_running.push_back(sequence);
}

std::uint64_t EngineModel::prefill()
{
    std::uint64_t left = maxPrefillPerStep;
    for (const auto& sequence : m_running) {
        const auto part = std::min(left, sequence->prefillLeft);
        sequence->prefillLeft -= part;
        left -= part;
    }
    return maxPrefillPerStep - left;
}

Clock::duration EngineModel::stepTime(std::uint64_t prefilled) const
{
    constexpr double hundred = 100;
    const auto additional = static_cast<double>(m_running.size() - 1);
    const double decode = (1 + additional * m_options.batchCostPercent / hundred) / m_options.decodeTokensPerSecond;
    const double compute = static_cast<double>(prefilled) / m_options.prefillTokensPerSecond;
    return std::chrono::duration_cast<Clock::duration>(std::chrono::duration<double>((decode + compute) * slowFactor));
}

void EngineModel::generate()
{
    const auto batch = m_running;
    for (const auto& sequence : batch) {
        if (sequence->cancelled || sequence->prefillLeft > 0)
            continue;
        ++sequence->generated;
        if (sequence->finished())
            retire(sequence);
        sequence->progress.notifyAll();
    }
}

void EngineModel::retire(const SequencePtr& sequence)
{
    std::erase(m_running, sequence);
    m_keptIds.push_back(sequence->id);
    if (m_keptIds.size() <= m_options.maxKeptSequences)
        return;
    m_sequences.erase(m_keptIds.front());
    m_keptIds.pop_front();
}

} // namespace standins
