#include "review/standins-3/harness.hpp"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <csignal>
#include <random>
#include <sstream>

namespace review {
namespace {

    constexpr unsigned streams = 24;
    constexpr unsigned eventsOfStream = 44;
    constexpr milliseconds eventPause { 250 };
    constexpr milliseconds deadline { 15000 };
    constexpr unsigned timeoutBefore = 15000;
    constexpr unsigned timeoutAfter = 3000;
    /** From the first stream on. */
    constexpr milliseconds releaseAt { 400 };
    constexpr milliseconds releaseGap { 300 };
    constexpr milliseconds timeoutChangeAt { 2600 };
    constexpr milliseconds killAt { 8700 };
    constexpr milliseconds restartDelay { 1000 };
    constexpr std::size_t joinedStreamsAllowed = 2;

    /** The events of a stream that one client holds, over all its tries. */
    struct Stream {
        std::string first;
        std::vector<unsigned> ids;
        std::vector<std::string> versions;
        bool complete = false;

        bool isJoined() const
        {
            return std::ranges::any_of(versions, [&](const auto& it) { return it != versions.front(); });
        }
        /** Runs of events of one version, such as `v1:1-34 v2:35-44`. */
        std::string text() const
        {
            std::ostringstream out;
            for (std::size_t n = 0; n < ids.size(); ++n) {
                if (n == 0 || versions[n] != versions[n - 1])
                    out << (n == 0 ? "" : " ") << versions[n] << ":" << ids[n] << "-";
                if (n + 1 == ids.size() || versions[n + 1] != versions[n])
                    out << ids[n];
            }
            return out.str();
        }
    };

    /** The workers are replaced by those of another version and a route's time limit shrinks; then many machines are killed at once. */
    class Case {
    public:
        int play()
        {
            return m_lab.play([this] { return script(); }, std::chrono::seconds(60));
        }

    private:
        awaitable<int> script()
        {
            for (const auto* zone : { "ikeja-hall", "wuse-hall", "trans-amadi" }) {
                addWorker(zone, "v1").start();
                addWorker(zone, "v1").start();
            }
            for (const auto* zone : { "ikeja-hall", "ikeja-hall", "ikeja-hall", "wuse-hall", "wuse-hall", "trans-amadi", "trans-amadi" })
                m_lab.addMachine(zone);
            publish(7, timeoutBefore);
            for (const auto& it : m_lab.machines)
                m_lab.startMachine(*it, true);
            const bool settled = co_await m_lab.settle();
            if (!settled)
                co_return exitNotRun;
            const auto start = now();
            m_end = start + deadline;
            for (unsigned n = 0; n < streams; ++n)
                asio::co_spawn(m_lab.io, readStream(n), asio::detached);
            co_await sleepUntil(start + releaseAt);
            co_await release();
            co_await sleepUntil(start + timeoutChangeAt);
            publish(8, timeoutAfter);
            co_await sleepUntil(start + killAt);
            if (disrupted())
                co_await killMany();
            co_await sleepUntil(m_end + milliseconds(1000));
            co_return judge();
        }

        int judge()
        {
            std::size_t joined = 0;
            std::size_t complete = 0;
            std::size_t begun = 0;
            for (const auto& it : m_streams) {
                joined += it.isJoined() ? 1 : 0;
                complete += it.complete ? 1 : 0;
                begun += it.ids.empty() ? 0 : 1;
                m_lab.record.note("stream " + it.first + " holds " + it.text() + (it.complete ? ", complete" : ""));
            }
            m_lab.record.note("streams " + std::to_string(streams) + ", begun " + std::to_string(begun) + ", complete " + std::to_string(complete) + ", with events of two versions " + std::to_string(joined));
            if (begun < streams)
                return exitNotRun;
            return joined > joinedStreamsAllowed ? exitBroken : exitHeld;
        }

        void publish(std::int64_t version, unsigned timeoutMs)
        {
            m_lab.publishConfig(version, { { "/stream/", "streaming", "draft", 2, true, timeoutMs } });
        }

