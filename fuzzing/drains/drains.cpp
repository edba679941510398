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

    /** Concurrent callers during one stop; a few dozen saturate a small machine under a sanitizer. */
    constexpr unsigned callersPerStop = 8;
    /** Upper bound of the delays of the stop and of each call, so that the stop hits every stage of a request. */
    constexpr unsigned maxDelayMs = 250;
    constexpr std::uint64_t maxTokens = 120;

    struct Call {
        unsigned kind = 0;
        std::string entry;
        std::uint64_t tokens = 1;
        unsigned delayMs = 0;
    };

    /** Runs the drain check on one fleet. */
    class DrainRun {
    public:
        DrainRun(const DrainPlan& plan, std::ostream& out)
            : m_plan(plan)
            , m_out(out)
            , m_random(plan.seed)
        {
        }

        bool run()
        {
            for (unsigned n = 0; n < m_plan.drains && m_passed; ++n)
                drainInstance(n);
            return m_passed;
        }

    private:
        unsigned below(unsigned bound) { return static_cast<unsigned>(m_random() % bound); }

        void check(bool passed, unsigned n, const std::string& what)
        {
            if (passed)
                return;
            const std::lock_guard lock(m_mutex);
            m_out << "seed " << m_plan.seed << " drain " << n << ": " << what << "\n";
            m_passed = false;
        }

        void drainInstance(unsigned n)
        {
            const auto all = TwoRegions::allInstances();
            const auto& stopped = all[below(static_cast<unsigned>(all.size()))];
            std::vector<std::thread> callers;
            callers.reserve(callersPerStop);
            for (unsigned i = 0; i < callersPerStop; ++i) {
                // Half of the calls enter at the instance that stops; the others may hop to it.
                Call call { below(3), i % 2 == 0 ? stopped : all[below(static_cast<unsigned>(all.size()))], 1 + below(maxTokens), below(maxDelayMs) };
                callers.emplace_back([this, call, n] { send(call, n); });
            }
            std::this_thread::sleep_for(std::chrono::milliseconds(below(maxDelayMs)));
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
        std::atomic<bool> m_passed = true;
        /** Protects m_out, since callers check their answers on their own threads. */
        std::mutex m_mutex;
    };

} // namespace

bool runDrains(const DrainPlan& plan, std::ostream& out)
{
    const bool passed = DrainRun(plan, out).run();
    out << "seed " << plan.seed << ": " << plan.drains << " drains, " << (passed ? "all right" : "NOT right") << "\n"
        << std::flush;
    return passed;
}

} // namespace yuccashift::drains
