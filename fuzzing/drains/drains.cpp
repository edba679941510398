#include "fuzzing/drains/drains.hpp"

#include "tests/support/two_regions.hpp"

#include <atomic>
#include <csignal>
#include <mutex>
#include <ostream>
#include <random>
#include <thread>
#include <vector>

namespace yuccashift::drains {

using test::ChatCall;
using test::Outcome;
using test::TwoRegions;

namespace {

    /** Callers at work around one stop; a few dozen keep a small machine busy under a sanitizer. */
    constexpr unsigned callersPerStop = 8;
    /** The stop comes within this time of the callers' start, so that it meets each stage of a request. */
    constexpr unsigned latestStopMs = 250;
    constexpr std::uint64_t mostTokens = 120;

    struct Call {
        unsigned kind = 0;
        std::string entry;
        std::uint64_t tokens = 1;
        unsigned delayMs = 0;
    };

    /** A run of the check over one fleet. */
    class DrainRun {
    public:
        DrainRun(const DrainPlan& plan, std::ostream& out)
            : m_plan(plan)
            , m_out(out)
            , m_random(plan.seed)
        {
        }

        bool play()
        {
            for (unsigned n = 0; n < m_plan.drains && m_right; ++n)
                stopOne(n);
            return m_right;
        }

    private:
        unsigned below(unsigned bound) { return static_cast<unsigned>(m_random() % bound); }

        void check(bool right, unsigned n, const std::string& what)
        {
            if (right)
                return;
            const std::lock_guard lock(m_mutex);
            m_out << "seed " << m_plan.seed << " drain " << n << ": " << what << "\n";
            m_right = false;
        }

        void stopOne(unsigned n)
        {
            const auto all = TwoRegions::allInstances();
            const auto& stopped = all[below(static_cast<unsigned>(all.size()))];
            std::vector<std::thread> callers;
            callers.reserve(callersPerStop);
            for (unsigned i = 0; i < callersPerStop; ++i) {
                // Half of the calls arrive at the instance that stops, the others may hop to it.
                Call call { below(3), i % 2 == 0 ? stopped : all[below(static_cast<unsigned>(all.size()))], 1 + below(mostTokens), below(latestStopMs) };
                callers.emplace_back([this, call, n] { send(call, n); });
            }
            std::this_thread::sleep_for(std::chrono::milliseconds(below(latestStopMs)));
            auto& process = *m_regions.fleet().instance(stopped).process;
            process.signal(SIGTERM);
            if (below(4) == 0)
                process.signal(SIGTERM);
            for (auto& it : callers)
                it.join();
            const auto code = process.waitForExit();
            check(code == 0, n, stopped + " ended with " + (code ? std::to_string(*code) : std::string("nothing")) + "\n" + process.errors());
            m_regions.fleet().removeInstance(stopped);
            m_regions.fleet().startInstance(TwoRegions::spec(stopped));
            check(m_regions.fleet().waitReady({ stopped }), n, stopped + " is not ready again");
        }

        void send(const Call& call, unsigned n)
        {
            std::this_thread::sleep_for(std::chrono::milliseconds(call.delayMs));
            const auto entry = m_regions.entry(call.entry);
            Outcome outcome = Outcome::Whole;
            if (call.kind == 0) {
                const auto request = test::plainRequest(entry, test::varnaCredential, "GET", "/ledger/balance/1", "");
                outcome = test::judgePlain(request, test::send(request));
            } else {
                const ChatCall chat { "itinerary", "drain " + std::to_string(n), call.tokens, call.kind == 1 };
                outcome = test::judgeChat(chat, test::send(test::chatRequest(entry, test::anywhereCredential, chat)));
            }
            check(outcome != Outcome::Wrong, n, "an answer was presented as whole that is not the caller's own");
        }

        DrainPlan m_plan;
        std::ostream& m_out;
        std::mt19937_64 m_random;
        TwoRegions m_regions { "drains" };
        std::atomic<bool> m_right = true;
        /** Callers judge their answers on threads of their own. */
        std::mutex m_mutex;
    };

} // namespace

bool playDrains(const DrainPlan& plan, std::ostream& out)
{
    const bool right = DrainRun(plan, out).play();
    out << "seed " << plan.seed << ": " << plan.drains << " drains, " << (right ? "all right" : "NOT right") << "\n"
        << std::flush;
    return right;
}

} // namespace yuccashift::drains
