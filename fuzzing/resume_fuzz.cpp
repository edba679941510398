#include "fuzzing/support/check.hpp"
#include "yuccashift/answers/resume_plan.hpp"
#include "yuccashift/answers/sse_tracker.hpp"

namespace yuccashift::fuzzing {
namespace {

    constexpr std::size_t maxEventBytes = 512;

    std::string tokenEvent(std::uint32_t index, bool numbered)
    {
        const auto number = numbered ? "\"token_index\":" + std::to_string(index) + "," : std::string {};
        return "data: {" + number + "\"text\":\"t" + std::to_string(index * 7) + "\"}\n\n";
    }

    std::string streamFrom(std::uint32_t first, std::uint32_t tokens, bool numbered)
    {
        std::string text;
        for (auto n = first; n < tokens; ++n)
            text += tokenEvent(n, numbered);
        return text + "data: [DONE]\n\n";
    }

    /** One token stream that is interrupted at any byte and resumed by correct and faulty servers. */
    class ResumeSimulation {
    public:
        ResumeSimulation(const Step& setup, std::string_view mutant)
            : m_mutant(mutant)
            , m_tokens(pick(setup.a, 12))
            , m_numbered(pick(setup.b, 4) != 0)
            , m_expected(streamFrom(0, m_tokens, m_numbered))
            , m_unread(m_expected)
        {
            m_answer.idempotent = pick(setup.c, 5) != 0;
            m_answer.tokenStream = true;
            m_answer.maxAttempts = 1 + pick(setup.c, 4);
            m_answer.budgetAllows = true;
            m_answer.sameServerUsable = pick(setup.action, 2) == 0;
            m_answer.otherServerUsable = true;
            m_answer.remaining = seconds(1);
        }

        std::optional<std::string> apply(const Step& step)
        {
            if (m_failed || m_tracker.done())
                return std::nullopt;
            constexpr std::uint32_t actions = 5;
            if (pick(step.action, actions) == 0)
                interrupt(step);
            else
                receive(step);
            return verify();
        }

    private:
        bool is(std::string_view mutant) const { return m_mutant == mutant; }

        void receive(const Step& step)
        {
            const auto size = pick(step.a, 90);
            const auto chunk = m_unread.substr(0, size);
            m_unread.erase(0, chunk.size());
            if (is("cut events are forwarded")) {
                m_delivered += chunk;
                return;
            }
            if (!m_tracker.feed(chunk, m_delivered))
                m_failed = true;
        }

        void interrupt(const Step& step)
        {
            if (is("a closed connection ends the stream"))
                m_claimedDone = true;
            m_answer.started = !m_delivered.empty();
            m_answer.deliveredTokens = m_tracker.tokenCount();
            m_answer.cause = ErrorKind::AnswerIncomplete;
            const auto plan = planResume(m_answer);
            if (plan.action == ResumeAction::Fail) {
                m_failed = true;
                return;
            }
            if (!m_answer.idempotent)
                m_violation = "non-idempotent work was sent again";
            if (++m_answer.attempts > m_answer.maxAttempts)
                m_violation = "more attempts than allowed";
            if (!is("the resumed stream is not checked"))
                m_tracker.resume();
            m_unread = resumedStream(plan.offset, step);
        }

        // Returns the stream of a server that resumes exactly, starts over, skips one token or repeats one.
        std::string resumedStream(std::uint32_t offset, const Step& step)
        {
            if (is("resumes one token late"))
                return streamFrom(offset + 1, m_tokens, m_numbered);
            switch (pick(step.b, 4)) {
            case 1:
                return streamFrom(0, m_tokens, m_numbered);
            case 2:
                return skipOne(offset);
            case 3:
                return streamFrom(offset > 0 ? offset - 1 : 0, m_tokens, m_numbered);
            default:
                return streamFrom(offset, m_tokens, m_numbered);
            }
        }

        // The end mark carries no token count, so a server that violates its contract and
        // omits the last token cannot be detected; this fault is not simulated.
        std::string skipOne(std::uint32_t offset) const
        {
            const bool showsLater = offset + 1 < m_tokens;
            return streamFrom(showsLater ? offset + 1 : offset, m_tokens, m_numbered);
        }

        std::optional<std::string> verify()
        {
            if (m_violation)
                return m_violation;
            if (m_expected.compare(0, m_delivered.size(), m_delivered) != 0)
                return "the caller got other bytes than its own: " + m_delivered;
            if (!m_delivered.empty() && !m_delivered.ends_with("\n\n"))
                return "part of an event was forwarded";
            if ((m_tracker.done() || m_claimedDone) && m_delivered != m_expected)
                return "a stream passed as whole is not";
            return std::nullopt;
        }

        std::string m_mutant;
        std::uint32_t m_tokens;
        bool m_numbered;
        std::string m_expected;
        std::string m_unread;
        SseTracker m_tracker { maxEventBytes };
        InterruptedAnswer m_answer;
        std::string m_delivered;
        bool m_failed = false;
        bool m_claimedDone = false;
        std::optional<std::string> m_violation;
    };

    class ResumeCheck final : public Check {
    public:
        std::vector<std::string> mutants() const override
        {
            return { "cut events are forwarded", "a closed connection ends the stream", "the resumed stream is not checked", "resumes one token late" };
        }

        std::optional<std::string> run(std::span<const Step> steps, std::string_view mutant) override
        {
            if (steps.empty())
                return std::nullopt;
            ResumeSimulation simulation(steps[0], mutant);
            for (const auto& step : steps.subspan(1)) {
                if (auto violation = simulation.apply(step))
                    return violation;
            }
            return std::nullopt;
        }
    };

    const Registrar<Check, ResumeCheck> registered { "resume" };

} // namespace
} // namespace yuccashift::fuzzing
