#include "fuzzing/support/check.hpp"
#include "yuccashift/limits/shared_limits.hpp"
#include "yuccashift/resilience/hedge_budget.hpp"
#include "yuccashift/resilience/retry_budget.hpp"

#include <algorithm>
#include <array>
#include <memory>
#include <numeric>
#include <set>

namespace yuccashift::fuzzing {
namespace {

    constexpr std::size_t instanceCount = 4;
    constexpr std::uint32_t groupCount = 3;
    constexpr double limitPerSecond = 100;
    constexpr auto tick = milliseconds(20);
    constexpr auto heartbeat = milliseconds(500);
    constexpr auto settlingTime = seconds(6);
    constexpr auto measuringTime = seconds(10);
    /** Factor by which connected instances may exceed the limit while demand is steady. */
    constexpr double steadyOvershoot = 1.1;
    /** Requests that one instance may admit at once after an idle period, in excess of its rate. */
    constexpr double burst = limitPerSecond / 2 + 1;

    OrganisationSpec makeOrganisation()
    {
        OrganisationSpec organisation;
        organisation.name = "o";
        organisation.limits.requestsPerSecond = limitPerSecond;
        return organisation;
    }

    struct Instance {
        InstanceId name;
        std::unique_ptr<SharedLimits> limits;
        double demandPerSecond = 0;
        double pendingRequests = 0;
        std::uint32_t group = 0;
        double admitted = 0;
    };

    /** Instances that share a limit while demand changes, the network partitions and instances are replaced. */
    class LimitsSimulation {
    public:
        explicit LimitsSimulation(std::string_view mutant)
            : m_mutant(mutant)
        {
            for (std::size_t n = 0; n < instanceCount; ++n)
                replace(m_instances[n]);
        }

        std::optional<std::string> apply(const Step& step)
        {
            enum class Action { Demand,
                Partition,
                Heal,
                Replace,
                Run,
                Steady,
                Count };
            auto& instance = m_instances[pick(step.a, instanceCount)];
            switch (static_cast<Action>(pick(step.action, static_cast<std::size_t>(Action::Count)))) {
            case Action::Demand:
                instance.demandPerSecond = pick(step.b, 300);
                break;
            case Action::Partition:
                instance.group = pick(step.b, groupCount);
                break;
            case Action::Heal:
                for (auto& it : m_instances)
                    it.group = 0;
                break;
            case Action::Replace:
                replace(instance);
                break;
            case Action::Run:
                runMeasured(milliseconds(pick(step.b, 3000)));
                break;
            default:
                if (pick(step.b, 4) == 0)
                    runSteady();
            }
            return m_violation;
        }

    private:
        bool is(std::string_view mutant) const { return m_mutant == mutant; }

        void recordViolation(std::string violation)
        {
            if (!m_violation)
                m_violation = std::move(violation);
        }

        // The replacement has a new name and no state, and keeps the demand of its callers.
        void replace(Instance& instance)
        {
            instance.name = "i" + std::to_string(++m_lastName);
            instance.limits = std::make_unique<SharedLimits>(instance.name);
            std::vector<InstanceId> names;
            for (const auto& it : m_instances)
                names.push_back(it.name);
            for (auto& it : m_instances) {
                if (it.limits)
                    it.limits->setInstances(names);
            }
        }

        void run(Duration duration)
        {
            for (auto until = m_now + duration; m_now < until;) {
                m_now += tick;
                for (auto& instance : m_instances)
                    arrive(instance);
                if (m_now - m_lastExchange >= heartbeat)
                    exchangeDemands();
            }
        }

        void arrive(Instance& instance)
        {
            instance.pendingRequests += instance.demandPerSecond * std::chrono::duration<double>(tick).count();
            for (; instance.pendingRequests >= 1; instance.pendingRequests -= 1) {
                const bool admitted = instance.limits->admit("s", m_organisation, m_now).has_value();
                if (admitted)
                    instance.limits->onFinish("s", m_organisation);
                if (admitted || is("the limit is not asked"))
                    instance.admitted += 1;
            }
        }

        void exchangeDemands()
        {
            m_lastExchange = m_now;
            if (is("demands are not told"))
                return;
            for (auto& from : m_instances) {
                const auto demands = from.limits->largestDemands(16, m_now);
                for (auto& to : m_instances) {
                    if (&to != &from && to.group == from.group)
                        to.limits->onPeerDemand(from.name, demands, m_now);
                }
            }
        }

        double admitted() const
        {
            return std::accumulate(m_instances.begin(), m_instances.end(), 0.0, [](double sum, const Instance& it) { return sum + it.admitted; });
        }

