#include "yuccashift/kernel/one_shot_timer.hpp"

#include <boost/asio/post.hpp>
#include <gtest/gtest.h>

namespace yuccashift {
namespace {

    struct AOneShotTimer : testing::Test {
        boost::asio::io_context io;
        int calls = 0;

        /** Posts the action ahead of the handler of an expired timer, and runs both. */
        template <typename Action>
        void runBeforeTheQueuedHandler(Action action)
        {
            boost::asio::post(io, action);
            io.run();
        }
    };

    TEST_F(AOneShotTimer, CallsOnce)
    {
        OneShotTimer timer(io);
        timer.start(Duration::zero(), [&] { ++calls; });
        io.run();
        EXPECT_EQ(calls, 1);
    }

    // Guards against a callback after the destruction of its timer: a response and its timeout become ready in
    // the same iteration of the event loop, and the response destroys the timer while its handler is queued.
    TEST_F(AOneShotTimer, DoesNotCallAfterItsDestructionEvenIfItsHandlerIsQueued)
    {
        auto timer = std::make_unique<OneShotTimer>(io);
        timer->start(Duration::zero(), [&] { ++calls; });
        runBeforeTheQueuedHandler([&] { timer.reset(); });
        EXPECT_EQ(calls, 0);
    }

    TEST_F(AOneShotTimer, ReplacesThePendingCallbackWhenRestarted)
    {
        OneShotTimer timer(io);
        int callsAfterRestart = 0;
        timer.start(Duration::zero(), [&] { ++calls; });
        runBeforeTheQueuedHandler([&] { timer.start(milliseconds(1), [&] { ++callsAfterRestart; }); });
        EXPECT_EQ(calls, 0);
        EXPECT_EQ(callsAfterRestart, 1);
    }

    TEST_F(AOneShotTimer, DoesNotCallAfterCancellationEvenIfItsHandlerIsQueued)
    {
        OneShotTimer timer(io);
        timer.start(Duration::zero(), [&] { ++calls; });
        runBeforeTheQueuedHandler([&] { timer.cancel(); });
        EXPECT_EQ(calls, 0);
    }

} // namespace
} // namespace yuccashift
