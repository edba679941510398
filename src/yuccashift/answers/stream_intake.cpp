#include "yuccashift/answers/stream_intake.hpp"

namespace yuccashift {

bool StreamIntake::accept(std::int64_t stream)
{
    constexpr auto width = static_cast<std::int64_t>(window);
    if (stream <= 0)
        return false;
    if (stream <= m_highest) {
        // Whether an older one was taken is forgotten; it never starts anything.
        if (m_highest - stream >= width || m_taken.test(slotOf(stream)))
            return false;
        m_taken.set(slotOf(stream));
        return true;
    }
    if (stream - m_highest >= width)
        m_taken.reset();
    else
        for (auto skipped = m_highest + 1; skipped < stream; ++skipped)
            m_taken.reset(slotOf(skipped));
    m_taken.set(slotOf(stream));
    m_highest = stream;
    return true;
}

} // namespace yuccashift
