#include "fuzzing/soak/streams.hpp"

#include "platform/standins/entry_fleet.hpp"
#include "tests/support/wait.hpp"
#include "yuccashift/kernel/random.hpp"

#include <algorithm>
#include <array>
#include <atomic>
#include <csignal>
#include <mutex>
#include <ostream>
#include <set>
#include <thread>
#include <vector>

namespace yuccashift::soak {

namespace {

    using Clock = std::chrono::steady_clock;
    using std::chrono::milliseconds;

    constexpr std::uint64_t seedsPerLargeRun = 5;
    constexpr std::array<const char*, 2> regions { "sofia", "varna" };
    constexpr std::array<const char*, 2> services { "draft", "chat" };
    constexpr std::array<unsigned, 4> timeLimitsMs { 700, 1500, 3000, 6000 };
    constexpr std::size_t versionsOfService = 4;
    /** How long a caller waits for one stream, over all its tries. */
    constexpr milliseconds callerDeadline { 6000 };
    constexpr milliseconds shortestTry { 300 };
    constexpr milliseconds longestRetryDelay { 400 };

    struct Sizes {
        std::size_t instancesPerRegion;
        std::size_t callers;
    };

    constexpr Sizes smallRun { 2, 16 };
    constexpr Sizes largeRun { 20, 32 };

    /** The software that each event of a stream names. */
    std::vector<std::string> softwareOfEvents(const std::string& body)
    {
        std::vector<std::string> software;
        for (std::size_t at = body.find('@'); at != std::string::npos; at = body.find('@', at + 1)) {
            const auto end = body.find('\n', at);
            // The last event may have been cut.
            if (end != std::string::npos && body.compare(end, 2, "\n\n") == 0)
                software.push_back(body.substr(at + 1, end - at - 1));
        }
        return software;
    }

    class Streams {
    public:
        Streams(const StreamOptions& options, std::ostream& out)
            : m_options(options)
            , m_out(out)
            , m_sizes(options.seed % seedsPerLargeRun == 0 ? largeRun : smallRun)
        {
        }

        bool run()
        {
            startAll();
            m_end = Clock::now() + std::chrono::seconds(m_options.seconds);
            std::vector<std::thread> threads;
            for (std::size_t n = 0; n < m_sizes.callers; ++n)
                threads.emplace_back([this, n] { readUntilEnd(n); });
            threads.emplace_back([this] { releaseUntilEnd(); });
            threads.emplace_back([this] { changeRouteUntilEnd(); });
            threads.emplace_back([this] { signalUntilEnd(); });
            for (auto& it : threads)
                it.join();
            m_out << "seed " << m_options.seed << ": " << m_names.size() << " instances, " << m_releases << " releases, " << m_configs << " configurations, " << m_kills << " kills, " << m_stops << " stops; " << m_begun << " streams begun, " << m_resumed << " tries to resume, " << m_continued << " went on" << (m_violations.empty() ? ", none joined" : ", BROKEN") << "\n";
            for (const auto& it : m_violations)
                m_out << "  " << it << "\n";
            return m_violations.empty();
        }

    private:
        static std::string workerName(std::size_t service, std::size_t version, std::size_t region) { return std::string(services.at(service)) + "-" + std::to_string(version) + "-" + regions.at(region); }

        void startAll()
        {
            m_fleet.beginFirstStart();
            for (std::size_t service = 0; service < services.size(); ++service) {
                for (std::size_t version = 0; version < versionsOfService; ++version) {
                    for (std::size_t region = 0; region < regions.size(); ++region) {
                        const auto name = workerName(service, version, region);
                        m_fleet.startWorker(name, regions.at(region), { "--events", "40", "--event-ms", "100" });
                        m_fleet.control(name, "/control/software", R"({"version":")" + std::string(services.at(service)) + std::to_string(version) + "\"}");
                    }
                }
                setServing(service, 0, true);
            }
            publishRoute(0, timeLimitsMs.back(), true);
            for (std::size_t n = 0; n < m_sizes.instancesPerRegion; ++n) {
                for (const auto* region : regions) {
                    m_names.push_back(std::string(region) + "-" + std::to_string(n));
                    m_fleet.startEntry(m_names.back(), region);
                }
            }
            for (const auto& name : m_names)
                m_fleet.waitReady(name);
            for (const auto& name : m_names)
                m_endpoints.push_back(m_fleet.callers(name));
        }

        void setServing(std::size_t service, std::size_t version, bool serves)
        {
            for (std::size_t region = 0; region < regions.size(); ++region) {
                const auto name = workerName(service, version, region);
                if (serves)
                    m_fleet.publish({ name, services.at(service), std::string("hall-") + regions.at(region), m_fleet.worker(name), "ready", 1, 0, std::string(services.at(service)) + std::to_string(version), 64 });
                else
                    m_fleet.withdraw(name);
            }
        }

        void publishRoute(std::size_t service, unsigned timeLimitMs, bool present)
        {
            std::vector<test::PublishedRoute> routes { { "/other/", "idempotent", "draft", {}, false, 2 } };
            if (present)
                routes.push_back({ "/stream/", "streaming", services.at(service), {}, true, 2, timeLimitMs });
            m_fleet.publishConfig(++m_configs, routes);
        }

