#pragma once

#include "yuccashift/kernel/clock.hpp"

namespace yuccashift {

/** Token bucket: refilled at a constant rate, up to the burst. Not thread safe. */
class TokenBucket {
public:
    /**
     * Creates a full bucket.
     * @param rate tokens per second
     * @param burst maximum number of tokens held
     */
    TokenBucket(double rate, double burst, Instant now);

    /** Takes the tokens if they are available; otherwise returns false and takes none. */
    bool tryTake(double tokens, Instant now);
    /** Takes tokens that were already used; the balance may become negative. */
    void charge(double tokens, Instant now);
    /** Changes the rate and burst from now on. Drops tokens beyond the new burst, never adds any. */
    void setRate(double rate, double burst, Instant now);
    /** Time until this many tokens are available; Duration::max() if they never will be. */
    Duration timeUntilAvailable(double tokens, Instant now);

private:
    void refill(Instant now);

    double m_rate;
    double m_burst;
    double m_tokens;
    Instant m_refilledAt;
};

} // namespace yuccashift
