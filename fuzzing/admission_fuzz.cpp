#include "fuzzing/support/check.hpp"
#include "yuccashift/admission/admission_queue.hpp"

#include <algorithm>
#include <map>

namespace yuccashift::fuzzing {
namespace {

    constexpr std::size_t queueLimit = 24;
    constexpr std::uint32_t organisations = 3;
    /** Consecutive admissions of other organisations that an organisation with waiting requests may be skipped for. */
    constexpr int maxConsecutiveSkips = 30;

    /** Runs the admission queue against a reference list of the requests that wait in it. */
    class AdmissionSimulation {
    public:
        explicit AdmissionSimulation(std::string_view mutant)
            : m_mutant(mutant)
        {
        }

        std::optional<std::string> apply(const Step& step)
        {
            constexpr std::uint32_t actions = 8;
            switch (pick(step.action, actions)) {
            case 0:
                cancel(step);
                break;
            case 1:
                expire();
                break;
            case 2:
                m_now += milliseconds(pick(step.b, 300));
                break;
            case 3:
            case 4:
                pop();
                break;
            default:
                push(step);
            }
            if (m_queue.size() > queueLimit)
                recordViolation("the queue is longer than its limit");
            if (m_queue.size() > m_waiting.size())
                recordViolation("the queue holds requests that ended");
            return m_violation;
        }

        /** Empties the queue and checks that every queued request was admitted, displaced, cancelled or expired. */
        std::optional<std::string> settle()
        {
            for (std::size_t n = 0; n < queueLimit && m_queue.size() > 0; ++n)
                pop();
            expire();
            if (!m_waiting.empty())
                recordViolation("a request was queued and never ended");
            return m_violation;
        }

    private:
        bool is(std::string_view mutant) const { return m_mutant == mutant; }

        void recordViolation(std::string violation)
        {
            if (!m_violation)
                m_violation = std::move(violation);
        }

        static Instant latestStart(const WaitingRequest& request) { return request.deadline - request.expectedServiceTime; }

        void push(const Step& step)
        {
            WaitingRequest request;
            request.id = ++m_lastId;
            request.organisation = "o" + std::to_string(pick(step.a, organisations));
            request.priority = static_cast<Priority>(pick(step.b, 3));
            request.expectedServiceTime = milliseconds(pick(step.b, 50));
            request.deadline = m_now + milliseconds(pick(step.c, 4000));
            auto submitted = request;
            if (is("batch goes first"))
                submitted.priority = static_cast<Priority>(2 - static_cast<int>(request.priority));
            if (is("deadlines are not looked at"))
                submitted.deadline = m_now + seconds(100) - milliseconds(pick(step.c, 4000));
            if (is("there is no fair share"))
                submitted.organisation = "all";
            if (is("what cannot finish is started"))
                submitted.expectedServiceTime = {};
            const auto pushed = m_queue.push(submitted, milliseconds(1), m_now);
            if (!pushed)
                return;
            if (pushed->displaced)
                displace(*pushed->displaced, request);
            m_waiting[request.id] = request;
        }

        void displace(std::uint64_t id, const WaitingRequest& by)
        {
            const auto it = m_waiting.find(id);
            if (it == m_waiting.end()) {
                recordViolation("a request ended twice");
                return;
            }
            if (it->second.priority < by.priority)
                recordViolation("a request of higher priority had to make room");
            m_waiting.erase(it);
        }

        bool canFinish(const WaitingRequest& request) const { return latestStart(request) >= m_now; }

        void pop()
        {
            const auto taken = m_queue.pop(m_now);
            if (!taken) {
                const bool anyFit = std::ranges::any_of(m_waiting, [&](const auto& item) { return canFinish(item.second); });
                if (anyFit)
                    recordViolation("a request that can finish was not admitted");
                return;
            }
            const auto it = m_waiting.find(taken->id);
            if (it == m_waiting.end()) {
                recordViolation("a request ended twice");
                return;
            }
            const auto request = it->second;
            m_waiting.erase(it);
            checkOrder(request);
            countSkips(request);
        }

        void checkOrder(const WaitingRequest& request)
        {
            if (!canFinish(request))
                recordViolation("a request that cannot finish in time was admitted");
            for (const auto& [id, other] : m_waiting) {
                if (!canFinish(other))
                    continue;
                if (other.priority < request.priority)
                    recordViolation("a request went before one of higher priority");
                const bool sameQueue = other.priority == request.priority && other.organisation == request.organisation;
                if (sameQueue && other.deadline < request.deadline)
                    recordViolation("a request went before one with an earlier deadline");
            }
        }

