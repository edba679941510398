#include "standins/common/flags.hpp"
#include "standins/common/http_server.hpp"
#include "standins/common/signal.hpp"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <deque>

namespace standins {
namespace {

    /** List of live and leaving instances; readers see a change only after the lag. */
    class InstanceList {
    public:
        explicit InstanceList(std::chrono::milliseconds lag)
            : m_lag(lag)
        {
        }

        awaitable<void> handle(Exchange& exchange)
        {
            if (exchange.path() == "/v1/instances" && exchange.method() == "GET")
                co_await exchange.answer(json(visible()));
            else if (exchange.path() == "/control/instances" && exchange.method() == "PUT")
                co_await exchange.answer(replace(exchange.jsonBody()));
            else
                co_await exchange.answer(failure(404, "no such path"));
        }

    private:
        struct Pending {
            Clock::time_point visibleAt;
            boost::json::value list;
        };

        const boost::json::value& visible()
        {
            while (!m_pending.empty() && m_pending.front().visibleAt <= Clock::now()) {
                m_visible = std::move(m_pending.front().list);
                m_pending.pop_front();
            }
            return m_visible;
        }

        Answer replace(boost::json::value list)
        {
            if (!list.is_object())
                return failure(400, "an object was expected");
            auto& fields = list.as_object();
            if (!fields.contains("instances"))
                fields["instances"] = boost::json::array();
            if (!fields.contains("backends"))
                fields["backends"] = boost::json::array();
            m_pending.push_back({ Clock::now() + m_lag, std::move(list) });
            return json(boost::json::object());
        }

        std::chrono::milliseconds m_lag;
        std::deque<Pending> m_pending;
        boost::json::value m_visible = { { "instances", boost::json::array() }, { "backends", boost::json::array() } };
    };

} // namespace
} // namespace standins

int main(int argc, char** argv)
{
    standins::Flags flags("Stand-in for the list of live and leaving instances");
    TCLAP::ValueArg<unsigned> lag("", "lag-ms", "milliseconds until a change can be read", false, 0, "ms", flags.commandLine());
    flags.parse(argc, argv);
    standins::InstanceList list { std::chrono::milliseconds(lag.getValue()) };
    standins::HttpServer server(flags.address(), flags.port());
    return server.run([&](standins::Exchange& exchange) { return list.handle(exchange); });
}
