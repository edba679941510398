#include "yuccashift/node/config_loop.hpp"

#include "yuccashift/gateway/gateway_components.hpp"
#include "yuccashift/kernel/log.hpp"
#include "yuccashift/kernel/random.hpp"
#include "yuccashift/membership/coordinator.hpp"

#include <algorithm>

namespace yuccashift {

namespace asio = boost::asio;

namespace {

    // A step may be due immediately. The minimum wait lets other coroutines of the event loop run.
    constexpr milliseconds minWait { 10 };

} // namespace

ConfigLoop::ConfigLoop(LoopContext context, ConfigSource& source)
    : m_context(context)
    , m_source(source)
    , m_random(makeSystemRandom())
    , m_reader(context.components.self.instance, context.components.documents, *m_random, context.components.clock.now())
{
}

asio::awaitable<void> ConfigLoop::run()
{
    for (;;) {
        const auto view = m_context.coordinator.view();
        const bool watcher = isWatcher(m_context.components.self.instance, m_context.components.settings.region, view->liveInRegion);
        m_reader.setRole(watcher, view->members.size() + 1);
        co_await execute(m_reader.next(m_context.components.clock.now()));
    }
}

asio::awaitable<void> ConfigLoop::execute(SourceStep step)
{
    switch (step.action) {
    case SourceAction::Wait:
        co_await sleepFor(std::max<Duration>(step.wait, minWait));
        break;
    case SourceAction::List:
        handleListing(co_await m_source.list());
        break;
    case SourceAction::Watch:
        handleListing(co_await m_source.watch(step.index, step.wait));
        break;
    case SourceAction::Read:
        handleText(step.service, co_await m_source.read(step.service));
        break;
    }
}

void ConfigLoop::handleListing(const Result<ConfigListing>& listing)
{
    if (listing)
        m_reader.onListing(*listing, m_context.components.clock.now());
    else
        recordFailure(listing.error(), {});
    m_lastCallFailed = !listing;
}

void ConfigLoop::handleText(const ServiceName& service, Result<std::string> text)
{
    if (!text) {
        recordFailure(text.error(), service);
        m_lastCallFailed = true;
        return;
    }
    m_lastCallFailed = false;
    const auto now = m_context.components.clock.now();
    OutgoingFrames frames;
    const auto acceptance = m_context.coordinator.offer(std::move(*text), service, now, frames);
    m_context.send(frames);
    m_reader.onText(service, acceptance, now);
    if (acceptance)
        logInfo("document read", { { "service", acceptance->service }, { "revision", acceptance->revision }, { "changed", acceptance->changed() ? "yes" : "no" } });
    else
        logWarning("document rejected", { { "service", service }, { "reason", acceptance.error().detail } });
}

void ConfigLoop::recordFailure(const Error& error, const ServiceName& service)
{
    m_reader.onFailure(service, m_context.components.clock.now());
    if (!m_lastCallFailed)
        logWarning("configuration service cannot be read", { { "reason", error.detail } });
}

} // namespace yuccashift
