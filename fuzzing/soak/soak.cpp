#include "fuzzing/soak/soak.hpp"

#include "fuzzing/soak/attempt_tracker.hpp"
#include "platform/standins/entry_fleet.hpp"
#include "tests/support/crowd.hpp"
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
    constexpr std::size_t uploadBytes = 3 << 20;
    constexpr test::EntryLimits entryLimits { 160, 1024, uploadBytes };
    /** Body that the crowds announce. */
    constexpr std::size_t crowdBodyBytes = 65536;
    constexpr std::size_t bytesPerMegabyte = 1 << 20;
    constexpr int maxCrowds = 2;
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
            m_fleet.setLimits(entryLimits);
            startAll();
            std::vector<std::thread> callers;
            for (std::size_t n = 0; n < callerThreads; ++n)
                callers.emplace_back([this, n] { callUntilEnd(n); });
            const auto end = std::chrono::steady_clock::now() + m_options.time;
            while (std::chrono::steady_clock::now() < end) {
                // Some faults come in series, without a pause in between.
                for (auto n = m_random.uniformBelow(4) == 0 ? 1 + m_random.uniformBelow(4) : 1; n > 0; --n)
                    injectFault();
                std::this_thread::sleep_for(std::chrono::milliseconds(50 + m_random.uniformBelow(250)));
            }
            m_stopCrowds = true;
            for (auto& it : m_crowds)
                it.join();
            for (const auto& name : entryNames)
                checkMemory(name);
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

        /** Records if the process has used more memory than its settings name. */
        void checkMemory(const std::string& name)
        {
            try {
                const auto peak = test::MemoryRecorder(m_fleet.entry(name).pid(), {}).peakBytes();
                if (peak > entryLimits.memoryMb * bytesPerMegabyte)
                    m_memoryViolations.push_back(name + " used " + std::to_string(peak / bytesPerMegabyte) + " MiB of memory");
            } catch (const std::runtime_error&) {
                // The process has ended.
            }
        }

        /** Plays clients outside the limits beside the other faults. */
        void injectCrowd()
        {
            using test::CrowdBehaviour;
            using test::EntryListener;
            constexpr std::array behaviours { CrowdBehaviour::TrailersWithoutEnd, CrowdBehaviour::ChunkLineWithoutEnd, CrowdBehaviour::LargeChunks, CrowdBehaviour::TinyChunks, CrowdBehaviour::AnnouncedBody, CrowdBehaviour::Header, CrowdBehaviour::PipelinedRequests };
            constexpr std::array listeners { EntryListener::Callers, EntryListener::Callers, EntryListener::Peers, EntryListener::Directory, EntryListener::Readiness, EntryListener::Operators };
            if (m_crowdsInProgress >= maxCrowds)
                return;
            test::CrowdSpec spec { m_fleet.listener(entryNames[m_random.uniformBelow(entryNames.size())], listeners[m_random.uniformBelow(listeners.size())]), behaviours[m_random.uniformBelow(behaviours.size())] };
            spec.connections = 1 + m_random.uniformBelow(60);
            spec.bytesEach = 1 + m_random.uniformBelow(2 * crowdBodyBytes);
            spec.announcedBytes = crowdBodyBytes;
            // No such route: what such a client sends is never run.
            spec.target = "/none/x";
            spec.headers = "X-Attempt-Id: crowd\r\nX-Deadline-Ms: 5000\r\n";
            ++m_crowdsInProgress;
            m_crowds.emplace_back([this, spec] {
                test::Crowd(spec).play([this] { return !m_stopCrowds; });
                --m_crowdsInProgress;
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
            // Every other caller uses its connection until it is closed.
            std::optional<test::HttpConnection> kept;
            if (thread % 2 == 0)
                kept.emplace();
            for (int n = 0; !m_stopCallers; ++n) {
                const auto attempt = "a" + std::to_string(thread) + "x" + std::to_string(n);
                Attempt record;
                record.kind = static_cast<RequestKind>(random.uniformBelow(requestKinds));
                const auto request = makeCall(entryNames[kept ? thread % entryNames.size() : random.uniformBelow(entryNames.size())], attempt, record.kind);
                record.reply = kept ? kept->send(request) : test::send(request);
                m_tracker.recordReply(attempt, std::move(record));
            }
        }

        test::HttpCall makeCall(const std::string& entry, const std::string& attempt, RequestKind kind) const
        {
            const auto request = [&](const char* method, const char* path, const std::string& body) {
                const auto headers = test::callerHeaders(attempt, callTimeout);
                return test::HttpCall { m_fleet.callers(entry), method, path, { headers.begin(), headers.end() }, body };
            };
            switch (kind) {
            case RequestKind::Read:
                return request("GET", "/read/x", "");
            case RequestKind::Write:
                return request("POST", "/write/x", "entry");
            case RequestKind::Stream:
                return request("POST", "/stream/x", "prompt");
            case RequestKind::StreamOnce:
                return request("POST", "/once/stream/x", "prompt");
            case RequestKind::Upload:
                return request("POST", "/write/upload", std::string(uploadBytes, 'u'));
            case RequestKind::Bound:
                break;
            }
            return request("GET", "/home/x", "");
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
            switch (m_random.uniformBelow(12)) {
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
            case 8:
                return m_fleet.control(server.id, "/control/reset-uploads", R"({"count":4})");
            case 9: {
                constexpr std::array<const char*, 5> kinds { "length", "noise", "000", "099", "999" };
                return m_fleet.control(server.id, "/control/odd-answers", std::string(R"({"count":2,"kind":")") + kinds[m_random.uniformBelow(kinds.size())] + "\"}");
            }
            case 10:
                return m_fleet.withdraw(server.id);
            default:
                return m_fleet.control(server.id, "/control/extra-answers", R"({"count":2})");
            }
        }

        void injectEntryFault()
        {
            const auto& name = entryNames[m_random.uniformBelow(entryNames.size())];
            switch (m_random.uniformBelow(5)) {
            case 0:
                m_fleet.entry(name).signal(SIGSTOP);
                return;
            case 1:
                m_fleet.entry(name).signal(SIGCONT);
                return;
            case 2:
                m_fleet.entry(name).signal(SIGTERM);
                return;
            case 3:
                m_fleet.entry(name).signal(SIGHUP);
                return;
            default:
                checkMemory(name);
                return startEntry(name);
            }
        }

        void injectStoreFault()
        {
            constexpr std::array<const char*, 4> modes { "up", "up", "busy", "reset" };
            switch (m_random.uniformBelow(7)) {
            case 0:
                return publishConfig();
            case 1:
                return m_fleet.evacuate(m_random.uniformBelow(2) == 0 ? "hall-sofia" : "hall-varna", m_random.uniformBelow(2) == 0);
            case 2:
                return m_fleet.control("store", "/control/compact", "");
            case 5:
                return m_fleet.control("store", "/control/cut-watches", "");
            case 6:
                return m_fleet.control("store", "/control/refuse-watches", m_random.uniformBelow(2) == 0 ? R"({"on":true})" : R"({"on":false})");
            case 3:
                return m_storeRelay.setMode(static_cast<RelayMode>(m_random.uniformBelow(3)));
            default:
                return m_fleet.control("store", "/control/mode", std::string(R"({"mode":")") + modes[m_random.uniformBelow(modes.size())] + "\"}");
            }
        }

        void injectFault()
        {
            switch (m_random.uniformBelow(5)) {
            case 0:
                return injectEntryFault();
            case 1:
                return injectStoreFault();
            case 2:
                return injectCrowd();
            default:
                return injectServerFault();
            }
        }

        void removeFaults()
        {
            m_fleet.control("store", "/control/mode", R"({"mode":"up"})");
            m_fleet.control("store", "/control/refuse-watches", R"({"on":false})");
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
            auto violations = m_tracker.findViolations();
            violations.insert(violations.end(), m_memoryViolations.begin(), m_memoryViolations.end());
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
        std::vector<std::thread> m_crowds;
        std::atomic<int> m_crowdsInProgress { 0 };
        std::atomic<bool> m_stopCrowds { false };
        std::vector<std::string> m_memoryViolations;
    };

} // namespace

bool runSoak(const SoakOptions& options, std::ostream& out)
{
    return Soak(options, out).run();
}

} // namespace yuccashift::soak
