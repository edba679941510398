#pragma once

#include "tests/support/fakes/platform_model.hpp"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace yuccashift::fakes {

inline tl::unexpected<Error> downError()
{
    return fail(ErrorKind::BackendRefused, "the platform is down");
}

/** ConfigSource that reads a PlatformModel directly, without a network. */
class FakeConfigSource final : public ConfigSource {
public:
    explicit FakeConfigSource(PlatformModel& model)
        : m_model(model)
    {
    }

    boost::asio::awaitable<Result<ConfigListing>> list() override
    {
        if (m_model.isDown())
            co_return downError();
        co_return m_model.list();
    }

    boost::asio::awaitable<Result<std::string>> read(ServiceName service) override
    {
        if (m_model.isDown())
            co_return downError();
        const auto text = m_model.text(service);
        if (!text)
            co_return fail(ErrorKind::UnknownService, service);
        co_return *text;
    }

    boost::asio::awaitable<Result<ConfigListing>> watch(std::uint64_t index, Duration wait) override
    {
        boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor);
        const auto until = std::chrono::steady_clock::now() + wait;
        while (!m_model.isDown() && m_model.list().index <= index && std::chrono::steady_clock::now() < until) {
            timer.expires_after(milliseconds(1));
            co_await timer.async_wait(boost::asio::use_awaitable);
        }
        co_return co_await list();
    }

private:
    PlatformModel& m_model;
};

/** InstanceList that reads a PlatformModel directly, without a network. */
class FakeInstanceList final : public InstanceList {
public:
    explicit FakeInstanceList(PlatformModel& model)
        : m_model(model)
    {
    }

    boost::asio::awaitable<Result<InstanceListing>> read() override
    {
        if (m_model.isDown())
            co_return downError();
        co_return m_model.listing;
    }

private:
    PlatformModel& m_model;
};

/** EngineControl that uses a PlatformModel directly, without a network; all addresses refer to the same engine. */
class FakeEngineControl final : public EngineControl {
public:
    explicit FakeEngineControl(PlatformModel& model)
        : m_model(model)
    {
    }

    boost::asio::awaitable<Result<LoadReport>> load(Endpoint) override
    {
        if (m_model.isDown())
            co_return downError();
        co_return m_model.report;
    }

    boost::asio::awaitable<Result<std::vector<CacheEvent>>> cacheEvents(Endpoint, std::uint64_t after) override
    {
        if (m_model.isDown())
            co_return downError();
        co_return m_model.eventsAfter(after);
    }

    boost::asio::awaitable<Result<void>> order(Endpoint, EngineOrder order) override
    {
        if (m_model.isDown())
            co_return downError();
        if (!m_model.take(order))
            co_return fail(ErrorKind::BackendRefused, "an old fencing number");
        co_return Result<void> {};
    }

private:
    PlatformModel& m_model;
};

} // namespace yuccashift::fakes
