#include "yuccashift/node/loop_context.hpp"

#include "yuccashift/kernel/detail/await.hpp"
#include "yuccashift/peer/peer_hub.hpp"

#include <boost/asio/steady_timer.hpp>

namespace yuccashift {

void LoopContext::send(const OutgoingFrames& frames) const
{
    for (const auto& outgoing : frames)
        hub.send(outgoing.to, outgoing.frame);
}

boost::asio::awaitable<void> sleepFor(Duration duration)
{
    boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor);
    timer.expires_after(duration);
    co_await timer.async_wait(detail::awaitTuple);
}

} // namespace yuccashift
