#include "standins/common/flags.hpp"
#include "standins/common/http_server.hpp"
#include "standins/common/signal.hpp"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <map>
#include <regex>

namespace standins {
namespace {

    constexpr std::size_t maxDocumentBytes = 1UL << 20;

    struct Published {
        std::uint64_t revision = 0;
        std::string text;
    };

    /** Consistent state of all documents that a reader sees. */
    struct Contents {
        std::uint64_t index = 0;
        std::map<std::string, Published> documents;
    };

    enum class Mode {
        Up,
        Down,
        Stale,
    };

    struct Counts {
        std::uint64_t reads = 0;
        std::uint64_t watches = 0;
        std::uint64_t waiting = 0;
    };

    std::uint64_t revisionOf(const std::string& text)
    {
        static const std::regex line("(^|\n)revision:[ \t]*([0-9]+)");
        std::smatch match;
        return std::regex_search(text, match, line) ? std::stoull(match[2]) : 0;
    }

    /** Configuration service that instances read and watch; only tests write to it. */
    class ConfigService {
    public:
        awaitable<void> handle(Exchange& exchange)
        {
            const auto path = exchange.path();
            if (exchange.isControl()) {
                co_await exchange.answer(control(exchange));
            } else if (m_mode == Mode::Down) {
                exchange.drop();
            } else if (path == "/v1/documents") {
                ++m_counts.reads;
                co_await exchange.answer(listing());
            } else if (path.starts_with("/v1/documents/")) {
                ++m_counts.reads;
                co_await exchange.answer(document(exchange.lastSegment()));
            } else if (path == "/v1/watch") {
                ++m_counts.watches;
                co_await watch(exchange);
            } else {
                co_await exchange.answer(failure(404, "no such path"));
            }
        }

    private:
        const Contents& visible() const { return m_mode == Mode::Stale ? m_staleContents : m_currentContents; }

        Answer listing() const
        {
            boost::json::array documents;
            for (const auto& [service, published] : visible().documents)
                documents.push_back({ { "service", service }, { "revision", published.revision } });
            return json({ { "index", visible().index }, { "documents", documents } });
        }

        Answer document(const std::string& service) const
        {
            const auto it = visible().documents.find(service);
            if (it == visible().documents.end())
                return failure(404, "no such document");
            Answer answer;
            answer.contentType = "application/yaml";
            answer.body = it->second.text;
            return answer;
        }

        awaitable<void> watch(Exchange& exchange)
        {
            const auto index = std::stoull(exchange.query("index", "0"));
            const auto wait = std::chrono::milliseconds(std::stoul(exchange.query("wait_ms", "0")));
            const auto deadline = Clock::now() + wait;
            ++m_counts.waiting;
            while (m_mode != Mode::Down && visible().index <= index && Clock::now() < deadline)
                co_await m_changed.waitUntil(deadline);
            --m_counts.waiting;
            if (m_mode == Mode::Down)
                exchange.drop();
            else
                co_await exchange.answer(listing());
        }

        Answer control(const Exchange& exchange)
        {
            const auto path = exchange.path();
            if (path.starts_with("/control/documents/") && exchange.method() == "PUT")
                return publish(exchange.lastSegment(), exchange.body());
            if (path == "/control/mode")
                return setMode(std::string(exchange.jsonBody().at("mode").as_string()));
            if (path == "/control/counts")
                return json({ { "reads", m_counts.reads }, { "watches", m_counts.watches }, { "waiting", m_counts.waiting } });
            return failure(404, "no such switch");
        }

        Answer publish(const std::string& service, const std::string& text)
        {
            if (text.size() > maxDocumentBytes)
                return failure(413, "a value holds at most a megabyte");
            ++m_currentContents.index;
            m_currentContents.documents[service] = { revisionOf(text), text };
            m_changed.notifyAll();
            return json({ { "index", m_currentContents.index }, { "revision", m_currentContents.documents[service].revision } });
        }

        Answer setMode(const std::string& word)
        {
            if (word == "stale" && m_mode != Mode::Stale)
                m_staleContents = m_currentContents;
            if (word == "up")
                m_mode = Mode::Up;
            else if (word == "down")
                m_mode = Mode::Down;
            else if (word == "stale")
                m_mode = Mode::Stale;
            else
                return failure(400, "mode is up, down or stale");
            m_changed.notifyAll();
            return json({ { "mode", word } });
        }

        Mode m_mode = Mode::Up;
        Contents m_currentContents;
        Contents m_staleContents;
        Counts m_counts;
        Signal m_changed;
    };

} // namespace
} // namespace standins

int main(int argc, char** argv)
{
    standins::Flags flags("Stand-in for the configuration service");
    flags.parse(argc, argv);
    standins::ConfigService service;
    standins::HttpServer server(flags.address(), flags.port());
    return server.run([&](standins::Exchange& exchange) { return service.handle(exchange); });
}
