#include "yuccashift/gateway/hedged_attempt.hpp"

#include "yuccashift/gateway/attempt.hpp"
#include "yuccashift/gateway/parts.hpp"
#include "yuccashift/kernel/detail/await.hpp"

#include <array>
#include <boost/asio/bind_cancellation_slot.hpp>
#include <boost/asio/cancellation_signal.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/experimental/concurrent_channel.hpp>
#include <boost/asio/steady_timer.hpp>

namespace yuccashift {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

    constexpr std::size_t mostSendings = 2;

    /** Keeps an answer until it is known to be the one that counts. */
    class CollectingSink final : public AnswerSink {
    public:
        asio::awaitable<bool> head(AnswerHead head) override
        {
            m_started = true;
            m_head = std::move(head);
            co_return true;
        }

        asio::awaitable<bool> chunk(std::string_view data) override
        {
            m_body += data;
            co_return true;
        }

        asio::awaitable<bool> end() override { co_return true; }
        asio::awaitable<void> fail(const Error&, const HeaderFields&) override { co_return; }
        bool started() const override { return m_started; }

        asio::awaitable<bool> sendTo(AnswerSink& sink)
        {
            auto head = std::move(m_head);
            co_return co_await sendWhole(sink, std::move(head), m_body);
        }

    private:
        AnswerHead m_head;
        std::string m_body;
        bool m_started = false;
    };

    /** One of the two sendings. */
    struct Sending {
        CollectingSink sink;
        asio::cancellation_signal cancel;
        std::optional<Result<void>> result;
    };

    /** What the waiting coroutine is told: that a sending ended, or that it is time for the second. */
    using EventChannel = asio::experimental::concurrent_channel<void(error_code)>;

    /** Shared by both sendings, either of which may outlive the wait for the other. */
    struct Race {
        Race(Parts& raceParts, const RequestContext& raceContext, const asio::any_io_executor& executor)
            : parts(raceParts)
            , context(raceContext)
            , events(executor, mostSendings + 1)
            , timer(executor)
        {
        }

        Parts& parts;
        RequestContext context;
        std::array<Sending, mostSendings> sendings;
        std::size_t started = 0;
        EventChannel events;
        asio::steady_timer timer;
    };

    asio::awaitable<void> send(std::shared_ptr<Race> race, std::size_t index, const BackendSpec* backend)
    {
        // A cancelled operation reports an error; the attempt turns it into Cancelled.
        co_await asio::this_coro::throw_if_cancelled(false);
        auto& sending = race->sendings[index];
        AnswerRelay relay(sending.sink, 0);
        Attempt attempt(race->parts, race->context, *backend, relay, true);
        sending.result = co_await attempt.run();
        race->events.try_send(error_code());
    }

    void start(const std::shared_ptr<Race>& race, const asio::any_io_executor& executor, const BackendSpec* backend)
    {
        const auto index = race->started++;
        const auto slot = race->sendings[index].cancel.slot();
        asio::co_spawn(executor, send(race, index, backend), asio::bind_cancellation_slot(slot, asio::detached));
    }

    std::size_t countFailed(const Race& race)
    {
        std::size_t failed = 0;
        for (std::size_t n = 0; n < race.started; ++n)
            failed += race.sendings[n].result && !*race.sendings[n].result ? 1 : 0;
        return failed;
    }

    Sending* findWinner(Race& race)
    {
        for (auto& sending : race.sendings) {
            if (sending.result && *sending.result)
                return &sending;
        }
        return nullptr;
    }

    void cancelRest(Race& race)
    {
        race.timer.cancel();
        for (std::size_t n = 0; n < race.started; ++n) {
            if (!race.sendings[n].result)
                race.sendings[n].cancel.emit(asio::cancellation_type::terminal);
        }
    }

} // namespace

asio::awaitable<Result<void>> runHedged(Parts& parts, const RequestContext& context, const BackendSpec& first, ChooseSecond chooseSecond, Duration delay, AnswerSink& sink)
{
    const auto executor = co_await asio::this_coro::executor;
    const auto race = std::make_shared<Race>(parts, context, executor);
    start(race, executor, &first);
    race->timer.expires_after(delay);
    race->timer.async_wait([race](error_code ec) {
        if (!ec)
            race->events.try_send(error_code());
    });
    for (;;) {
        co_await race->events.async_receive(detail::awaitTuple);
        if (auto* winner = findWinner(*race)) {
            cancelRest(*race);
            const bool taken = co_await winner->sink.sendTo(sink);
            if (!taken)
                co_return fail(ErrorKind::Cancelled);
            co_return Result<void> {};
        }
        if (countFailed(*race) == race->started) {
            cancelRest(*race);
            co_return *race->sendings[race->started - 1].result;
        }
        // Neither won nor lost: the delay has passed.
        const auto* second = race->started < mostSendings ? chooseSecond() : nullptr;
        if (second != nullptr) {
            parts.metrics.counter("yuccashift_hedges_total", { { "service", context.traits.service } }).add();
            start(race, executor, second);
        }
    }
}

} // namespace yuccashift
