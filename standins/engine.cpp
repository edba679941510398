#include "standins/common/answer_text.hpp"
#include "standins/common/cache_event_log.hpp"
#include "standins/common/engine_model.hpp"
#include "standins/common/flags.hpp"
#include "standins/common/http_server.hpp"
#include "standins/common/model_set.hpp"

#include <boost/json/serialize.hpp>
#include <cstdlib>
#include <deque>

namespace standins {
namespace {

    constexpr std::uint64_t defaultTokens = 16;

    struct ServerOptions {
        std::chrono::milliseconds reportLag { 100 };
        std::chrono::milliseconds eventLag { 50 };
        unsigned eventGapPercent = 0;
    };

    struct LoadSnapshot {
        Clock::time_point at;
        boost::json::object report;
    };

    std::string promptOf(const boost::json::object& body)
    {
        std::string prompt;
        for (const auto& message : body.at("messages").as_array()) {
            if (!prompt.empty())
                prompt += '\n';
            prompt += std::string_view(message.at("content").as_string());
        }
        return prompt;
    }

    boost::json::object choice(std::string_view key, std::string_view text)
    {
        return { { "index", 0 }, { key, boost::json::object { { "role", "assistant" }, { "content", text } } } };
    }

    std::string tokenEvent(const Sequence& sequence, std::uint64_t index)
    {
        auto first = choice("delta", tokenText(sequence.model, sequence.prompt, index));
        first["token_index"] = index;
        if (index + 1 == sequence.tokens)
            first["finish_reason"] = "length";
        const boost::json::object event { { "id", sequence.id }, { "object", "chat.completion.chunk" },
            { "model", sequence.model }, { "choices", boost::json::array { first } } };
        return "data: " + boost::json::serialize(event) + "\n\n";
    }

    Answer wholeAnswer(const Sequence& sequence)
    {
        auto first = choice("message", answerText(sequence.model, sequence.prompt, sequence.tokens));
        first["finish_reason"] = "length";
        const auto promptTokens = sequence.prompt.size() / bytesPerToken;
        return json({ { "id", sequence.id }, { "object", "chat.completion" }, { "model", sequence.model },
            { "choices", boost::json::array { first } },
            { "usage", { { "prompt_tokens", promptTokens }, { "completion_tokens", sequence.tokens }, { "total_tokens", promptTokens + sequence.tokens } } } });
    }

    /** HTTP interface of the simulated engine. */
    class Engine {
    public:
        Engine(EngineOptions model, OrderOptions orders, ServerOptions options, HttpServer& server)
            : m_model(model)
            , m_models(std::move(orders))
            , m_options(options)
            , m_events(options.eventLag, options.eventGapPercent)
            , m_server(server)
        {
            m_model.onStart = [this](const Sequence& sequence) { started(sequence); };
            m_model.cache().onChange = [this](std::uint64_t block, bool stored) { m_events.add(block, stored); };
            server.addTask([this] { return m_model.run(); });
            server.addTask([this] { return m_models.run(); });
            server.addTask([this] { return recordReports(); });
        }

        ModelSet& models() { return m_models; }

        awaitable<void> handle(Exchange& exchange)
        {
            const auto path = exchange.path();
            if (path == "/v1/chat/completions" && exchange.method() == "POST")
                co_await chat(exchange);
            else if (exchange.isControl())
                co_await exchange.answer(control(exchange));
            else if (path == "/v1/load")
                co_await exchange.answer(json(visibleReport()));
            else if (path == "/v1/cache-events")
                co_await exchange.answer(cacheEvents(exchange));
            else if (path == "/v1/orders" && exchange.method() == "POST")
                co_await exchange.answer(order(exchange));
            else if (path.starts_with("/v1/requests/") && exchange.method() == "DELETE")
                co_await exchange.answer(cancel(exchange.lastSegment()));
            else if (path.starts_with("/v1/kv/"))
                co_await exchange.answer(kv(exchange));
            else
                co_await exchange.answer(failure(404, "no such path"));
        }

    private:
        awaitable<void> chat(Exchange& exchange)
        {
            const auto body = exchange.jsonBody();
            const auto& fields = body.as_object();
            const bool stream = fields.contains("stream") && fields.at("stream").as_bool();
            const auto offsetText = exchange.header("X-Resume-Offset");
            const std::uint64_t offset = offsetText.empty() ? 0 : std::stoull(offsetText);
            auto sequence = offsetText.empty() ? nullptr : m_model.find(exchange.header("X-Request-Id"));
            if (sequence == nullptr) {
                const std::string model(fields.at("model").as_string());
                const auto refusal = refusalOf(model);
                if (!refusal.empty()) {
                    co_await exchange.answer(notRun(refusal));
                    co_return;
                }
                sequence = makeSequence(exchange, fields, offset);
                if (!m_model.submit(sequence)) {
                    co_await exchange.answer(notRun("the queue is full"));
                    co_return;
                }
            }
            if (stream)
                co_await streamTokens(exchange, sequence, offset);
            else
                co_await answerWhole(exchange, sequence);
        }

