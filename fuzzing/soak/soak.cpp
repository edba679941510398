#include "fuzzing/soak/soak.hpp"

#include "fuzzing/soak/ledger.hpp"
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
    /** Callers of the stand-ins give up after this time. */
    constexpr std::chrono::milliseconds callerPatience { 4000 };
    constexpr std::chrono::seconds recovery { 40 };
    const std::array<std::string, 3> entryNames { "sofia-1", "sofia-2", "varna-1" };

    std::string regionOf(const std::string& name)
    {
        return name.find("sofia") != std::string::npos ? "sofia" : "varna";
    }

    /** A server's stand-in behind a relay of its own. */
    struct Server {
        Server(std::string serverId, std::string serverService)
            : id(std::move(serverId))
            , service(std::move(serverService))
        {
        }

        std::string id;
        std::string service;
        std::int64_t born = 1;
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

        bool play()
        {
            start();
            std::vector<std::thread> callers;
            for (std::size_t n = 0; n < callerThreads; ++n)
                callers.emplace_back([this, n] { callUntilEnd(n); });
            const auto end = std::chrono::steady_clock::now() + m_options.time;
            while (std::chrono::steady_clock::now() < end) {
                disturb();
                std::this_thread::sleep_for(std::chrono::milliseconds(50 + m_random.uniformBelow(250)));
            }
            heal();
            const bool recovered = waitForRecovery();
            m_ended = true;
            for (auto& it : callers)
                it.join();
            return report(recovered);
        }

    private:
        void start()
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
            m_fleet.publish({ server.id, server.service, "hall-" + regionOf(server.id), server.relay.endpoint(), server.draining ? "draining" : "ready", server.born });
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
            for (int n = 0; !m_ended; ++n) {
                const auto attempt = "a" + std::to_string(thread) + "x" + std::to_string(n);
                Sending sending;
                sending.work = static_cast<Work>(random.uniformBelow(5));
                sending.reply = call(entryNames[random.uniformBelow(entryNames.size())], attempt, sending.work);
                m_ledger.sent(attempt, std::move(sending));
            }
        }

        test::HttpReply call(const std::string& entry, const std::string& attempt, Work work) const
        {
            switch (work) {
            case Work::Read:
                return m_fleet.call(entry, attempt, "GET", "/read/x", {}, callerPatience);
            case Work::Write:
                return m_fleet.call(entry, attempt, "POST", "/write/x", "entry", callerPatience);
            case Work::Stream:
                return m_fleet.call(entry, attempt, "POST", "/stream/x", "prompt", callerPatience);
            case Work::StreamOnce:
                return m_fleet.call(entry, attempt, "POST", "/once/stream/x", "prompt", callerPatience);
            case Work::Bound:
                break;
            }
            return m_fleet.call(entry, attempt, "GET", "/home/x", {}, callerPatience);
        }

        /** Notes the runs that a server has counted. */
        void look(const Server& server)
        {
            std::map<std::string, std::uint64_t> counts;
            const auto answer = m_fleet.read(server.id, "/control/runs");
            if (const auto* runs = answer.if_contains("runs")) {
                for (const auto& it : runs->as_object())
                    counts[it.key()] = it.value().to_number<std::uint64_t>();
            }
            m_ledger.ran(server.id + "#" + std::to_string(server.born), regionOf(server.id), std::move(counts));
        }

        void restartServer(Server& server)
        {
            look(server);
            m_fleet.killWorker(server.id);
            ++server.born;
            startServer(server);
        }

        void disturbServer()
        {
            auto& server = *m_servers[m_random.uniformBelow(m_servers.size())];
            switch (m_random.uniformBelow(8)) {
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
            default:
                return m_fleet.control(server.id, "/control/extra-answers", R"({"count":2})");
            }
        }

        void disturbEntry()
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

        void disturbStore()
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

        void disturb()
        {
            switch (m_random.uniformBelow(4)) {
            case 0:
                return disturbEntry();
            case 1:
                return disturbStore();
            default:
                return disturbServer();
            }
        }

        void heal()
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

        /** Every instance serves, by the newest configuration. */
        bool waitForRecovery() const
        {
            const auto newest = "/v" + std::to_string(m_version) + "/x";
            for (const auto& name : entryNames) {
                if (!test::waitUntil([&] { return m_fleet.call(name, "check", "GET", newest, {}, callerPatience).ok(); }, recovery))
                    return false;
            }
            return true;
        }

        bool report(bool recovered)
        {
            for (const auto& server : m_servers)
                look(*server);
            m_ledger.sent("check", {});
            const auto broken = m_ledger.judge();
            m_out << "seed " << m_options.seed << ":";
            for (const auto& [status, count] : m_ledger.statuses())
                m_out << " " << status << " x" << count;
            m_out << (recovered ? "" : ", an instance did not recover") << (broken.empty() ? ", all promises kept" : ", BROKEN") << "\n";
            for (const auto& it : broken)
                m_out << "  " << it << "\n";
            return recovered && broken.empty();
        }

        SoakOptions m_options;
        std::ostream& m_out;
        SeededRandom m_random;
        EntryFleet m_fleet { "soak" };
        Relay m_storeRelay;
        std::vector<std::unique_ptr<Server>> m_servers;
        std::int64_t m_version = 1;
        Ledger m_ledger;
        std::atomic<bool> m_ended { false };
    };

} // namespace

bool playSoak(const SoakOptions& options, std::ostream& out)
{
    return Soak(options, out).play();
}

} // namespace yuccashift::soak
