#include "fuzzing/soak/soak.hpp"

#include "fuzzing/soak/attempt_tracker.hpp"
#include "platform/standins/entry_fleet.hpp"
#include "tests/support/relay.hpp"
#include "tests/support/wait.hpp"
#include "yuccashift/kernel/random.hpp"

#include <array>
#include <atomic>
#include <csignal>
#include <ostream>
#include <thread>

namespace yuccashift::soak {

using test::EntryFleet;
using test::Relay;
using test::RelayMode;

namespace {

    constexpr std::size_t callerThreads = 6;
    /** Time after which a caller abandons its request. */
    constexpr std::chrono::milliseconds callTimeout { 4000 };
    constexpr std::chrono::seconds recoveryTimeout { 40 };
    const std::array<std::string, 3> entryNames { "sofia-1", "sofia-2", "varna-1" };

    std::string regionOf(const std::string& name)
    {
        return name.find("sofia") != std::string::npos ? "sofia" : "varna";
    }

    /** A stand-in of a server, reached through its own relay. */
    struct Server {
        Server(std::string serverId, std::string serverService)
            : id(std::move(serverId))
            , service(std::move(serverService))
        {
        }

        std::string id;
        std::string service;
        std::int64_t startNumber = 1;
        bool draining = false;
        Relay relay;
    };

    class Soak {
    public:
        Soak(const SoakOptions& options, std::ostream& out)
            : m_options(options)
            , m_out(out)
            , m_random(options.seed)
        {
            for (const auto* region : { "sofia", "varna" }) {
                for (const auto* name : { "ledger-", "draft-1-", "draft-2-" })
                    m_servers.push_back(std::make_unique<Server>(std::string(name) + region, name[0] == 'l' ? "ledger" : "draft"));
            }
        }

        bool run()
        {
            startAll();
            std::vector<std::thread> callers;
            for (std::size_t n = 0; n < callerThreads; ++n)
                callers.emplace_back([this, n] { callUntilEnd(n); });
            const auto end = std::chrono::steady_clock::now() + m_options.time;
            while (std::chrono::steady_clock::now() < end) {
                injectFault();
                std::this_thread::sleep_for(std::chrono::milliseconds(50 + m_random.uniformBelow(250)));
            }
            removeFaults();
            const bool recovered = waitForRecovery();
            m_stopCallers = true;
            for (auto& it : callers)
                it.join();
            return report(recovered);
        }

    private:
        void startAll()
        {
            m_storeRelay.setTarget(m_fleet.store());
            for (auto& server : m_servers)
                startServer(*server);
            publishConfig();
            for (const auto& name : entryNames)
                startEntry(name);
            for (const auto& name : entryNames)
                m_fleet.waitReady(name);
        }

        void startServer(Server& server)
        {
            server.relay.setTarget(m_fleet.startWorker(server.id, regionOf(server.id)));
            server.draining = false;
            publish(server);
        }

        void publish(const Server& server)
        {
            m_fleet.publish({ server.id, server.service, "hall-" + regionOf(server.id), server.relay.endpoint(), server.draining ? "draining" : "ready", server.startNumber });
        }

        void publishConfig()
        {
            m_version += 1 + static_cast<std::int64_t>(m_random.uniformBelow(3));
            m_fleet.publishConfig(m_version, {
                                                 { "/read/", "idempotent", "ledger", {}, false, 2 },
                                                 { "/write/", "non_idempotent", "ledger", {}, false, 1 },
                                                 { "/stream/", "streaming", "draft", {}, true, 2 },
                                                 { "/once/stream/", "streaming", "draft", {}, false, 1 },
                                                 { "/home/", "idempotent", "ledger", { homeRegion }, false, 2 },
                                                 { "/v" + std::to_string(m_version) + "/", "idempotent", "ledger", {}, false, 1 },
                                             });
        }

        // The first instance reaches the store only through a relay.
        void startEntry(const std::string& name)
        {
            m_fleet.startEntry(name, regionOf(name), name == entryNames[0] ? std::optional(m_storeRelay.endpoint()) : std::nullopt);
        }

        void callUntilEnd(std::size_t thread)
        {
            SeededRandom random(m_options.seed * 1000 + thread);
            for (int n = 0; !m_stopCallers; ++n) {
                const auto attempt = "a" + std::to_string(thread) + "x" + std::to_string(n);
                Attempt record;
                record.kind = static_cast<RequestKind>(random.uniformBelow(5));
                record.reply = call(entryNames[random.uniformBelow(entryNames.size())], attempt, record.kind);
                m_tracker.recordReply(attempt, std::move(record));
            }
        }

        test::HttpReply call(const std::string& entry, const std::string& attempt, RequestKind kind) const
        {
            switch (kind) {
            case RequestKind::Read:
                return m_fleet.call(entry, attempt, "GET", "/read/x", {}, callTimeout);
            case RequestKind::Write:
                return m_fleet.call(entry, attempt, "POST", "/write/x", "entry", callTimeout);
            case RequestKind::Stream:
                return m_fleet.call(entry, attempt, "POST", "/stream/x", "prompt", callTimeout);
            case RequestKind::StreamOnce:
                return m_fleet.call(entry, attempt, "POST", "/once/stream/x", "prompt", callTimeout);
            case RequestKind::Bound:
                break;
            }
            return m_fleet.call(entry, attempt, "GET", "/home/x", {}, callTimeout);
        }

