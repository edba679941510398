#include "yuccashift/answers/stream_deduplicator.hpp"

namespace yuccashift {

bool StreamDeduplicator::accept(std::int64_t stream)
{
    constexpr auto windowSize = static_cast<std::int64_t>(window);
    if (stream <= 0)
        return false;
    if (stream <= m_highest) {
        // Nothing is recorded about numbers below the window, so they are rejected.
        if (m_highest - stream >= windowSize || m_accepted.test(slotOf(stream)))
            return false;
        m_accepted.set(slotOf(stream));
        return true;
    }
    if (stream - m_highest >= windowSize)
        m_accepted.reset();
    else
        for (auto skipped = m_highest + 1; skipped < stream; ++skipped)
            m_accepted.reset(slotOf(skipped));
    m_accepted.set(slotOf(stream));
    m_highest = stream;
    return true;
}

} // namespace yuccashift
