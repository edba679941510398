#pragma once

#include "yuccashift/kernel/random.hpp"
#include "yuccashift/limits/fleet_limits.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <deque>
#include <map>
#include <memory>
#include <numeric>
#include <string>
#include <utility>
#include <vector>

namespace yuccashift {

/** What was asked and admitted in a time, and what one bucket at one place would have served. */
struct LimitsOutcome {
    double offered = 0;
    double admitted = 0;
    double served = 0;
    /** Part that was refused of what could have been served. */
    double lostPart() const { return served <= 0 ? 0 : std::max(0.0, 1 - admitted / served); }
};

/**
 * Instances in three regions that share one organisation's limit, in virtual
 * time. Reports travel as heartbeats do: to the own region in every round, to
 * two instances of each other region in every second one. Requests come in
 * clumps of large, small and plain ones. Every window is held against the rule.
 */
class LimitsFleet {
public:
    static constexpr std::size_t regions = 3;
    static constexpr auto step = milliseconds(10);
    static constexpr std::size_t stepsInWindow = 800;
    static constexpr double windowSeconds = 8;
    static constexpr double overage = 1.25;
    static constexpr double slack = 140'000;

    LimitsFleet(std::size_t instances, FleetLimit limit, std::uint64_t seed)
        : m_limit(limit)
        , m_random(seed)
        , m_byRegion(regions)
        , m_bucket(limit.burst)
    {
        for (std::size_t n = 0; n < instances; ++n) {
            auto& it = m_instances.emplace_back();
            it.name = "i" + std::to_string(n);
            it.region = n % regions;
            m_byRegion[it.region].push_back(n);
            start(it, Duration::zero());
        }
        setDemand({ 0, 0, 0 });
    }

    /** Sets what callers send to each region, in tokens per second, evenly over its instances. */
    void setDemand(std::vector<double> byRegion)
    {
        for (std::size_t n = 0; n < m_instances.size(); ++n) {
            const auto region = m_instances[n].region;
            m_instances[n].demand = byRegion[region] / static_cast<double>(m_byRegion[region].size());
        }
    }
    /** Moves the callers of this part of the instances to those that follow them. */
    void moveCallers(double part)
    {
        const auto count = static_cast<std::size_t>(part * static_cast<double>(m_instances.size()));
        for (std::size_t n = 0; n < count; ++n)
            m_instances[(n + count) % m_instances.size()].demand += std::exchange(m_instances[n].demand, 0);
    }
    void setLimit(FleetLimit limit) { m_limit = limit; }
    /** From now on only windows count that begin now or later. */
    void restartWindows()
    {
        m_steps.clear();
        m_worstWindow = 0;
    }
    /** Regions of different groups do not hear each other. */
    void setGroups(std::array<int, regions> groups) { m_groups = groups; }
    /** Replaces this part of the processes; the new ones serve after the pause. */
    void restart(double part, Duration pause)
    {
        for (auto& it : m_instances) {
            if (m_random.uniformReal() < part)
                start(it, pause);
        }
    }
    /** Stops instances; their callers go to those that are left. */
    void stop(double part)
    {
        double orphaned = 0;
        std::size_t left = 0;
        for (auto& it : m_instances) {
            it.stopped = it.stopped || m_random.uniformReal() < part;
            left += it.stopped ? 0 : 1;
            if (it.stopped)
                orphaned += std::exchange(it.demand, 0);
        }
        for (auto& it : m_instances)
            it.demand += it.stopped ? 0 : orphaned / static_cast<double>(left);
    }

    LimitsOutcome run(Duration duration)
    {
        LimitsOutcome outcome;
        for (const auto until = m_now + duration; m_now < until;) {
            m_now += step;
            m_bucket = std::min(m_limit.burst, m_bucket + m_limit.perSecond * stepSeconds);
            const double before = outcome.admitted;
            deliver();
            for (std::size_t n = 0; n < m_instances.size(); ++n) {
                auto& it = m_instances[n];
                if (it.stopped || m_now < it.upAt)
                    continue;
                if (m_now >= it.nextBeat)
                    beat(n);
                arrive(it, outcome);
            }
            recordStep(outcome.admitted - before);
        }
        return outcome;
    }

    /** Largest use of a window that ended so far, as a part of what the rule allows. */
    double worstWindow() const { return m_worstWindow; }
    FleetLimits& limits(std::size_t n) { return *m_instances[n].limits; }
    Instant now() const { return m_now; }