        Answer cacheEvents(const Exchange& exchange) const
        {
            const auto after = std::stoull(exchange.query("after", "0"));
            return json({ { "events", m_events.after(after) } });
        }

        std::string refusalOf(const std::string& model) const
        {
            if (m_leaving)
                return "leaving";
            return m_models.serves(model) ? "" : "the model isn't loaded";
        }

        SequencePtr makeSequence(const Exchange& exchange, const boost::json::object& fields, std::uint64_t offset)
        {
            auto sequence = std::make_shared<Sequence>();
            sequence->id = exchange.header("X-Request-Id");
            if (sequence->id.empty())
                sequence->id = "unnamed-" + std::to_string(++m_generatedIds);
            sequence->model = std::string(fields.at("model").as_string());
            sequence->prompt = promptOf(fields);
            const auto priority = exchange.header("X-Priority");
            sequence->priority = priority.empty() ? 1 : std::stoi(priority);
            const auto* maxTokens = fields.if_contains("max_tokens");
            sequence->tokens = maxTokens == nullptr ? defaultTokens : maxTokens->to_number<std::uint64_t>();
            sequence->generated = std::min(offset, sequence->tokens);
            return sequence;
        }

        awaitable<void> streamTokens(Exchange& exchange, SequencePtr sequence, std::uint64_t index)
        {
            co_await exchange.beginStream("text/event-stream");
            std::uint64_t sent = 0;
            for (; index < sequence->tokens; ++index) {
                while (sequence->generated <= index && !sequence->cancelled)
                    co_await sequence->progress.wait();
                if (sequence->cancelled || shouldCutStream(sent)) {
                    exchange.drop();
                    co_return;
                }
                co_await exchange.writeChunk(tokenEvent(*sequence, index));
                ++sent;
            }
            co_await exchange.writeChunk("data: [DONE]\n\n");
            co_await exchange.endStream();
        }

        bool shouldCutStream(std::uint64_t sent)
        {
            if (m_streamsToCut == 0 || sent < m_cutAfterTokens)
                return false;
            --m_streamsToCut;
            return true;
        }

        awaitable<void> answerWhole(Exchange& exchange, SequencePtr sequence)
        {
            while (!sequence->finished())
                co_await sequence->progress.wait();
            if (sequence->cancelled)
                exchange.drop();
            else
                co_await exchange.answer(wholeAnswer(*sequence));
        }

        Answer order(const Exchange& exchange)
        {
            const auto body = exchange.jsonBody();
            if (!m_models.order(body.as_object()))
                return failure(409, "the fencing number is old");
            return json({ { "fence", m_models.fence() } });
        }

        Answer cancel(const std::string& id)
        {
            return m_model.cancel(id) ? json(boost::json::object()) : failure(404, "no such request in progress");
        }

        Answer kv(const Exchange& exchange)
        {
            const auto block = blockFromName(exchange.lastSegment());
            if (exchange.method() == "PUT") {
                m_model.cache().store(block);
                return json(boost::json::object());
            }
            if (!m_model.cache().holds(block))
                return failure(404, "no such block");
            return json({ { "block", blockName(block) }, { "tokens", m_model.options().blockTokens } });
        }

        void started(const Sequence& sequence)
        {
            if (!m_crashText.empty() && sequence.prompt.find(m_crashText) != std::string::npos)
                std::_Exit(1);
            ++m_runs[sequence.id];
        }

        boost::json::object report()
        {
            const auto& options = m_model.options();
            return { { "sequence", ++m_reports }, { "running", m_model.running() }, { "waiting", m_model.waiting() },
                { "queued_tokens", m_model.queuedTokens() },
                { "prefill_tokens_per_second", options.prefillTokensPerSecond },
                { "decode_tokens_per_second", options.decodeTokensPerSecond },
                { "leaving", m_leaving }, { "role", m_models.role() }, { "fence", m_models.fence() },
                { "models", m_models.models() } };
        }

        awaitable<void> recordReports()
        {
            constexpr int reportsPerLag = 4;
            constexpr std::chrono::milliseconds minPeriod { 5 };
            const auto period = std::max(m_options.reportLag / reportsPerLag, minPeriod);
            while (m_options.reportLag.count() != 0) {
                m_snapshots.push_back({ Clock::now(), report() });
                const auto visible = Clock::now() - m_options.reportLag;
                while (m_snapshots.size() > 1 && m_snapshots[1].at <= visible)
                    m_snapshots.pop_front();
                co_await sleepFor(period);
            }
        }

