#include "yuccashift/answers/stream_origin_table.hpp"

#include <utility>

namespace yuccashift {

void StreamOriginTable::record(AttemptHash attempt, SoftwareId software, Instant now)
{
    if (find(attempt) != 0)
        return;
    if (now - m_currentSince >= lifetime || m_current.size() >= maxEntries / 2) {
        m_previous = std::exchange(m_current, {});
        m_currentSince = now;
    }
    m_current.emplace(attempt, software);
}

SoftwareId StreamOriginTable::find(AttemptHash attempt) const
{
    for (const auto* generation : { &m_current, &m_previous }) {
        if (const auto it = generation->find(attempt); it != generation->end())
            return it->second;
    }
    return 0;
}

} // namespace yuccashift
