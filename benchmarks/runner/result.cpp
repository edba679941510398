#include "benchmarks/runner/result.hpp"

#include <algorithm>

namespace yuccashift::runner {
namespace {

    constexpr double percentBase = 100;

    double ratio(double part, double whole)
    {
        return whole > 0 ? part / whole : 0;
    }

    void addClass(ClassResult& sum, const ClassResult& other)
    {
        sum.offered += other.offered;
        for (std::size_t n = 0; n < sum.endings.size(); ++n)
            sum.endings[n] += other.endings[n];
        sum.latencies.insert(sum.latencies.end(), other.latencies.begin(), other.latencies.end());
    }

    void countClass(ClassResult& result, Ending ending, double latency)
    {
        ++result.offered;
        ++result.endings[static_cast<std::size_t>(ending)];
        result.latencies.push_back(latency);
    }

} // namespace

double ClassResult::percentile(double percent) const
{
    if (latencies.empty())
        return 0;
    auto sorted = latencies;
    const auto rank = static_cast<std::size_t>(percent / percentBase * static_cast<double>(sorted.size()));
    const auto middle = sorted.begin() + static_cast<std::ptrdiff_t>(std::min(rank, sorted.size() - 1));
    std::nth_element(sorted.begin(), middle, sorted.end());
    return *middle;
}

void RunResult::count(const Arrival& arrival, Ending ending, double latency)
{
    const auto& kind = classSpecs()[static_cast<std::size_t>(arrival.kind)];
    if (arrival.poison)
        return;
    const double counted = ending == Ending::Answered ? latency : std::chrono::duration<double>(kind.deadline).count();
    countClass(classes[static_cast<std::size_t>(arrival.kind)], ending, counted);
    if (kind.priority == Priority::Urgent && arrival.traits.organisation != "noisy")
        countClass(quietUrgent, ending, counted);
    if (ending == Ending::Answered)
        answeredTokens += arrival.tokens;
}

void RunResult::add(const RunResult& other)
{
    for (std::size_t n = 0; n < classCount; ++n)
        addClass(classes[n], other.classes[n]);
    addClass(quietUrgent, other.quietUrgent);
    sentAway += other.sentAway;
    attempts += other.attempts;
    sends += other.sends;
    acceleratorSeconds += other.acceleratorSeconds;
    answeredTokens += other.answeredTokens;
    cachedTokens += other.cachedTokens;
    promptTokens += other.promptTokens;
    crashes += other.crashes;
    recoverySeconds = std::max(recoverySeconds, other.recoverySeconds);
    length += other.length;
}

std::uint64_t RunResult::offered() const
{
    std::uint64_t sum = 0;
    for (const auto& result : classes)
        sum += result.offered;
    return sum;
}

std::uint64_t RunResult::answered() const
{
    std::uint64_t sum = 0;
    for (const auto& result : classes)
        sum += result.count(Ending::Answered);
    return sum;
}

std::uint64_t RunResult::refused() const
{
    std::uint64_t sum = 0;
    for (const auto& result : classes)
        sum += result.count(Ending::Refused);
    return sum;
}

std::uint64_t RunResult::urgentMissed() const
{
    std::uint64_t sum = 0;
    for (std::size_t n = 0; n < classCount; ++n)
        sum += classSpecs()[n].priority == Priority::Urgent ? classes[n].missed() : 0;
    return sum;
}

double RunResult::goodput() const
{
    return ratio(static_cast<double>(answered()), length);
}

double RunResult::awayShare() const
{
    return ratio(static_cast<double>(sentAway), static_cast<double>(offered()));
}

double RunResult::cacheHitRate() const
{
    return ratio(cachedTokens, promptTokens);
}

double RunResult::costPerThousandTokens() const
{
    constexpr double thousand = 1000;
    return ratio(acceleratorSeconds * thousand, answeredTokens);
}

double RunResult::attemptsPerSend() const
{
    return ratio(static_cast<double>(attempts), static_cast<double>(sends));
}

} // namespace yuccashift::runner