        /** Checks that no single instance exceeds the whole limit, whatever faults occur. */
        void runMeasured(Duration duration)
        {
            for (auto& instance : m_instances)
                instance.admitted = 0;
            run(duration);
            const auto maxAdmitted = limitPerSecond * std::chrono::duration<double>(duration + tick).count() + burst;
            for (const auto& instance : m_instances) {
                if (instance.admitted > maxAdmitted)
                    recordViolation("one instance admitted more than the whole limit");
            }
        }

        /** Checks that each group of connected instances keeps to the limit while demand is steady. */
        void runSteady()
        {
            run(settlingTime);
            runMeasured(measuringTime);
            std::set<std::uint32_t> groups;
            double demand = 0;
            for (const auto& instance : m_instances) {
                groups.insert(instance.group);
                demand += instance.demandPerSecond;
            }
            const auto time = std::chrono::duration<double>(measuringTime).count();
            const auto maxAdmitted = static_cast<double>(groups.size()) * limitPerSecond * steadyOvershoot * time + instanceCount * burst / 4;
            if (admitted() > maxAdmitted)
                recordViolation("groups admitted " + std::to_string(admitted()) + " where " + std::to_string(maxAdmitted) + " are allowed");
            // The standby shares, a tenth of the limit, may stay unused; the rest follows demand.
            const auto minAdmitted = 0.8 * std::min(demand, limitPerSecond) * time;
            if (groups.size() == 1 && admitted() < minAdmitted)
                recordViolation("the limit is not used up where there is demand: " + std::to_string(admitted()));
        }

        std::string m_mutant;
        Instant m_now { seconds(1000) };
        Instant m_lastExchange = m_now;
        OrganisationSpec m_organisation = makeOrganisation();
        std::array<Instance, instanceCount> m_instances;
        int m_lastName = 0;
        std::optional<std::string> m_violation;
    };

    class LimitsCheck final : public Check {
    public:
        std::vector<std::string> mutants() const override { return { "the limit is not asked", "demands are not told" }; }

        std::optional<std::string> run(std::span<const Step> steps, std::string_view mutant) override
        {
            LimitsSimulation simulation(mutant);
            for (const auto& step : steps) {
                if (auto violation = simulation.apply(step))
                    return violation;
            }
            return std::nullopt;
        }
    };

    /** Retries and hedges of several organisations, in idle periods and outages. */
    class BudgetsCheck final : public Check {
    public:
        std::vector<std::string> mutants() const override { return { "retries are not counted", "attempts are not counted", "other work is hedged" }; }

        std::optional<std::string> run(std::span<const Step> steps, std::string_view mutant) override
        {
            RetryBudget retries;
            HedgeBudget hedges;
            const RetrySpec retry { 3, 10 };
            const HedgeSpec hedge { milliseconds(50), 2 };
            // Retries that a service may send before any request has earned budget, and save up in idle periods.
            constexpr double saved = 20;
            double requests = 0;
            double extra = 0;
            for (const auto& step : steps) {
                const auto organisation = "o" + std::to_string(pick(step.a, 3));
                const auto count = 1 + pick(step.c, 30);
                for (std::uint32_t n = 0; n < count; ++n) {
                    if (step.action % 3 == 0) {
                        requests += 1;
                        retries.onRequest("s", organisation, retry);
                        hedges.onRequest("s", organisation, hedge);
                        continue;
                    }
                    const auto attempt = 1 + pick(step.b + n, 4);
                    const auto reportedAttempt = mutant == "attempts are not counted" ? 1 : attempt;
                    const bool uncounted = mutant == "retries are not counted" && attempt < retry.attempts;
                    if (retries.tryRetry("s", organisation, retry, reportedAttempt) || uncounted) {
                        extra += 1;
                        if (attempt >= retry.attempts)
                            return "a request had more attempts than its document allows";
                    }
                    const bool idempotent = step.b % 2 == 0;
                    const bool reportedIdempotent = idempotent || mutant == "other work is hedged";
                    RequestTraits traits;
                    traits.service = "s";
                    traits.organisation = organisation;
                    traits.idempotent = reportedIdempotent;
                    if (hedges.tryHedge(traits, hedge) && !idempotent)
                        return "non-idempotent work was hedged";
                }
                if (extra > saved + requests * retry.budgetPercent / 100)
                    return "more retries than the budget";
            }
            return std::nullopt;
        }
    };

    const Registrar<Check, LimitsCheck> registeredLimits { "limits" };
    const Registrar<Check, BudgetsCheck> registeredBudgets { "budgets" };

} // namespace
} // namespace yuccashift::fuzzing