    /** Requests that arrive together. */
    int clump = 3;
    /** Seeded faults. */
    bool reportsAreLost = false;
    bool limitIsNotAsked = false;

private:
    static constexpr double stepSeconds = std::chrono::duration<double>(step).count();
    struct Instance {
        InstanceId name;
        std::size_t region = 0;
        Incarnation incarnation = 0;
        std::unique_ptr<FleetLimits> limits;
        Instant upAt;
        Instant nextBeat;
        std::uint64_t round = 0;
        double demand = 0;
        bool stopped = false;
    };
    struct Message {
        std::size_t from = 0;
        std::size_t to = 0;
        Incarnation incarnation = 0;
        std::size_t sources = 0;
        std::shared_ptr<const std::vector<UsageRate>> rates;
    };

    void start(Instance& it, Duration pause)
    {
        it.incarnation += 1;
        it.upAt = m_now + pause;
        it.nextBeat = it.upAt + milliseconds(m_random.uniformBelow(100));
        it.round = 0;
        it.limits = std::make_unique<FleetLimits>(it.upAt, LimitTolerance { seconds(8), overage - 1, slack });
    }

    Duration interval(std::size_t region) const
    {
        return milliseconds(std::clamp<std::int64_t>(static_cast<std::int64_t>(m_byRegion[region].size()) * 100 / 8, 100, 1000));
    }

    double drawCost()
    {
        const double drawn = m_random.uniformReal();
        return drawn < 0.12 ? 12'000 : drawn < 0.74 ? 2'400
                                                    : 200;
    }
    static constexpr double meanCost = 0.12 * 12'000 + 0.62 * 2'400 + 0.26 * 200;

    void arrive(Instance& it, LimitsOutcome& outcome)
    {
        // At most one clump in a step would cut large demand off.
        for (double expected = it.demand * stepSeconds / (clump * meanCost); expected > 0; expected -= 1) {
            if (m_random.uniformReal() >= expected)
                continue;
            for (int n = 0; n < clump; ++n) {
                const double cost = drawCost();
                outcome.offered += cost;
                if (m_bucket > 0) {
                    m_bucket -= cost;
                    outcome.served += cost;
                }
                if (it.limits->admit(m_key, m_limit, cost, m_random.uniformReal(), m_now).admitted() || limitIsNotAsked)
                    outcome.admitted += cost;
            }
        }
    }

    void beat(std::size_t n)
    {
        auto& it = m_instances[n];
        const auto time = interval(it.region);
        it.nextBeat = m_now + time;
        it.limits->setFleet(time, m_instances.size());
        const auto own = std::make_shared<const std::vector<UsageRate>>(it.limits->takeReport(24, m_now));
        for (const auto to : m_byRegion[it.region]) {
            if (to != n)
                m_messages.emplace(m_now + milliseconds(1), Message { n, to, it.incarnation, 0, own });
        }
        it.limits->expire(m_now);
        if (++it.round % 2 != 0)
            return;
        const auto sums = std::make_shared<const std::vector<UsageRate>>(it.limits->regionReport(24, m_now));
        for (std::size_t region = 0; region < regions; ++region) {
            for (int copy = 0; copy < 2 && region != it.region && m_groups[region] == m_groups[it.region]; ++copy)
                m_messages.emplace(m_now + milliseconds(56), Message { n, m_byRegion[region][m_random.uniformBelow(m_byRegion[region].size())], it.incarnation, it.limits->regionSources(m_now), sums });
        }
    }

    void deliver()
    {
        while (!m_messages.empty() && m_messages.begin()->first <= m_now) {
            const auto message = m_messages.extract(m_messages.begin()).mapped();
            const auto& from = m_instances[message.from];
            auto& to = m_instances[message.to];
            const bool cut = m_groups[from.region] != m_groups[to.region];
            if (cut || to.stopped || m_now < to.upAt || reportsAreLost)
                continue;
            if (from.region == to.region)
                to.limits->onInstanceReport(from.name, message.incarnation, *message.rates, m_now);
            else
                to.limits->onRegionReport("r" + std::to_string(from.region), message.sources, *message.rates, m_now);
        }
    }

    void recordStep(double admitted)
    {
        m_steps.push_back(admitted);
        if (m_steps.size() > stepsInWindow)
            m_steps.pop_front();
        const double sum = std::accumulate(m_steps.begin(), m_steps.end(), 0.0);
        const double allowed = (m_limit.perSecond * windowSeconds + m_limit.burst) * overage + slack;
        m_worstWindow = std::max(m_worstWindow, sum / allowed);
    }

    OrganisationKey m_key = organisationKey("museum");
    FleetLimit m_limit;
    SeededRandom m_random;
    Instant m_now { seconds(1000) };
    std::vector<Instance> m_instances;
    std::vector<std::vector<std::size_t>> m_byRegion;
    std::array<int, regions> m_groups {};
    std::multimap<Instant, Message> m_messages;
    std::deque<double> m_steps;
    double m_worstWindow = 0;
    double m_bucket = 0;
};

} // namespace yuccashift
