#pragma once

#include "yuccashift/kernel/clock.hpp"

namespace yuccashift {

/** Tokens that flow in at a rate, up to a burst. Not thread safe. */
class TokenBucket {
public:
    /** Tokens per second and most tokens held; starts full. */
    TokenBucket(double rate, double burst, Instant now);

    /** Takes the tokens if they are there. */
    bool tryTake(double tokens, Instant now);
    /** Takes tokens that were used already, into debt where need be. */
    void charge(double tokens, Instant now);
    /** Changes rate and burst from now on; never adds tokens. */
    void setRate(double rate, double burst, Instant now);
    /** Time until so many tokens will be there; Duration::max() where never. */
    Duration timeUntilAvailable(double tokens, Instant now);

private:
    void refill(Instant now);

    double m_rate;
    double m_burst;
    double m_tokens;
    Instant m_refilledAt;
};

} // namespace yuccashift
