#include "yuccashift/kernel/one_shot_timer.hpp"

#include <boost/asio/post.hpp>
#include <gtest/gtest.h>

namespace yuccashift {
namespace {

    struct AOneShotTimer : testing::Test {
        boost::asio::io_context io;
        int calls = 0;

        /** Lets the timer's handler be queued behind one that runs this. */
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

    // Pattern: the answer and its time limit come in the same turn of the loop.
    TEST_F(AOneShotTimer, NeverCallsAfterItsEndThoughItsHandlerIsQueued)
    {
        auto timer = std::make_unique<OneShotTimer>(io);
        timer->start(Duration::zero(), [&] { ++calls; });
        runBeforeTheQueuedHandler([&] { timer.reset(); });
        EXPECT_EQ(calls, 0);
    }

    TEST_F(AOneShotTimer, ForgetsWhatItWasStartedForBefore)
    {
        OneShotTimer timer(io);
        int later = 0;
        timer.start(Duration::zero(), [&] { ++calls; });
        runBeforeTheQueuedHandler([&] { timer.start(milliseconds(1), [&] { ++later; }); });
        EXPECT_EQ(calls, 0);
        EXPECT_EQ(later, 1);
    }

    TEST_F(AOneShotTimer, DoesNotCallOnceCancelled)
    {
        OneShotTimer timer(io);
        timer.start(Duration::zero(), [&] { ++calls; });
        runBeforeTheQueuedHandler([&] { timer.cancel(); });
        EXPECT_EQ(calls, 0);
    }

} // namespace
} // namespace yuccashift