        bool pause(RandomSource& random, unsigned longestMs) const
        {
            std::this_thread::sleep_for(milliseconds(random.uniformBelow(longestMs)));
            return Clock::now() < m_end;
        }

        /** The next version starts, and the one before leaves the list; its servers serve on. */
        void releaseUntilEnd()
        {
            SeededRandom random(m_options.seed * 3 + 1);
            std::array<std::size_t, services.size()> serving {};
            while (pause(random, 4000)) {
                const auto service = random.uniformBelow(services.size());
                const auto next = (serving.at(service) + 1) % versionsOfService;
                setServing(service, next, true);
                pause(random, 800);
                setServing(service, serving.at(service), false);
                serving.at(service) = next;
                ++m_releases;
            }
        }

        void changeRouteUntilEnd()
        {
            SeededRandom random(m_options.seed * 3 + 2);
            std::size_t service = 0;
            while (pause(random, 2500)) {
                if (random.uniformBelow(6) == 0)
                    service = 1 - service;
                publishRoute(service, timeLimitsMs.at(random.uniformBelow(timeLimitsMs.size())), random.uniformBelow(8) != 0);
            }
            publishRoute(service, timeLimitsMs.back(), true);
        }

        /** Kills and stops come in series; all instances, most or one. */
        void signalUntilEnd()
        {
            SeededRandom random(m_options.seed * 3 + 3);
            while (pause(random, 3500)) {
                const std::size_t count = std::array { m_names.size(), m_names.size() * 3 / 4, std::size_t { 1 } }.at(random.uniformBelow(3));
                const int signal = std::array { SIGKILL, SIGKILL, SIGTERM, SIGHUP }.at(random.uniformBelow(4));
                const auto first = random.uniformBelow(m_names.size());
                std::vector<std::size_t> chosen;
                for (std::size_t n = 0; n < count; ++n)
                    chosen.push_back((first + n) % m_names.size());
                for (const auto at : chosen)
                    m_fleet.entry(m_names[at]).signal(signal);
                if (signal == SIGHUP)
                    continue;
                (signal == SIGKILL ? m_kills : m_stops) += static_cast<int>(count);
                pause(random, 1000);
                for (const auto at : chosen) {
                    if (signal == SIGTERM)
                        test::waitUntil([&] { return !m_fleet.runs(m_names[at]); });
                    m_fleet.startEntry(m_names[at], m_names[at].substr(0, m_names[at].find('-')));
                }
            }
        }

        void readUntilEnd(std::size_t thread)
        {
            SeededRandom random(m_options.seed * 1000 + thread);
            for (int n = 0; Clock::now() < m_end; ++n)
                readStream("t" + std::to_string(thread) + "s" + std::to_string(n), random);
        }

        void readStream(const std::string& name, RandomSource& random)
        {
            const auto end = Clock::now() + callerDeadline;
            std::string first;
            std::vector<std::string> events;
            for (int tries = 1; end - Clock::now() > shortestTry; ++tries) {
                const auto attempt = name + "-" + std::to_string(tries);
                const auto headers = test::callerHeaders(attempt, std::chrono::duration_cast<milliseconds>(end - Clock::now()));
                test::HttpCall call { m_endpoints[random.uniformBelow(m_endpoints.size())], "POST", "/stream/x", { headers.begin(), headers.end() }, "prompt" };
                call.timeout = std::chrono::duration_cast<milliseconds>(end - Clock::now());
                if (!events.empty()) {
                    call.headers["Resumes"] = first;
                    call.headers["Last-Event-Id"] = std::to_string(events.size());
                    ++m_resumed;
                }
                const auto reply = test::send(call);
                const auto more = reply.status == 200 ? softwareOfEvents(reply.body) : std::vector<std::string> {};
                if (events.empty() && !more.empty()) {
                    first = attempt;
                    ++m_begun;
                } else if (!more.empty()) {
                    ++m_continued;
                }
                events.insert(events.end(), more.begin(), more.end());
                const std::set<std::string> software(events.begin(), events.end());
                if (software.size() > 1)
                    return addViolation(name, attempt, first, software);
                if (reply.ok())
                    return;
                std::this_thread::sleep_for(milliseconds(random.uniformBelow(longestRetryDelay.count())));
            }
        }

        void addViolation(const std::string& name, const std::string& attempt, const std::string& first, const std::set<std::string>& software)
        {
            std::string text = name + " was begun by " + first + " and went on with " + attempt + ", joined from";
            for (const auto& it : software)
                text += " " + it;
            const std::scoped_lock lock(m_mutex);
            m_violations.push_back(std::move(text));
        }

        StreamOptions m_options;
        std::ostream& m_out;
        Sizes m_sizes;
        test::EntryFleet m_fleet { "streams" };
        std::vector<std::string> m_names;
        std::vector<Endpoint> m_endpoints;
        Clock::time_point m_end;
        std::atomic<int> m_releases { 0 };
        std::atomic<int> m_configs { 0 };
        std::atomic<int> m_kills { 0 };
        std::atomic<int> m_stops { 0 };
        std::atomic<int> m_begun { 0 };
        std::atomic<int> m_resumed { 0 };
        std::atomic<int> m_continued { 0 };
        std::mutex m_mutex;
        std::vector<std::string> m_violations;
    };

} // namespace

bool runStreams(const StreamOptions& options, std::ostream& out)
{
    return Streams(options, out).run();
}

} // namespace yuccashift::soak
