#include "review/harness-2/harness.hpp"

#include <algorithm>
#include <array>
#include <cstdio>
#include <stdexcept>

/**
 * Two machines, a service whose workers are replaced one after the other. The old ones never report that they drain:
 * their entries are removed, and they serve on for a while. The store cuts the watches that wait each 1.5 s.
 */
namespace review {
namespace {

    constexpr milliseconds drainMs { 3000 };
    constexpr milliseconds cutInterval { 1500 };
    constexpr milliseconds releaseGap { 1400 };
    /** A new worker is registered this long before the old one leaves. */
    constexpr milliseconds overlap { 300 };
    constexpr milliseconds servesOn { 9000 };
    constexpr milliseconds settleTime { 8000 };
    constexpr milliseconds workTime { 60 };
    constexpr double requestsPerSecond = 31;
    constexpr int workerCount = 8;
    /** Half of the workers are replaced. */
    constexpr int replaced = 4;

    class Worker {
    public:
        Worker(std::string id, const std::string& ip, Record& record)
            : m_id(std::move(id))
            , m_record(record)
            , m_server(ip, 0, [this](Connection& connection, const Message& request) { handle(connection, request); })
        {
        }

        void enter(Store& store)
        {
            m_record.line(m_id + " enters");
            store.put("servers/" + m_id, R"({"service":"pass-ledger","address":")" + m_server.address() + R"(","zone":"sofia-hall","version":"v1","slots":6,"state":"ready","coldRemainingMs":0,"sequence":0})");
        }

        void leave(Store& store)
        {
            store.erase("servers/" + m_id);
            m_leftAt = Clock::now();
            m_left = true;
            m_record.line("the entry of " + m_id + " is removed");
        }

        void endIfDue()
        {
            if (m_left && !m_ended && Clock::now() - m_leftAt >= servesOn) {
                m_ended = true;
                m_record.line(m_id + " ends");
                m_server.stop();
            }
        }

        int late() const { return m_late; }
        std::int64_t latestMs() const { return m_latestMs; }

    private:
        void handle(Connection& connection, const Message& request)
        {
            if (request.path() == "/health") {
                connection.send(answerText(200, { { "X-Instance-Id", m_id } }, ""));
                return;
            }
            const auto attempt = request.field("X-Attempt-Id");
            const auto after = m_left ? sinceMs(m_leftAt) : 0;
            m_record.line(m_id + " runs " + attempt + (m_left ? ", " + std::to_string(after) + " ms after its entry was removed" : std::string()));
            if (m_left) {
                m_late += after > drainMs.count() ? 1 : 0;
                m_latestMs = std::max(m_latestMs.load(), after);
            }
            sleepFor(workTime);
            connection.send(answerText(200, { { "X-Attempt-Id", attempt }, { "X-Server-Seal", m_id + "." + attempt } }, "answer to " + attempt));
        }

        const std::string m_id;
        Record& m_record;
        std::atomic<bool> m_left = false;
        bool m_ended = false;
        Instant m_leftAt {};
        std::atomic<int> m_late = 0;
        std::atomic<std::int64_t> m_latestMs = 0;
        HttpServer m_server;
    };

    constexpr const char* config = R"({"version":7,"routes":[
        {"name":"r-1","host":"ficu95.example","pathPrefix":"/pule252/","kind":"non_idempotent","timeoutMs":8000,"targetLatencyMs":500,"priority":0,"service":"pass-ledger","maxAttempts":1}],
        "services":[{"name":"pass-ledger","healthPath":"/health","maxConnections":110,"protocol":"h1","tls":false,"coldS":0.0,"coldPerS":0.0}],
        "limits":{"headerBytes":16384,"bodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}})";

    int run(Record& record)
    {
        Deployment deployment;
        auto& store = deployment.store();
        store.put("op/config", config);
        std::vector<std::unique_ptr<Worker>> workers;
        const auto add = [&] {
            workers.push_back(std::make_unique<Worker>("i-" + std::to_string(workers.size() + 1), deployment.newAddress(), record));
            workers.back()->enter(store);
        };
        for (int n = 0; n < workerCount; ++n)
            add();
        deployment.add("front-1", "sofia-hall", "sofia");
        deployment.add("front-2", "sofia-hall", "sofia");
        if (!deployment.startAll())
            return couldNotRun;
        std::atomic<bool> ends = false;
        std::atomic<int> served = 0;
        std::atomic<int> failed = 0;
        std::thread cutter([&] {
            for (auto at = Clock::now(); !ends; at += cutInterval) {
                std::this_thread::sleep_until(at);
                if (withTrouble())
                    store.cutWatches();
            }
        });
        std::thread clients([&] {
            std::vector<std::thread> calls;
            const auto startedAt = Clock::now();
            for (int n = 0; !ends; ++n) {
                calls.emplace_back([&, n] {
                    const auto& entry = *deployment.machines()[static_cast<std::size_t>(n % 2)];
                    const auto connection = Connection::open(entry.machine().ip, entry.ports().front, milliseconds(1000));
                    const auto attempt = "attempt-" + std::to_string(n);
                    record.line(attempt + " is sent to " + entry.machine().name);
                    const bool sent = connection && connection->send("POST /pule252/2f HTTP/1.1\r\nHost: ficu95.example\r\nX-Attempt-Id: " + attempt + "\r\nX-Deadline-Ms: 8000\r\nContent-Length: 0\r\n\r\n");
                    const auto answer = sent ? connection->readAnswer(Clock::now() + milliseconds(9000)) : Message();
                    (answer.status == 200 ? served : failed) += 1;
                    record.line(attempt + " is answered " + std::to_string(answer.status));
                });
                std::this_thread::sleep_until(startedAt + std::chrono::duration_cast<Clock::duration>(std::chrono::duration<double>((n + 1) / requestsPerSecond)));
            }
            for (auto& it : calls)
                it.join();
        });
        sleepFor(settleTime);
        const auto releaseAt = Clock::now();
        for (int n = 0; n < replaced; ++n) {
            std::this_thread::sleep_until(releaseAt + n * releaseGap);
            add();
            sleepFor(overlap);
            workers[static_cast<std::size_t>(n)]->leave(store);
        }
        while (Clock::now() < releaseAt + replaced * releaseGap + servesOn) {
            sleepFor(milliseconds(50));
            for (const auto& it : workers)
                it->endIfDue();
        }
        ends = true;
        clients.join();
        cutter.join();
        int late = 0;
        std::int64_t latest = 0;
        for (const auto& it : workers) {
            late += it->late();
            latest = std::max(latest, it->latestMs());
        }
        std::array<char, 160> text {};
        std::snprintf(text.data(), text.size(), "%d requests served, %d not; %d reached a worker over %d ms after its entry was removed, the latest after %d ms", served.load(), failed.load(), late, static_cast<int>(drainMs.count()), static_cast<int>(latest));
        record.line(text.data());
        std::printf("%s\n", text.data());
        return late > 0 ? ruleBroken : ruleHeld;
    }

} // namespace
} // namespace review

int main(int argc, char** argv)
{
    if (argc != 2)
        return review::couldNotRun;
    try {
        review::Record record(argv[1]);
        return review::run(record);
    } catch (const std::exception& e) {
        std::fprintf(stderr, "%s\n", e.what());
        return review::couldNotRun;
    }
}
