#include "yuccashift/answers/stream_intake.hpp"

namespace yuccashift {

bool StreamIntake::accept(std::int64_t stream)
{
    // A gap is fine: the stream in it was cancelled, or it is refused when it
    // comes late, which its sender sees as an unknown outcome.
    if (stream <= m_highest)
        return false;
    m_highest = stream;
    return true;
}

} // namespace yuccashift
