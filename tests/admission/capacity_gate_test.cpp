#include "yuccashift/admission/capacity_gate.hpp"

#include <gtest/gtest.h>

namespace yuccashift {
namespace {

    struct ACapacityGate : testing::Test {
        ACapacityGate()
        {
            request.allowedRegions = { "sofia" };
            BackendState state;
            state.region = "sofia";
            state.slots = 10;
            state.meanServiceTime = seconds(1);
            states = { state, state };
        }

        bool admits(Priority priority, std::uint32_t inFlight)
        {
            request.priority = priority;
            for (auto& state : states)
                state.ownInFlight = inFlight;
            return hasFreeCapacity(request, states, now);
        }

        Instant now { seconds(100) };
        RequestTraits request;
        std::vector<BackendState> states;
    };

    TEST_F(ACapacityGate, LetsHigherPrioritiesFillTheServersFurther)
    {
        EXPECT_TRUE(admits(Priority::Batch, 7));
        EXPECT_FALSE(admits(Priority::Batch, 8));
        EXPECT_TRUE(admits(Priority::Normal, 9));
        EXPECT_FALSE(admits(Priority::Normal, 10));
        EXPECT_TRUE(admits(Priority::Urgent, 19));
        EXPECT_FALSE(admits(Priority::Urgent, 20));
    }

    TEST_F(ACapacityGate, CountsOnlyEligibleServersAndTheirSlowStart)
    {
        states[1].leaving = true;
        EXPECT_FALSE(admits(Priority::Normal, 10));
        states[1].leaving = false;
        states[1].availableSince = now;
        EXPECT_FALSE(admits(Priority::Normal, 7));
    }

    TEST_F(ACapacityGate, ExpectsAdmissionsAtTheRateOfThisInstancesShareOfTheSlots)
    {
        EXPECT_EQ(admissionInterval(request, states, now), milliseconds(50));
        for (auto& state : states)
            state.senderCount = 4;
        EXPECT_EQ(admissionInterval(request, states, now), milliseconds(200));
    }

    TEST_F(ACapacityGate, ReselectsTheRegionAfterHalfOfTheRemainingTime)
    {
        WaitingRequest waiting;
        waiting.deadline = now + seconds(9);
        waiting.expectedServiceTime = seconds(1);
        EXPECT_EQ(regionReselectionTime(waiting, now), now + seconds(4));
        EXPECT_EQ(regionReselectionTime(waiting, now + seconds(20)), now + seconds(20));
    }

} // namespace
} // namespace yuccashift
