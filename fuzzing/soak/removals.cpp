#include "fuzzing/soak/removals.hpp"

#include "platform/standins/entry_fleet.hpp"
#include "tests/support/wait.hpp"
#include "yuccashift/kernel/random.hpp"

#include <algorithm>
#include <atomic>
#include <csignal>
#include <optional>
#include <ostream>
#include <thread>
#include <vector>

namespace yuccashift::soak {

namespace {

    using Clock = std::chrono::steady_clock;
    using std::chrono::milliseconds;

    /** Maximum time from the store's answer to a removal until no request reaches the server any more. */
    constexpr milliseconds maxDrain { 3000 };
    /** Time after the bound in which requests that are late would come. */
    constexpr milliseconds watchedFor { 2500 };
    /** Time until a removed server may enter again if arrivals are not timed. */
    constexpr milliseconds untimedRest { 1000 };
    constexpr std::chrono::seconds playTime { 15 };
    constexpr milliseconds callTimeout { 4000 };
    constexpr std::uint64_t seedsPerLargeRun = 5;
    constexpr std::size_t callerThreads = 6;

    struct Sizes {
        std::size_t instances;
        std::size_t servers;
        /** Servers that are in service at a time. */
        std::size_t inService;
    };

    constexpr Sizes smallRun { 3, 16, 8 };
    constexpr Sizes largeRun { 40, 48, 24 };

    struct Server {
        std::string id;
        std::int64_t startNumber = 1;
        bool inService = false;
        Clock::time_point removedAt {};
        /** Requests that had arrived when the bound was reached. */
        std::optional<std::uint64_t> arrivedInTime;
    };

    class Removals {
    public:
        Removals(const RemovalOptions& options, std::ostream& out)
            : m_options(options)
            , m_out(out)
            , m_random(options.seed)
            , m_sizes(options.seed % seedsPerLargeRun == 0 ? largeRun : smallRun)
        {
        }

        bool run()
        {
            startAll();
            std::vector<std::thread> callers;
            for (std::size_t n = 0; n < callerThreads; ++n)
                callers.emplace_back([this, n] { callUntilEnd(n); });
            std::thread disturber([this] { disturbUntilEnd(); });
            const auto end = Clock::now() + playTime;
            while (Clock::now() < end) {
                replaceSome();
                const auto next = Clock::now() + milliseconds(200 + m_random.uniformBelow(1200));
                while (Clock::now() < next) {
                    checkRemoved();
                    std::this_thread::sleep_for(milliseconds(20));
                }
            }
            while (std::ranges::any_of(m_servers, [](const Server& it) { return it.removedAt != Clock::time_point {}; })) {
                checkRemoved();
                std::this_thread::sleep_for(milliseconds(20));
            }
            m_stop = true;
            disturber.join();
            for (auto& it : callers)
                it.join();
            return report();
        }

    private:
        static std::string instanceName(std::size_t n) { return "sofia-" + std::to_string(n); }

        void startAll()
        {
            m_fleet.publishConfig(1, { { "/read/", "idempotent", "ledger", {}, false, 2 }, { "/write/", "non_idempotent", "ledger", {}, false, 1 } });
            for (std::size_t n = 0; n < m_sizes.servers; ++n) {
                m_servers.emplace_back().id = "ledger-" + std::to_string(n);
                m_fleet.startWorker(m_servers.back().id, "sofia");
                if (n < m_sizes.inService)
                    enter(m_servers.back());
            }
            for (std::size_t n = 0; n < m_sizes.instances; ++n)
                m_fleet.startEntry(instanceName(n), "sofia");
            for (std::size_t n = 0; n < m_sizes.instances; ++n)
                m_fleet.waitReady(instanceName(n));
        }

        void enter(Server& server)
        {
            server.inService = true;
            m_fleet.publish({ server.id, "ledger", "hall-sofia", m_fleet.worker(server.id), "ready", server.startNumber });
        }

        void leave(Server& server)
        {
            server.inService = false;
            m_fleet.withdraw(server.id);
            server.removedAt = Clock::now();
            server.arrivedInTime.reset();
            ++m_removals;
        }

        /** Replaces one server or half of them at once; the new ones register first, the old ones serve on. */
        void replaceSome()
        {
            const auto count = m_random.uniformBelow(3) == 0 ? m_sizes.inService / 2 : 1;
            std::vector<Server*> leaving;
            for (auto& it : m_servers) {
                if (it.inService && leaving.size() < count)
                    leaving.push_back(&it);
            }
            std::vector<Server*> entering;
            for (auto& it : m_servers) {
                if (!it.inService && it.removedAt == Clock::time_point {} && entering.size() < leaving.size())
                    entering.push_back(&it);
            }
            leaving.resize(entering.size());
            for (auto* it : entering) {
                ++it->startNumber;
                enter(*it);
            }
            std::this_thread::sleep_for(milliseconds(m_random.uniformBelow(300)));
            for (auto* it : leaving)
                leave(*it);
            // Another order the next time.
            std::rotate(m_servers.begin(), m_servers.begin() + 1, m_servers.end());
        }

