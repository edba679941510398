#include "yuccashift/gateway/hedged_attempt.hpp"

#include "yuccashift/gateway/attempt.hpp"
#include "yuccashift/gateway/gateway_components.hpp"
#include "yuccashift/kernel/cancellation.hpp"
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

    constexpr std::size_t maxAttempts = 2;

    /** Buffers an answer until it is known which attempt wins. */
    class BufferingSink final : public AnswerSink {
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
        bool headSent() const override { return m_started; }

        asio::awaitable<bool> sendTo(AnswerSink& sink)
        {
            auto head = std::move(m_head);
            co_return co_await sendComplete(sink, std::move(head), m_body);
        }

    private:
        AnswerHead m_head;
        std::string m_body;
        bool m_started = false;
    };

    /** One of the two attempts. */
    struct RacingAttempt {
        BufferingSink sink;
        asio::cancellation_signal cancel;
        std::optional<Result<void>> result;
    };

    /** Wakes the waiting coroutine: an attempt ended, or the hedge delay has passed. */
    using EventChannel = asio::experimental::concurrent_channel<void(error_code)>;

    /** State shared by both attempts, each of which may outlive runHedged(). */
    struct Race {
        Race(GatewayComponents& raceComponents, const RequestContext& raceContext, const asio::any_io_executor& executor)
            : components(raceComponents)
            , context(raceContext)
            , events(executor, maxAttempts + 1)
            , timer(executor)
        {
        }

        GatewayComponents& components;
        RequestContext context;
        std::array<RacingAttempt, maxAttempts> attempts;
        std::size_t started = 0;
        EventChannel events;
        asio::steady_timer timer;
    };

    asio::awaitable<void> runAttempt(std::shared_ptr<Race> race, std::size_t index, const BackendSpec* backend)
    {
        // A cancelled operation reports an error instead of throwing; the attempt turns it into Cancelled.
        co_await asio::this_coro::throw_if_cancelled(false);
        auto& entry = race->attempts[index];
        AnswerRelay relay(entry.sink, 0);
        Attempt attempt(race->components, race->context, *backend, relay, true);
        entry.result = co_await attempt.run();
        race->events.try_send(error_code());
    }

    void startAttempt(const std::shared_ptr<Race>& race, const asio::any_io_executor& executor, const BackendSpec* backend)
    {
        const auto index = race->started++;
        const auto slot = race->attempts[index].cancel.slot();
        asio::co_spawn(executor, runAttempt(race, index, backend), asio::bind_cancellation_slot(slot, asio::detached));
    }

    std::size_t countFailed(const Race& race)
    {
        std::size_t failed = 0;
        for (std::size_t n = 0; n < race.started; ++n)
            failed += race.attempts[n].result && !*race.attempts[n].result ? 1 : 0;
        return failed;
    }

    RacingAttempt* findWinner(Race& race)
    {
        for (auto& entry : race.attempts) {
            if (entry.result && *entry.result)
                return &entry;
        }
        return nullptr;
    }

    void cancelOthers(Race& race)
    {
        race.timer.cancel();
        for (std::size_t n = 0; n < race.started; ++n) {
            if (!race.attempts[n].result)
                race.attempts[n].cancel.emit(asio::cancellation_type::terminal);
        }
    }

} // namespace

asio::awaitable<Result<void>> runHedged(GatewayComponents& components, const RequestContext& context, const BackendSpec& first, ChooseHedgeBackend chooseHedgeBackend, Duration delay, AnswerSink& sink)
{
    const auto executor = co_await asio::this_coro::executor;
    const auto race = std::make_shared<Race>(components, context, executor);
    startAttempt(race, executor, &first);
    race->timer.expires_after(delay);
    race->timer.async_wait([race](error_code ec) {
        if (!ec)
            race->events.try_send(error_code());
    });
    for (;;) {
        co_await race->events.async_receive(detail::awaitTuple);
        const bool cancelled = co_await isCancelled();
        if (cancelled) {
            cancelOthers(*race);
            co_return fail(ErrorKind::Cancelled);
        }
        if (auto* winner = findWinner(*race)) {
            cancelOthers(*race);
            const bool delivered = co_await winner->sink.sendTo(sink);
            if (!delivered)
                co_return fail(ErrorKind::Cancelled);
            co_return Result<void> {};
        }
        if (countFailed(*race) == race->started) {
            cancelOthers(*race);
            co_return *race->attempts[race->started - 1].result;
        }
        // No attempt has won and not all have failed: the hedge delay has passed, or one of two has failed.
        const auto* second = race->started < maxAttempts ? chooseHedgeBackend() : nullptr;
        if (second != nullptr) {
            components.metrics.counter("yuccashift_hedges_total", { { "service", context.traits.service } }).add();
            startAttempt(race, executor, second);
        }
    }
}

} // namespace yuccashift
