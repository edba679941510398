#include "yuccashift/resilience/crash_confirmation.hpp"

#include <algorithm>
#include <functional>
#include <iterator>
#include <utility>

namespace yuccashift {

namespace {

    /** Longer than a probe of the server takes. */
    constexpr Duration confirmationTime = seconds(1);
    constexpr std::size_t maxPending = 1024;

    std::vector<LostRequest> extract(std::vector<LostRequest>& requests, const std::function<bool(const LostRequest&)>& chosen)
    {
        const auto begin = std::stable_partition(requests.begin(), requests.end(), std::not_fn(chosen));
        std::vector<LostRequest> extracted(std::make_move_iterator(begin), std::make_move_iterator(requests.end()));
        requests.erase(begin, requests.end());
        return extracted;
    }

} // namespace

void CrashConfirmation::add(LostRequest request)
{
    if (m_pending.size() < maxPending)
        m_pending.push_back(std::move(request));
}

void CrashConfirmation::onAnswer(std::uint64_t server, Instant askedAt)
{
    std::erase_if(m_pending, [&](const LostRequest& it) { return it.server == server && it.lostAt <= askedAt; });
}

std::vector<LostRequest> CrashConfirmation::takeUnanswered(std::uint64_t server, Instant askedAt)
{
    return extract(m_pending, [&](const LostRequest& it) { return it.server == server && it.lostAt <= askedAt; });
}

std::vector<LostRequest> CrashConfirmation::takeOverdue(Instant now)
{
    return extract(m_pending, [&](const LostRequest& it) { return now - it.lostAt >= confirmationTime; });
}

} // namespace yuccashift
