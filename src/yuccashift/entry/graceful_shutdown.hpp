#pragma once

#include "yuccashift/kernel/clock.hpp"

#include <algorithm>

namespace yuccashift {

/** Schedule of a graceful shutdown, from the stop signal to the end of the process. */
struct GracefulShutdown {
    Instant startedAt {};
    /** Requests still in progress at this time are answered with a failure. */
    Instant endsBy {};
    /** From then on, only callers with an outdated directory answer still connect. */
    Instant directoryAnswersExpireAt {};

    /**
     * Whether a request that arrives at `now` is refused immediately, because its
     * answer may not be complete before the end of the process. Requests are still
     * accepted while directory answers from before the shutdown are valid: most
     * finish long before their deadline, and their callers cannot know of the
     * shutdown yet.
     */
    bool mustRefuse(Instant now, Instant deadline) const { return now >= std::min(directoryAnswersExpireAt, endsBy) && deadline > endsBy; }
};

} // namespace yuccashift
