#include "standins/common/flags.hpp"
#include "standins/common/http_server.hpp"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>

namespace standins {
namespace {

    /** Directory that lists entry instances for callers. */
    class Directory {
    public:
        awaitable<void> handle(Exchange& exchange)
        {
            if (exchange.path() == "/v1/directory" && exchange.method() == "GET")
                co_await exchange.answer(json(m_entries));
            else if (exchange.path() == "/control/directory" && exchange.method() == "PUT")
                co_await exchange.answer(replace(exchange.jsonBody()));
            else
                co_await exchange.answer(failure(404, "no such path"));
        }

    private:
        Answer replace(boost::json::value entries)
        {
            if (!entries.is_object() || !entries.as_object().contains("entries"))
                return failure(400, "an object with entries was expected");
            m_entries = std::move(entries);
            return json(m_entries);
        }

        boost::json::value m_entries = boost::json::object { { "entries", boost::json::array() } };
    };

} // namespace
} // namespace standins

int main(int argc, char** argv)
{
    standins::Flags flags("Stand-in for the directory of callers");
    flags.parse(argc, argv);
    standins::Directory directory;
    standins::HttpServer server(flags.address(), flags.port());
    return server.run([&](standins::Exchange& exchange) { return directory.handle(exchange); });
}
