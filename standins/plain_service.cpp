#include "standins/common/answer_text.hpp"
#include "standins/common/flags.hpp"
#include "standins/common/http_server.hpp"
#include "standins/common/signal.hpp"

#include <boost/json/object.hpp>
#include <cstdlib>
#include <map>

namespace standins {
namespace {

    struct PlainOptions {
        std::string name;
        std::chrono::milliseconds work { 0 };
        std::uint32_t slots = 0;
    };

    /** Plain service that counts the executions of each idempotency key. */
    class PlainService {
    public:
        PlainService(PlainOptions options, HttpServer& server)
            : m_options(std::move(options))
            , m_server(server)
        {
        }

        awaitable<void> handle(Exchange& exchange)
        {
            if (exchange.isControl())
                co_await exchange.answer(control(exchange));
            else if (exchange.path() == "/v1/load")
                co_await exchange.answer(load());
            else if (m_leaving)
                co_await exchange.answer(notRun("leaving"));
            else if (m_running >= m_options.slots)
                co_await exchange.answer(notRun("busy"));
            else
                co_await run(exchange);
        }

    private:
        awaitable<void> run(Exchange& exchange)
        {
            if (!m_crashText.empty() && exchange.body().find(m_crashText) != std::string::npos)
                std::_Exit(1);
            const auto answer = count(exchange);
            ++m_running;
            co_await sleepFor(std::chrono::duration_cast<Clock::duration>(m_options.work * m_slowFactor));
            --m_running;
            if (m_answersToLose > 0) {
                --m_answersToLose;
                exchange.drop();
            } else if (m_answersToCut > 0) {
                --m_answersToCut;
                co_await exchange.truncate(answer);
            } else {
                co_await exchange.answer(answer);
            }
        }

        Answer count(const Exchange& exchange)
        {
            ++m_total;
            const auto key = exchange.header("Idempotency-Key");
            if (!key.empty())
                ++m_runs[key];
            boost::json::object body;
            body["backend"] = m_options.name;
            body["method"] = exchange.method();
            body["path"] = exchange.path();
            body["proof"] = plainProof(exchange.method(), exchange.path(), exchange.body());
            if (!key.empty()) {
                body["key"] = key;
                body["run"] = m_runs[key];
            }
            return json(body);
        }

        Answer load()
        {
            return json({ { "sequence", ++m_sequence }, { "running", m_running }, { "waiting", 0 }, { "leaving", m_leaving } });
        }

        Answer control(const Exchange& exchange)
        {
            const auto path = exchange.path();
            const auto body = exchange.jsonBody();
            const auto& fields = body.as_object();
            if (path == "/control/runs")
                return runs();
            if (path == "/control/leave")
                m_leaving = !fields.contains("leaving") || fields.at("leaving").as_bool();
            else if (path == "/control/hang")
                applyHang(m_server, exchange);
            else if (path == "/control/slow")
                m_slowFactor = fields.at("factor").to_number<double>();
            else if (path == "/control/crash-on")
                m_crashText = std::string(fields.at("text").as_string());
            else if (path == "/control/lose-answers")
                m_answersToLose = fields.at("count").to_number<std::uint64_t>();
            else if (path == "/control/cut-answers")
                m_answersToCut = fields.at("count").to_number<std::uint64_t>();
            else
                return failure(404, "no such switch");
            return json(boost::json::object());
        }

        Answer runs() const
        {
            boost::json::object counts;
            for (const auto& [key, n] : m_runs)
                counts[key] = n;
            return json({ { "runs", counts }, { "total", m_total } });
        }

        PlainOptions m_options;
        HttpServer& m_server;
        std::map<std::string, std::uint64_t> m_runs;
        std::uint64_t m_total = 0;
        std::uint64_t m_sequence = 0;
        std::uint32_t m_running = 0;
        double m_slowFactor = 1;
        bool m_leaving = false;
        std::string m_crashText;
        std::uint64_t m_answersToLose = 0;
        std::uint64_t m_answersToCut = 0;
    };

} // namespace
} // namespace standins

int main(int argc, char** argv)
{
    standins::Flags flags("Stand-in for a plain service");
    TCLAP::ValueArg<std::string> name("", "name", "name in answers", false, "plain", "name", flags.commandLine());
    TCLAP::ValueArg<unsigned> work("", "work-ms", "milliseconds for one call", false, 5, "ms", flags.commandLine());
    TCLAP::ValueArg<std::uint32_t> slots("", "slots", "calls at once; more are refused", false, 1024, "count", flags.commandLine());
    flags.parse(argc, argv);
    standins::HttpServer server(flags.address(), flags.port());
    standins::PlainService service({ name.getValue(), std::chrono::milliseconds(work.getValue()), slots.getValue() }, server);
    return server.run([&](standins::Exchange& exchange) { return service.handle(exchange); });
}