        Worker& addWorker(const std::string& zone, const std::string& version)
        {
            auto& worker = m_lab.addWorker({ "draft-" + std::to_string(m_lab.workers.size() + 1), "draft", zone, version, 64, 192 });
            worker.run = [this](Worker& self, std::shared_ptr<Connection> connection, const Request& request) -> awaitable<void> {
                const std::string attempt(request["X-Attempt-Id"]);
                const std::string after(request["Last-Event-Id"]);
                unsigned next = after.empty() ? 1 : static_cast<unsigned>(std::stoul(after)) + 1;
                m_lab.record.note("worker " + self.id() + " " + self.spec().version + " runs " + attempt + " from event " + std::to_string(next));
                co_await sleepFor(milliseconds(20));
                co_await connection->write("HTTP/1.1 200 OK\r\nX-Attempt-Id: " + attempt + "\r\nX-Server-Seal: " + self.sealOf(attempt) + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
                for (; next <= eventsOfStream; ++next) {
                    const auto event = "id: " + std::to_string(next) + "\ndata: " + self.spec().version + "\n\n";
                    std::ostringstream chunk;
                    chunk << std::hex << event.size() << "\r\n"
                          << event << "\r\n";
                    co_await connection->write(chunk.str());
                    co_await sleepFor(eventPause);
                    if (connection->peerHasClosed())
                        co_return connection->reset();
                }
                co_await connection->write("0\r\n\r\n");
            };
            return worker;
        }

        /** New workers start first; then the entries of the old ones go, one after the other, and those serve on for some time. */
        awaitable<void> release()
        {
            std::vector<Worker*> old;
            for (const auto& it : m_lab.workers)
                old.push_back(it.get());
            for (auto* it : old)
                addWorker(it->spec().zone, "v2").start();
            for (auto* it : old) {
                co_await sleepFor(releaseGap);
                m_lab.store->remove("servers/" + it->id());
                m_lab.record.note("the entry of " + it->id() + " is removed; it serves on");
            }
        }

        /** The machines of two regions, four of seven. */
        awaitable<void> killMany()
        {
            std::vector<Machine*> killed;
            for (const auto& it : m_lab.machines) {
                if (it->region != "lagos")
                    killed.push_back(it.get());
            }
            for (auto* it : killed) {
                it->kill();
                m_lab.record.note("machine " + it->name + " is killed");
            }
            co_await sleepFor(restartDelay);
            for (auto* it : killed)
                m_lab.startMachine(*it, false);
        }

        const Machine& machineFor(unsigned number, bool first)
        {
            std::vector<const Machine*> found;
            for (const auto& it : m_lab.machines) {
                if (it->region == (first ? "port-harcourt" : "lagos"))
                    found.push_back(it.get());
            }
            return *found[number % found.size()];
        }

        awaitable<void> readStream(unsigned number)
        {
            Stream stream;
            stream.first = "s" + std::to_string(number) + "-1";
            for (unsigned tries = 1; !stream.complete && m_end - now() > milliseconds(300); ++tries) {
                const auto attempt = "s" + std::to_string(number) + "-" + std::to_string(tries);
                const auto wait = co_await readOnce(stream, attempt, machineFor(number + tries, tries == 1));
                if (!stream.complete)
                    co_await sleepFor(wait);
            }
            m_streams.push_back(std::move(stream));
        }

        /** One try; returns the time to wait before the next. */
        awaitable<milliseconds> readOnce(Stream& stream, std::string attempt, const Machine& machine)
        {
            constexpr milliseconds shortWait { 20 };
            const auto left = std::chrono::duration_cast<milliseconds>(m_end - now());
            RawClient client(m_lab.io);
            const bool connected = co_await client.connect(m_lab.front(machine));
            if (!connected)
                co_return shortWait;
            std::string request = "POST /stream/x HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: " + attempt + "\r\nX-Deadline-Ms: " + std::to_string(left.count()) + "\r\nContent-Length: 6\r\n";
            if (!stream.ids.empty())
                request += "Resumes: " + stream.first + "\r\nLast-Event-Id: " + std::to_string(stream.ids.back()) + "\r\n";
            else
                stream.first = attempt;
            co_await client.send(request + "\r\nprompt");
            const auto received = co_await client.read(left, [](const std::string& bytes) { return bytes.ends_with("0\r\n\r\n") || (!bytes.starts_with("HTTP/1.1 200") && bytes.find('}') != std::string::npos); });
            m_lab.record.note(attempt + " at " + machine.name + " answered " + received.substr(0, received.find("\r\n")));
            takeEvents(stream, received);
            const auto at = received.find("Retry-After: ");
            if (received.starts_with("HTTP/1.1 503") && at != std::string::npos)
                co_return milliseconds(static_cast<int>(1000 * std::stod(received.substr(at + 13))));
            co_return shortWait;
        }

        static void takeEvents(Stream& stream, const std::string& received)
        {
            if (!received.starts_with("HTTP/1.1 200"))
                return;
            std::istringstream lines(received.substr(received.find("\r\n\r\n")));
            std::optional<unsigned> id;
            for (std::string line; std::getline(lines, line);) {
                if (line.starts_with("id: "))
                    id = static_cast<unsigned>(std::stoul(line.substr(4)));
                if (!line.starts_with("data: ") || !id)
                    continue;
                stream.ids.push_back(*id);
                stream.versions.push_back(line.substr(6));
            }
            stream.complete = received.ends_with("\r\n0\r\n\r\n");
        }

        Lab m_lab { "review/12/record.txt" };
        SteadyTime m_end;
        std::vector<Stream> m_streams;
    };

} // namespace
} // namespace review

int main()
{
    return review::Case().play();
}