        void checkRemoved()
        {
            const auto now = Clock::now();
            for (auto& it : m_servers) {
                if (it.removedAt == Clock::time_point {})
                    continue;
                if (m_options.slack == milliseconds(0)) {
                    if (now - it.removedAt >= untimedRest)
                        it.removedAt = {};
                    continue;
                }
                const auto bound = it.removedAt + maxDrain + m_options.slack;
                if (!it.arrivedInTime && now >= bound) {
                    it.arrivedInTime = arrivals(it);
                } else if (it.arrivedInTime && now >= bound + watchedFor) {
                    if (const auto late = arrivals(it) - *it.arrivedInTime; late > 0)
                        m_violations.push_back(it.id + " got " + std::to_string(late) + " requests over " + std::to_string((maxDrain + m_options.slack).count()) + " ms after its entry was removed");
                    it.removedAt = {};
                }
            }
        }

        std::uint64_t arrivals(const Server& server) const { return m_fleet.read(server.id, "/control/runs").at("total").to_number<std::uint64_t>(); }

        void disturbUntilEnd()
        {
            SeededRandom random(m_options.seed + 1);
            std::int64_t version = 1;
            while (!m_stop) {
                switch (random.uniformBelow(6)) {
                case 0:
                    m_fleet.control("store", "/control/refuse-watches", random.uniformBelow(2) == 0 ? R"({"on":true})" : R"({"on":false})");
                    break;
                case 1:
                    m_fleet.control("store", "/control/compact", "");
                    break;
                case 2:
                    m_fleet.publishConfig(++version, { { "/read/", "idempotent", "ledger", {}, false, 2 }, { "/write/", "non_idempotent", "ledger", {}, false, 1 } });
                    break;
                case 3:
                    m_fleet.entry(instanceName(random.uniformBelow(m_sizes.instances))).signal(SIGHUP);
                    break;
                default:
                    m_fleet.control("store", "/control/cut-watches", "");
                }
                std::this_thread::sleep_for(milliseconds(50 + random.uniformBelow(600)));
            }
        }

        void callUntilEnd(std::size_t thread)
        {
            SeededRandom random(m_options.seed * 1000 + thread);
            test::HttpConnection kept;
            for (int n = 0; !m_stop; ++n) {
                const auto attempt = "a" + std::to_string(thread) + "x" + std::to_string(n);
                const auto headers = test::callerHeaders(attempt, callTimeout);
                const bool writes = random.uniformBelow(2) == 0;
                const test::HttpCall call { m_fleet.callers(instanceName(random.uniformBelow(m_sizes.instances))), writes ? "POST" : "GET", writes ? "/write/x" : "/read/x", { headers.begin(), headers.end() }, writes ? "entry" : "" };
                const auto reply = thread % 2 == 0 ? kept.send(call) : test::send(call);
                ++(reply.ok() ? m_served : m_failed);
                std::this_thread::sleep_for(milliseconds(5));
            }
        }

        bool report()
        {
            double massDeferrals = 0;
            for (std::size_t n = 0; n < m_sizes.instances; ++n) {
                massDeferrals += m_fleet.metric(instanceName(n), R"(yuccashift_removals_deferred{reason="mass removal"})");
                const auto deferred = m_fleet.metric(instanceName(n), R"(yuccashift_removals_deferred{reason="outage"})");
                if (deferred != 0)
                    m_violations.push_back(instanceName(n) + " deferred " + std::to_string(static_cast<int>(deferred)) + " removals as if the store had been away");
            }
            m_out << "seed " << m_options.seed << ": " << m_sizes.instances << " instances, " << m_removals << " removals, " << static_cast<int>(massDeferrals) << " deferred by an instance; " << m_served << " requests served, " << m_failed << " not" << (m_violations.empty() ? ", all promises kept" : ", BROKEN") << "\n";
            for (const auto& it : m_violations)
                m_out << "  " << it << "\n";
            return m_violations.empty();
        }

        RemovalOptions m_options;
        std::ostream& m_out;
        SeededRandom m_random;
        Sizes m_sizes;
        test::EntryFleet m_fleet { "removals" };
        std::vector<Server> m_servers;
        int m_removals = 0;
        std::atomic<int> m_served { 0 };
        std::atomic<int> m_failed { 0 };
        std::atomic<bool> m_stop { false };
        std::vector<std::string> m_violations;
    };

} // namespace

bool runRemovals(const RemovalOptions& options, std::ostream& out)
{
    return Removals(options, out).run();
}

} // namespace yuccashift::soak
