#include "yuccashift/routing/latency_model.hpp"

#include <gtest/gtest.h>

namespace yuccashift {
namespace {

    const Instant now { seconds(100) };

    /** An idle server that generates 100 tokens per second and a request for 50 tokens. */
    class IdleServer : public testing::Test {
    protected:
        IdleServer()
        {
            m_state.slots = 8;
            m_state.reportedAt = now;
            m_state.prefillTokensPerSecond = 10000;
            m_state.decodeTokensPerSecond = 100;
            m_request.expectedOutputTokens = 50;
        }

        bool missesAfter(Duration remaining)
        {
            m_request.deadline = now + remaining;
            return missesDeadline(m_request, m_state, now);
        }

        BackendState m_state;
        RequestTraits m_request;
    };

    TEST_F(IdleServer, MissesADeadlineThatItsRateCannotMeet)
    {
        EXPECT_TRUE(missesAfter(milliseconds(20)));
        EXPECT_FALSE(missesAfter(seconds(2)));
    }

    TEST_F(IdleServer, MissesNoDeadlineBeforeItsFirstReport)
    {
        m_state.reportedAt.reset();
        EXPECT_FALSE(missesAfter(milliseconds(20)));
    }

    TEST_F(IdleServer, MissesTheSameDeadlineOnceOtherRequestsWait)
    {
        EXPECT_FALSE(missesAfter(seconds(2)));
        m_state.reportedRunning = 8;
        m_state.reportedWaiting = 64;
        m_state.reportedQueuedTokens = 64UL * 200;
        EXPECT_TRUE(missesAfter(seconds(2)));
    }

} // namespace
} // namespace yuccashift
