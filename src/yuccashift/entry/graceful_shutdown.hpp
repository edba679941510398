#pragma once

#include "yuccashift/kernel/clock.hpp"

namespace yuccashift {

/** The time from the signal that tells an instance to stop to the end of its process. */
struct GracefulShutdown {
    Instant startedAt {};
    /** What is still in progress then is given up. */
    Instant endsBy {};
    /** From then on only callers with an old directory answer come. */
    Instant directoryAnswersExpireAt {};

    /**
     * Whether a request that arrives now is refused at once, since its answer may not
     * be whole before the end. Earlier ones are taken: most end long before their
     * deadline, and their callers had no way to know.
     */
    bool mustRefuse(Instant now, Instant deadline) const { return now >= directoryAnswersExpireAt && deadline > endsBy; }
};

} // namespace yuccashift
