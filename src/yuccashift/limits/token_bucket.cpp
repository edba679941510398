#include "yuccashift/limits/token_bucket.hpp"

#include <algorithm>

namespace yuccashift {

TokenBucket::TokenBucket(double rate, double burst, Instant now)
    : m_rate(rate)
    , m_burst(burst)
    , m_tokens(burst)
    , m_refilledAt(now)
{
}

void TokenBucket::refill(Instant now)
{
    if (now <= m_refilledAt)
        return;
    const double elapsed = std::chrono::duration<double>(now - m_refilledAt).count();
    m_tokens = std::min(m_burst, m_tokens + elapsed * m_rate);
    m_refilledAt = now;
}

bool TokenBucket::tryTake(double tokens, Instant now)
{
    refill(now);
    if (m_tokens < tokens)
        return false;
    m_tokens -= tokens;
    return true;
}

void TokenBucket::charge(double tokens, Instant now)
{
    refill(now);
    m_tokens -= tokens;
}

void TokenBucket::setRate(double rate, double burst, Instant now)
{
    refill(now);
    m_rate = rate;
    m_burst = burst;
    m_tokens = std::min(m_tokens, burst);
}

Duration TokenBucket::timeUntilAvailable(double tokens, Instant now)
{
    refill(now);
    if (m_tokens >= tokens)
        return {};
    if (m_rate <= 0 || tokens > m_burst)
        return Duration::max();
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>((tokens - m_tokens) / m_rate));
}

} // namespace yuccashift
