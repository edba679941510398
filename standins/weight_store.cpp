#include "standins/common/flags.hpp"
#include "standins/common/http_server.hpp"
#include "standins/common/signal.hpp"

#include <algorithm>
#include <boost/json/object.hpp>

namespace standins {
namespace {

    constexpr std::uint64_t weightBytes = 14'000'000'000;

    /** Weight store that rejects reads above its rate limit, with a token bucket. */
    class WeightStore {
    public:
        explicit WeightStore(double readsPerSecond)
            : m_rate(readsPerSecond)
            , m_tokens(std::max(1.0, readsPerSecond))
        {
        }

        awaitable<void> handle(Exchange& exchange)
        {
            if (exchange.path() == "/control/counts")
                co_await exchange.answer(counts());
            else if (exchange.path().starts_with("/v1/weights/"))
                co_await exchange.answer(read());
            else
                co_await exchange.answer(failure(404, "no such path"));
        }

    private:
        Answer read()
        {
            constexpr unsigned tooManyRequests = 429;
            refill();
            if (m_tokens < 1) {
                ++m_refused;
                return failure(tooManyRequests, "over the rate of the weight store");
            }
            m_tokens -= 1;
            ++m_reads;
            return json({ { "bytes", weightBytes } });
        }

        void refill()
        {
            const auto now = Clock::now();
            const std::chrono::duration<double> passed = now - m_refilledAt;
            m_refilledAt = now;
            m_tokens = std::min(std::max(1.0, m_rate), m_tokens + passed.count() * m_rate);
        }

        Answer counts() const { return json({ { "reads", m_reads }, { "refused", m_refused } }); }

        double m_rate;
        double m_tokens;
        Clock::time_point m_refilledAt = Clock::now();
        std::uint64_t m_reads = 0;
        std::uint64_t m_refused = 0;
    };

} // namespace
} // namespace standins

int main(int argc, char** argv)
{
    standins::Flags flags("Stand-in for the weight store");
    TCLAP::ValueArg<double> rate("", "rate", "reads per second", false, 2, "rate", flags.commandLine());
    flags.parse(argc, argv);
    standins::WeightStore store(rate.getValue());
    standins::HttpServer server(flags.address(), flags.port());
    return server.run([&](standins::Exchange& exchange) { return store.handle(exchange); });
}