        // Only organisations of the same priority compete. The count restarts at 0 when an organisation is admitted or has no waiting request that can finish.
        void countSkips(const WaitingRequest& request)
        {
            for (std::uint32_t n = 0; n < organisations; ++n) {
                const auto name = "o" + std::to_string(n);
                const auto waits = [&](const auto& item) { return item.second.organisation == name && item.second.priority == request.priority && canFinish(item.second); };
                auto& skips = m_consecutiveSkips[{ name, request.priority }];
                const bool skipped = name != request.organisation && std::ranges::any_of(m_waiting, waits);
                skips = skipped ? skips + 1 : 0;
                if (skips > maxConsecutiveSkips)
                    recordViolation("an organisation was passed over for too long");
            }
        }

        void cancel(const Step& step)
        {
            if (m_waiting.empty())
                return;
            const auto it = std::next(m_waiting.begin(), pick(step.a, m_waiting.size()));
            if (m_queue.cancel(it->first))
                m_waiting.erase(it);
        }

        void expire()
        {
            for (const auto id : m_queue.expire(m_now)) {
                const auto it = m_waiting.find(id);
                if (it == m_waiting.end()) {
                    recordViolation("a request ended twice");
                    continue;
                }
                if (canFinish(it->second))
                    recordViolation("a request that can finish was given up");
                m_waiting.erase(it);
            }
        }

        std::string m_mutant;
        Instant m_now { seconds(1000) };
        AdmissionQueue m_queue { queueLimit };
        std::map<std::uint64_t, WaitingRequest> m_waiting;
        std::map<std::pair<OrganisationName, Priority>, int> m_consecutiveSkips;
        std::uint64_t m_lastId = 0;
        std::optional<std::string> m_violation;
    };

    class AdmissionCheck final : public Check {
    public:
        std::vector<std::string> mutants() const override
        {
            return { "batch goes first", "deadlines are not looked at", "what cannot finish is started" };
        }

        std::optional<std::string> run(std::span<const Step> steps, std::string_view mutant) override
        {
            AdmissionSimulation simulation(mutant);
            for (const auto& step : steps) {
                if (auto violation = simulation.apply(step))
                    return violation;
            }
            return simulation.settle();
        }
    };

    /**
     * Two organisations with a steady supply of requests: one floods the queue with earlier
     * deadlines, and the other must still get its share.
     */
    class FairShareCheck final : public Check {
    public:
        std::vector<std::string> mutants() const override { return { "there is no fair share" }; }

        std::optional<std::string> run(std::span<const Step> steps, std::string_view mutant) override
        {
            constexpr std::size_t limit = 64;
            constexpr int admissions = 200;
            AdmissionQueue queue(limit);
            Instant now { seconds(1000) };
            std::uint64_t lastId = 0;
            std::map<std::uint64_t, int> owners;
            const double weight = steps.empty() ? 1 : 1 + pick(steps[0].a, 4);
            int quiet = 0;
            for (int n = 0; n < admissions; ++n) {
                now += milliseconds(10);
                for (int owner : { 0, 1, 0 }) {
                    const auto jitter = steps.empty() ? 0 : pick(steps[static_cast<std::size_t>(n) % steps.size()].b, 50);
                    WaitingRequest request;
                    request.id = ++lastId;
                    request.organisation = mutant.empty() ? "o" + std::to_string(owner) : "all";
                    request.weight = owner == 1 ? weight : 1;
                    request.deadline = now + (owner == 0 ? seconds(20) : seconds(30)) + milliseconds(jitter);
                    owners[request.id] = owner;
                    queue.push(request, milliseconds(10), now);
                }
                const auto taken = queue.pop(now);
                quiet += taken && owners[taken->id] == 1 ? 1 : 0;
            }
            // The slack allows a deviation of a few admissions from the exact share.
            const double share = weight / (weight + 1) * admissions;
            constexpr int slack = 25;
            if (quiet < share - slack && quiet < admissions - slack)
                return "a quiet organisation got " + std::to_string(quiet) + " admissions of its " + std::to_string(share);
            return std::nullopt;
        }
    };

    const Registrar<Check, AdmissionCheck> registeredAdmission { "admission" };
    const Registrar<Check, FairShareCheck> registeredFairShare { "fair share" };

} // namespace
} // namespace yuccashift::fuzzing