        /** Records the executions that a server has counted so far. */
        void recordServerRuns(const Server& server)
        {
            std::map<std::string, std::uint64_t> counts;
            const auto answer = m_fleet.read(server.id, "/control/runs");
            if (const auto* runs = answer.if_contains("runs")) {
                for (const auto& it : runs->as_object())
                    counts[it.key()] = it.value().to_number<std::uint64_t>();
            }
            m_tracker.recordRuns(server.id + "#" + std::to_string(server.startNumber), regionOf(server.id), std::move(counts));
        }

        void restartServer(Server& server)
        {
            recordServerRuns(server);
            m_fleet.killWorker(server.id);
            ++server.startNumber;
            startServer(server);
        }

        void injectServerFault()
        {
            auto& server = *m_servers[m_random.uniformBelow(m_servers.size())];
            switch (m_random.uniformBelow(9)) {
            case 0:
                return server.relay.setMode(RelayMode::Swallow);
            case 1:
                return server.relay.setMode(RelayMode::Cut);
            case 2:
            case 3:
                return server.relay.setMode(RelayMode::Pass);
            case 4:
                return restartServer(server);
            case 5:
                server.draining = !server.draining;
                return publish(server);
            case 6:
                return m_fleet.control(server.id, server.service == "ledger" ? "/control/lose-answers" : "/control/cut-streams", R"({"count":2})");
            case 7:
                return m_fleet.control(server.id, "/control/break-streams", R"({"count":2})");
            default:
                return m_fleet.control(server.id, "/control/extra-answers", R"({"count":2})");
            }
        }

        void injectEntryFault()
        {
            const auto& name = entryNames[m_random.uniformBelow(entryNames.size())];
            switch (m_random.uniformBelow(4)) {
            case 0:
                m_fleet.entry(name).signal(SIGSTOP);
                return;
            case 1:
                m_fleet.entry(name).signal(SIGCONT);
                return;
            case 2:
                m_fleet.entry(name).signal(SIGTERM);
                return;
            default:
                return startEntry(name);
            }
        }

        void injectStoreFault()
        {
            constexpr std::array<const char*, 4> modes { "up", "up", "busy", "reset" };
            switch (m_random.uniformBelow(5)) {
            case 0:
                return publishConfig();
            case 1:
                return m_fleet.evacuate(m_random.uniformBelow(2) == 0 ? "hall-sofia" : "hall-varna", m_random.uniformBelow(2) == 0);
            case 2:
                return m_fleet.control("store", "/control/compact", "");
            case 3:
                return m_storeRelay.setMode(static_cast<RelayMode>(m_random.uniformBelow(3)));
            default:
                return m_fleet.control("store", "/control/mode", std::string(R"({"mode":")") + modes[m_random.uniformBelow(modes.size())] + "\"}");
            }
        }

        void injectFault()
        {
            switch (m_random.uniformBelow(4)) {
            case 0:
                return injectEntryFault();
            case 1:
                return injectStoreFault();
            default:
                return injectServerFault();
            }
        }

        void removeFaults()
        {
            m_fleet.control("store", "/control/mode", R"({"mode":"up"})");
            m_storeRelay.setMode(RelayMode::Pass);
            for (const auto* datacentre : { "hall-sofia", "hall-varna" })
                m_fleet.evacuate(datacentre, false);
            for (auto& server : m_servers) {
                server->relay.setMode(RelayMode::Pass);
                server->draining = false;
                publish(*server);
            }
            publishConfig();
            for (const auto& name : entryNames) {
                m_fleet.entry(name).signal(SIGCONT);
                startEntry(name);
            }
        }

        /** Waits until every instance serves the newest configuration; returns false on timeout. */
        bool waitForRecovery() const
        {
            const auto newest = "/v" + std::to_string(m_version) + "/x";
            for (const auto& name : entryNames) {
                if (!test::waitUntil([&] { return m_fleet.call(name, "check", "GET", newest, {}, callTimeout).ok(); }, recoveryTimeout))
                    return false;
            }
            return true;
        }

        bool report(bool recovered)
        {
            for (const auto& server : m_servers)
                recordServerRuns(*server);
            m_tracker.recordReply("check", {});
            const auto violations = m_tracker.findViolations();
            m_out << "seed " << m_options.seed << ":";
            for (const auto& [status, count] : m_tracker.countStatuses())
                m_out << " " << status << " x" << count;
            m_out << (recovered ? "" : ", an instance did not recover") << (violations.empty() ? ", all promises kept" : ", BROKEN") << "\n";
            for (const auto& it : violations)
                m_out << "  " << it << "\n";
            return recovered && violations.empty();
        }

        SoakOptions m_options;
        std::ostream& m_out;
        SeededRandom m_random;
        EntryFleet m_fleet { "soak" };
        Relay m_storeRelay;
        std::vector<std::unique_ptr<Server>> m_servers;
        std::int64_t m_version = 1;
        AttemptTracker m_tracker;
        std::atomic<bool> m_stopCallers { false };
    };

} // namespace

bool runSoak(const SoakOptions& options, std::ostream& out)
{
    return Soak(options, out).run();
}

} // namespace yuccashift::soak
