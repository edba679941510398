#include "standins/common/flags.hpp"
#include "standins/common/http_server.hpp"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <deque>

namespace standins {
namespace {

    constexpr std::size_t maxSpans = 100000;

    /** Collects trace spans in OTLP/JSON. */
    class Collector {
    public:
        awaitable<void> handle(Exchange& exchange)
        {
            if (exchange.path() == "/v1/traces" && exchange.method() == "POST")
                co_await exchange.answer(recordSpans(exchange.jsonBody().as_object()));
            else if (exchange.path() == "/control/spans")
                co_await exchange.answer(spansOf(exchange.query("trace")));
            else
                co_await exchange.answer(failure(404, "no such path"));
        }

    private:
        Answer recordSpans(const boost::json::object& request)
        {
            for (const auto& resource : request.at("resourceSpans").as_array()) {
                for (const auto& scope : resource.at("scopeSpans").as_array()) {
                    for (const auto& span : scope.at("spans").as_array())
                        addSpan(span.as_object());
                }
            }
            return json({ { "partialSuccess", boost::json::object() } });
        }

        void addSpan(const boost::json::object& span)
        {
            m_spans.push_back(span);
            if (m_spans.size() > maxSpans)
                m_spans.pop_front();
        }

        /** Returns the spans of one trace, or all spans if the trace id is empty. */
        Answer spansOf(const std::string& trace) const
        {
            boost::json::array spans;
            for (const auto& span : m_spans) {
                if (trace.empty() || span.at("traceId").as_string() == trace)
                    spans.push_back(span);
            }
            return json({ { "spans", spans } });
        }

        std::deque<boost::json::object> m_spans;
    };

} // namespace
} // namespace standins

int main(int argc, char** argv)
{
    standins::Flags flags("Stand-in for a collector of spans");
    flags.parse(argc, argv);
    standins::Collector collector;
    standins::HttpServer server(flags.address(), flags.port());
    return server.run([&](standins::Exchange& exchange) { return collector.handle(exchange); });
}