        /** Returns the newest report that is at least as old as the lag, else the oldest one; without a lag, a current report. */
        boost::json::object visibleReport()
        {
            return m_snapshots.empty() ? report() : m_snapshots.front().report;
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
                m_model.slowFactor = fields.at("factor").to_number<double>();
            else if (path == "/control/crash-on")
                m_crashText = std::string(fields.at("text").as_string());
            else if (path == "/control/cut-streams")
                cutStreams(fields);
            else
                return failure(404, "no such switch");
            return json(boost::json::object());
        }

        void cutStreams(const boost::json::object& fields)
        {
            m_streamsToCut = fields.at("count").to_number<std::uint64_t>();
            m_cutAfterTokens = fields.at("after_tokens").to_number<std::uint64_t>();
        }

        Answer runs() const
        {
            boost::json::object counts;
            for (const auto& [id, n] : m_runs)
                counts[id] = n;
            return json({ { "runs", counts }, { "orders", m_models.orders() } });
        }

        EngineModel m_model;
        ModelSet m_models;
        ServerOptions m_options;
        CacheEventLog m_events;
        HttpServer& m_server;
        std::deque<LoadSnapshot> m_snapshots;
        std::map<std::string, std::uint64_t> m_runs;
        std::uint64_t m_reports = 0;
        std::uint64_t m_generatedIds = 0;
        bool m_leaving = false;
        std::string m_crashText;
        std::uint64_t m_streamsToCut = 0;
        std::uint64_t m_cutAfterTokens = 0;
    };

    /** Command-line options of the engine stand-in. */
    class EngineFlags {
    public:
        EngineFlags(int argc, char** argv) { m_flags.parse(argc, argv); }

        EngineOptions model()
        {
            EngineOptions options;
            options.slots = m_slots.getValue();
            options.queue = m_queue.getValue();
            options.prefillTokensPerSecond = m_prefill.getValue();
            options.decodeTokensPerSecond = m_decode.getValue();
            options.blockTokens = m_blockTokens.getValue();
            options.cacheBlocks = m_cacheBlocks.getValue();
            return options;
        }

        OrderOptions orders()
        {
            return { m_fence.getValue() != "ignored", std::chrono::milliseconds(m_loadTime.getValue()), m_weightStore.getValue() };
        }

        ServerOptions server()
        {
            return { std::chrono::milliseconds(m_reportLag.getValue()), std::chrono::milliseconds(m_eventLag.getValue()), m_eventGap.getValue() };
        }

        std::vector<std::string> models() { return m_models.getValue(); }
        std::string address() { return m_flags.address(); }
        std::uint16_t port() { return m_flags.port(); }

    private:
        Flags m_flags { "Stand-in for a model engine" };

        TCLAP::CmdLine& line() { return m_flags.commandLine(); }

        TCLAP::MultiArg<std::string> m_models { "", "model", "model held from the start: name[:version[:adapter]]", false, "spec", line() };

        TCLAP::ValueArg<std::uint32_t> m_slots { "", "slots", "sequences decoded together", false, 8, "count", line() };
        TCLAP::ValueArg<std::uint32_t> m_queue { "", "queue", "sequences that may wait", false, 256, "count", line() };
        TCLAP::ValueArg<double> m_prefill { "", "prefill", "prompt tokens per second", false, 8000, "rate", line() };
        TCLAP::ValueArg<double> m_decode { "", "decode", "generated tokens per second of one sequence", false, 200, "rate", line() };
        TCLAP::ValueArg<std::size_t> m_blockTokens { "", "block-tokens", "tokens in a cache block", false, 16, "count", line() };
        TCLAP::ValueArg<std::size_t> m_cacheBlocks { "", "cache-blocks", "blocks that the prefix cache holds", false, 4096, "count", line() };
        TCLAP::ValueArg<unsigned> m_reportLag { "", "report-lag-ms", "age of load reports", false, 100, "ms", line() };
        TCLAP::ValueArg<unsigned> m_eventLag { "", "event-lag-ms", "delay of cache events", false, 50, "ms", line() };
        TCLAP::ValueArg<unsigned> m_eventGap { "", "event-gap-percent", "cache events that are lost", false, 0, "percent", line() };
        TCLAP::ValueArg<std::string> m_fence { "", "fence", "checked or ignored", false, "checked", "mode", line() };
        TCLAP::ValueArg<unsigned> m_loadTime { "", "load-ms", "time to load a model", false, 200, "ms", line() };
        TCLAP::ValueArg<std::string> m_weightStore { "", "weight-store", "address of the weight store", false, "", "ip:port", line() };
    };

} // namespace
} // namespace standins

int main(int argc, char** argv)
{
    standins::EngineFlags flags(argc, argv);
    standins::HttpServer server(flags.address(), flags.port());
    standins::Engine engine(flags.model(), flags.orders(), flags.server(), server);
    for (const auto& spec : flags.models())
        engine.models().addAtStart(spec);
    return server.run([&](standins::Exchange& exchange) { return engine.handle(exchange); });
}
