#include "yuccashift/dispatch/prompt_demand.hpp"

#include <algorithm>
#include <cmath>

namespace yuccashift {

namespace {

    using Seconds = std::chrono::duration<double>;

    /** Time over which demand is averaged: long enough to even out single prompts, short enough to follow a crowd. */
    constexpr Seconds memoryOfDemand { 0.8 };
    /** A silent instance's callers have gone to others by then. */
    constexpr Duration reportLifetime = seconds(2);
    /** Smaller demand, in engines, is not told. */
    constexpr double minReported = 0.001;

} // namespace

PromptDemand::PromptDemand(const Clock& clock)
    : m_clock(clock)
{
}

void PromptDemand::decay(Decaying& it, Instant now)
{
    const auto factor = std::exp(-Seconds(now - it.at) / memoryOfDemand);
    for (auto& sum : it.sums)
        sum *= factor;
    it.at = now;
}

void PromptDemand::record(const ServiceName& service, std::size_t level, Duration prefill)
{
    auto& it = m_own[service];
    decay(it, m_clock.now());
    it.sums[std::min(level, acceptanceLevels - 1)] += Seconds(prefill).count();
}

PromptLoads PromptDemand::own(const ServiceName& service) const
{
    PromptLoads loads {};
    const auto found = m_own.find(service);
    if (found == m_own.end())
        return loads;
    auto it = found->second;
    decay(it, m_clock.now());
    for (std::size_t level = 0; level < acceptanceLevels; ++level)
        loads[level] = it.sums[level] / memoryOfDemand.count();
    return loads;
}

std::map<ServiceName, PromptLoads> PromptDemand::own() const
{
    std::map<ServiceName, PromptLoads> reported;
    for (const auto& [service, it] : m_own) {
        const auto loads = own(service);
        if (std::ranges::any_of(loads, [](double load) { return load >= minReported; }))
            reported[service] = loads;
    }
    return reported;
}

void PromptDemand::setPeer(const InstanceId& instance, std::map<ServiceName, PromptLoads> loads)
{
    if (loads.empty())
        m_peers.erase(instance);
    else
        m_peers[instance] = { std::move(loads), m_clock.now() };
}

PromptLoads PromptDemand::total(const ServiceName& service) const
{
    auto sum = own(service);
    const auto now = m_clock.now();
    for (const auto& [instance, report] : m_peers) {
        const auto it = report.loads.find(service);
        if (now - report.receivedAt >= reportLifetime || it == report.loads.end())
            continue;
        for (std::size_t level = 0; level < acceptanceLevels; ++level)
            sum[level] += it->second[level];
    }
    return sum;
}

Duration PromptDemand::reportAge() const
{
    Duration oldest {};
    const auto now = m_clock.now();
    for (const auto& [instance, report] : m_peers) {
        const auto age = now - report.receivedAt;
        if (age < reportLifetime)
            oldest = std::max(oldest, age);
    }
    return oldest;
}

} // namespace yuccashift
