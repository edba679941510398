#include "yuccashift/node/config_loop.hpp"

#include "yuccashift/gateway/parts.hpp"
#include "yuccashift/kernel/log.hpp"
#include "yuccashift/membership/coordinator.hpp"
#include "yuccashift/resilience/backoff.hpp"

namespace yuccashift {

namespace asio = boost::asio;

namespace {

    constexpr seconds watchWait { 20 };
    /** How often an instance that polls looks whether it has become a watcher. */
    constexpr milliseconds watcherCheck { 500 };

} // namespace

ConfigLoop::ConfigLoop(LoopContext context, ConfigSource& source)
    : m_context(context)
    , m_source(source)
    , m_pacer(context.parts.clock.now())
{
}

asio::awaitable<void> ConfigLoop::run()
{
    for (;;) {
        co_await readOnce();
        if (m_failures > 0)
            co_await sleepFor(backoff({}, m_failures, threadRandom()));
        else if (!isWatcherNow())
            co_await waitForPoll();
    }
}

bool ConfigLoop::isWatcherNow() const
{
    return isWatcher(m_context.parts.self.instance, m_context.parts.settings.region, m_context.coordinator.view()->liveInRegion);
}

asio::awaitable<void> ConfigLoop::waitForPoll()
{
    const auto until = m_context.parts.clock.now() + nextPollDelay({}, m_failures, threadRandom());
    while (m_context.parts.clock.now() < until && !isWatcherNow())
        co_await sleepFor(watcherCheck);
}

asio::awaitable<void> ConfigLoop::paced()
{
    m_pacer.setFleet(m_context.coordinator.view()->members.size() + 1);
    for (;;) {
        const auto wait = m_pacer.reserve(m_context.parts.clock.now());
        if (wait <= Duration::zero())
            co_return;
        co_await sleepFor(wait);
    }
}

asio::awaitable<Result<ConfigListing>> ConfigLoop::nextListing()
{
    co_await paced();
    if (m_listed && isWatcherNow())
        co_return co_await m_source.watch(m_index, watchWait);
    co_return co_await m_source.list();
}

asio::awaitable<void> ConfigLoop::readOnce()
{
    const auto listing = co_await nextListing();
    if (!listing) {
        if (m_failures++ == 0)
            logWarning("configuration service cannot be read", { { "reason", listing.error().detail } });
        co_return;
    }
    m_failures = 0;
    m_listed = true;
    m_index = listing->index;
    co_await takeListing(*listing);
}

asio::awaitable<void> ConfigLoop::takeListing(const ConfigListing& listing)
{
    const auto held = m_context.parts.documents.revisions();
    for (const auto& published : listing.documents) {
        const auto it = held.find(published.service);
        const bool isNews = it == held.end() || it->second.revision < published.revision;
        if (isNews && m_read[published.service] < published.revision)
            co_await takeDocument(published);
    }
}

asio::awaitable<void> ConfigLoop::takeDocument(const PublishedRevision& published)
{
    co_await paced();
    auto text = co_await m_source.read(published.service);
    if (!text) {
        ++m_failures;
        co_return;
    }
    m_read[published.service] = published.revision;
    OutgoingFrames frames;
    const auto acceptance = m_context.coordinator.offer(std::move(*text), published.service, m_context.parts.clock.now(), frames);
    m_context.send(frames);
    if (acceptance)
        logInfo("document read", { { "service", acceptance->service }, { "revision", acceptance->revision }, { "changed", acceptance->changed() ? "yes" : "no" } });
    else
        logWarning("document rejected", { { "service", published.service }, { "reason", acceptance.error().detail } });
}

} // namespace yuccashift
