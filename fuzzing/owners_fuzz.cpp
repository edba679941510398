#include "fuzzing/support/check.hpp"
#include "yuccashift/entry/hop.hpp"

#include <vector>

namespace yuccashift::fuzzing {
namespace {

    /** What becomes of one hop to an owner. */
    enum class HopFate {
        /** The owner cannot be reached, so that no byte leaves the origin. */
        Unreachable,
        /** The owner refuses, because its server is full or because it knows no such server. */
        Refused,
        /** The server refuses without running the request. */
        RefusedByServer,
        /** The server runs the request and answers. */
        Answered,
        /** The server runs the request and its answer is lost on the way to the owner. */
        AnswerLost,
        /** The owner is lost with the request and sends it to its server afterwards. */
        OwnerLostRunsLate,
        /** The owner is lost before it has sent the request to its server. */
        OwnerLost,
        Count,
    };

    /** One request of a caller at its origin, while the owners of servers come, go and disagree. */
    class RequestAtItsOrigin {
    public:
        RequestAtItsOrigin(std::string_view mutant, bool retryable, std::uint32_t maxAttempts)
            : m_mutant(mutant)
            , m_retryable(retryable)
            , m_maxAttempts(maxAttempts)
        {
        }

        bool ended() const { return m_ended; }

        void hop(HopFate fate)
        {
            ++m_attempts;
            switch (fate) {
            case HopFate::Unreachable:
                --m_attempts;
                return;
            case HopFate::Refused:
                return onFailure({ { ErrorKind::Overloaded, {}, RunState::NotRun, {} }, false });
            case HopFate::RefusedByServer:
                ++m_arrivals;
                return onFailure({ { ErrorKind::Overloaded, {}, RunState::NotRun, {} }, m_mutant != "a server's refusal counts as none" });
            case HopFate::Answered:
                ++m_arrivals;
                ++m_runs;
                return end(false);
            case HopFate::AnswerLost:
                ++m_arrivals;
                ++m_runs;
                return onFailure(lostAnswer());
            case HopFate::OwnerLostRunsLate:
                ++m_arrivals;
                ++m_runs;
                return onOwnerLost();
            case HopFate::OwnerLost:
            case HopFate::Count:
                return onOwnerLost();
            }
        }

        std::optional<std::string> violation() const
        {
            if (!m_retryable && m_runs > 1)
                return "a request that may run once ran twice";
            if (m_ended && m_answeredNotRun && m_runs > 0)
                return "a request was answered as not run and has run";
            if (m_arrivals > m_maxAttempts)
                return "a request reached more servers than its route allows";
            return std::nullopt;
        }

    private:
        HopFailure lostAnswer() const
        {
            const bool hidden = m_mutant == "an owner calls a lost answer not run";
            return { { ErrorKind::BackendLost, {}, hidden ? RunState::NotRun : RunState::OutcomeUnknown, {} }, true };
        }

        void onOwnerLost()
        {
            const bool assumed = m_mutant == "a lost owner counts as one that refused";
            onFailure({ { ErrorKind::PeerLost, {}, assumed ? RunState::NotRun : RunState::OutcomeUnknown, {} }, !assumed });
        }

        void onFailure(const HopFailure& failure)
        {
            const bool notRun = failure.error.effectiveRunState() == RunState::NotRun;
            m_mayHaveRun = m_mayHaveRun || !notRun;
            if (!failure.reachedServer) {
                --m_attempts;
                ++m_refusedHops;
            }
            const auto recovery = recoverFromHop(failure, m_retryable, m_refusedHops);
            const bool retries = recovery == HopRecovery::Retry && m_attempts < m_maxAttempts;
            const bool forgets = m_mutant == "an earlier run is forgotten";
            const auto reported = withEarlierAttempts(failure.error, m_mayHaveRun && !forgets);
            if (recovery != HopRecovery::SendOn && !retries)
                end(reported.effectiveRunState() == RunState::NotRun);
        }

        void end(bool notRun)
        {
            m_ended = true;
            m_answeredNotRun = notRun;
        }

        std::string_view m_mutant;
        bool m_retryable;
        std::uint32_t m_maxAttempts;
        std::uint32_t m_attempts = 0;
        std::uint32_t m_refusedHops = 0;
        std::uint32_t m_arrivals = 0;
        std::uint32_t m_runs = 0;
        bool m_mayHaveRun = false;
        bool m_ended = false;
        bool m_answeredNotRun = false;
    };

    class OwnersCheck final : public Check {
    public:
        std::vector<std::string> mutants() const override
        {
            return { "a server's refusal counts as none", "an owner calls a lost answer not run", "a lost owner counts as one that refused", "an earlier run is forgotten" };
        }

        std::optional<std::string> run(std::span<const Step> steps, std::string_view mutant) override
        {
            constexpr std::uint32_t maxAttemptsOfRoutes = 2;
            std::optional<RequestAtItsOrigin> request;
            for (const auto& step : steps) {
                if (!request || request->ended())
                    request.emplace(mutant, step.a % 2 == 0, 1 + step.b % maxAttemptsOfRoutes);
                request->hop(static_cast<HopFate>(pick(step.action, static_cast<std::size_t>(HopFate::Count))));
                if (auto violation = request->violation())
                    return violation;
            }
            return std::nullopt;
        }
    };

    const Registrar<Check, OwnersCheck> registered { "owners" };

} // namespace
} // namespace yuccashift::fuzzing
