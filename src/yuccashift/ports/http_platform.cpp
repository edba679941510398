#include "yuccashift/ports/http_platform.hpp"

#include "yuccashift/http/backend_client.hpp"
#include "yuccashift/ports/json_bodies.hpp"

namespace yuccashift {

namespace asio = boost::asio;

namespace {

    /** Limits on the answers of the configuration service and the instance list, and on those of engines, in bytes. */
    constexpr std::size_t maxPlatformAnswerBytes = 8 << 20;
    constexpr std::size_t maxEngineAnswerBytes = 1 << 20;
    constexpr int httpOk = 200;
    constexpr int httpConflict = 409;

    /** Calls the platform or, with a smaller limit on the answer, an engine. Returns the body if the status is 200, BackendRefused for 409 and Internal for other statuses. */
    asio::awaitable<Result<std::string>> call(BackendClient& client, const Clock& clock, Endpoint endpoint, RequestMessage request, Duration timeout, std::size_t maxBytes = maxPlatformAnswerBytes)
    {
        BackendCall call { std::move(endpoint), std::move(request), clock.now() + timeout, timeout, timeout, false };
        auto answer = co_await sendAndCollect(client, std::move(call), maxBytes);
        if (!answer)
            co_return tl::unexpected(std::move(answer.error()));
        if (answer->head.status == httpConflict)
            co_return fail(ErrorKind::BackendRefused, "an old fencing number");
        if (answer->head.status != httpOk)
            co_return fail(ErrorKind::Internal, "status " + std::to_string(answer->head.status));
        co_return std::move(answer->body);
    }

    class HttpConfigSource final : public ConfigSource {
    public:
        HttpConfigSource(BackendClient& client, const Clock& clock, Endpoint endpoint)
            : m_client(client)
            , m_clock(clock)
            , m_endpoint(std::move(endpoint))
        {
        }

        asio::awaitable<Result<ConfigListing>> list() override
        {
            RequestMessage request { "GET", "/v1/documents", {}, {} };
            const auto body = co_await call(m_client, m_clock, m_endpoint, std::move(request), platformTimeout);
            co_return body.and_then([](const std::string& text) { return detail::parseConfigListing(text); });
        }

        asio::awaitable<Result<std::string>> read(ServiceName service) override
        {
            // A named variable, since GCC 12 destroys an aggregate created inside a co_await expression twice.
            RequestMessage request { "GET", "/v1/documents/" + service, {}, {} };
            co_return co_await call(m_client, m_clock, m_endpoint, std::move(request), platformTimeout);
        }

        asio::awaitable<Result<ConfigListing>> watch(std::uint64_t index, Duration wait) override
        {
            const auto target = "/v1/watch?index=" + std::to_string(index) + "&wait_ms=" + std::to_string(toMilliseconds(wait));
            RequestMessage request { "GET", target, {}, {} };
            const auto body = co_await call(m_client, m_clock, m_endpoint, std::move(request), wait + platformTimeout);
            co_return body.and_then([](const std::string& text) { return detail::parseConfigListing(text); });
        }

    private:
        BackendClient& m_client;
        const Clock& m_clock;
        Endpoint m_endpoint;
    };

    class HttpInstanceList final : public InstanceList {
    public:
        HttpInstanceList(BackendClient& client, const Clock& clock, Endpoint endpoint)
            : m_client(client)
            , m_clock(clock)
            , m_endpoint(std::move(endpoint))
        {
        }

        asio::awaitable<Result<InstanceListing>> read() override
        {
            RequestMessage request { "GET", "/v1/instances", {}, {} };
            const auto body = co_await call(m_client, m_clock, m_endpoint, std::move(request), platformTimeout);
            co_return body.and_then([](const std::string& text) { return detail::parseListing(text); });
        }

    private:
        BackendClient& m_client;
        const Clock& m_clock;
        Endpoint m_endpoint;
    };

    class HttpEngineControl final : public EngineControl {
    public:
        HttpEngineControl(BackendClient& client, const Clock& clock)
            : m_client(client)
            , m_clock(clock)
        {
        }

        asio::awaitable<Result<LoadReport>> load(Endpoint endpoint) override
        {
            RequestMessage request { "GET", "/v1/load", {}, {} };
            const auto body = co_await call(m_client, m_clock, std::move(endpoint), std::move(request), platformTimeout, maxEngineAnswerBytes);
            co_return body.and_then([](const std::string& text) { return detail::parseLoadReport(text); });
        }

        asio::awaitable<Result<std::vector<CacheEvent>>> cacheEvents(Endpoint endpoint, std::uint64_t after) override
        {
            RequestMessage request { "GET", "/v1/cache-events?after=" + std::to_string(after), {}, {} };
            const auto body = co_await call(m_client, m_clock, std::move(endpoint), std::move(request), platformTimeout, maxEngineAnswerBytes);
            co_return body.and_then([](const std::string& text) { return detail::parseCacheEvents(text); });
        }

        asio::awaitable<Result<void>> order(Endpoint endpoint, EngineOrder order) override
        {
            RequestMessage request { "POST", "/v1/orders", { { "Content-Type", "application/json" } }, detail::formatOrder(order) };
            const auto body = co_await call(m_client, m_clock, std::move(endpoint), std::move(request), platformTimeout, maxEngineAnswerBytes);
            if (!body)
                co_return tl::unexpected(body.error());
            co_return Result<void> {};
        }

    private:
        BackendClient& m_client;
        const Clock& m_clock;
    };

} // namespace

std::unique_ptr<ConfigSource> makeHttpConfigSource(BackendClient& client, const Clock& clock, Endpoint endpoint)
{
    return std::make_unique<HttpConfigSource>(client, clock, std::move(endpoint));
}

std::unique_ptr<InstanceList> makeHttpInstanceList(BackendClient& client, const Clock& clock, Endpoint endpoint)
{
    return std::make_unique<HttpInstanceList>(client, clock, std::move(endpoint));
}

std::unique_ptr<EngineControl> makeHttpEngineControl(BackendClient& client, const Clock& clock)
{
    return std::make_unique<HttpEngineControl>(client, clock);
}

} // namespace yuccashift
