#include "yuccashift/dispatch/placement.hpp"

#include <gtest/gtest.h>
#include <vector>

namespace yuccashift {
namespace {

    struct APlacement : testing::Test {
        std::vector<RemoteRegionEstimate> remotes { { milliseconds(60), milliseconds(30), milliseconds(116) } };
        PlacementInput input { milliseconds(100), {}, {}, milliseconds(80), milliseconds(600), milliseconds(3000) };

        Placement decide()
        {
            input.remotes = remotes;
            return place(input);
        }
    };

    TEST_F(APlacement, StaysInItsRegionWhileItMeetsTheObjectiveThere)
    {
        input.localTimeToFirstByte = milliseconds(550);
        EXPECT_EQ(decide().action, Placement::Action::Local);
    }

    // Guards against late answers when the peak load of a small region exceeds its capacity.
    TEST_F(APlacement, LeavesASmallRegionAtItsPeakForOneWithFreeCapacity)
    {
        input.localTimeToFirstByte = milliseconds(900);
        const auto placement = decide();
        EXPECT_EQ(placement.action, Placement::Action::Remote);
        EXPECT_EQ(placement.predicted, milliseconds(206));
    }

    TEST_F(APlacement, CountsRoundTripPrefillAndMarginAgainstAnotherRegion)
    {
        input.localTimeToFirstByte = milliseconds(650);
        remotes[0].timeToFirstByte = milliseconds(450);
        EXPECT_NE(decide().action, Placement::Action::Remote);
    }

    TEST_F(APlacement, ChoosesTheFastestOfSeveralRegions)
    {
        input.localTimeToFirstByte.reset();
        remotes.push_back({ milliseconds(10), milliseconds(30), milliseconds(116) });
        const auto placement = decide();
        EXPECT_EQ(placement.action, Placement::Action::Remote);
        EXPECT_EQ(placement.remoteIndex, 1u);
    }

    // Guards against a queue in which every request is late, as when half of the servers are gone for ten seconds at the peak.
    TEST_F(APlacement, RefusesAtOnceARequestThatNoRegionCanStartInTime)
    {
        input.localTimeToFirstByte = milliseconds(1500);
        remotes[0].timeToFirstByte = milliseconds(1500);
        EXPECT_EQ(decide().action, Placement::Action::Refuse);
        input.localTimeToFirstByte.reset();
        remotes.clear();
        EXPECT_EQ(decide().action, Placement::Action::Refuse);
    }

    // All instances of a region without links to its servers: its callers were refused while the full servers of the other
    // region went on taking that region's own callers.
    TEST_F(APlacement, OfAnInstanceWithoutServersQueuesInAnotherRegionLikeTheCallersThere)
    {
        input.localTimeToFirstByte.reset();
        remotes[0] = { milliseconds(670), milliseconds(0), milliseconds(116) };
        EXPECT_EQ(decide().action, Placement::Action::Refuse);
        input.reachesNoServer = true;
        EXPECT_EQ(decide().action, Placement::Action::Remote);
        remotes[0].timeToFirstByte = milliseconds(710);
        EXPECT_EQ(decide().action, Placement::Action::Refuse);
    }

    // Guards against a less urgent kind that fills engines which more urgent streams need, while another region is idle.
    TEST_F(APlacement, SendsWhatHasNoRoomHereToARegionThatTakesIt)
    {
        input.acceptedHere = false;
        EXPECT_EQ(decide().action, Placement::Action::Remote);
        remotes.clear();
        EXPECT_EQ(decide().action, Placement::Action::Refuse);
    }

    TEST_F(APlacement, DoesNotRefuseARequestForTheLengthOfItsOwnPrompt)
    {
        input.idleTimeToFirstByte = milliseconds(950);
        input.localTimeToFirstByte = milliseconds(1100);
        input.deadline = seconds(15);
        remotes.clear();
        EXPECT_EQ(decide().action, Placement::Action::Local);
    }

    TEST_F(APlacement, StillServesCallersThatComeBackAfterTheObjective)
    {
        input.objective = Duration::zero();
        input.localTimeToFirstByte = milliseconds(300);
        remotes.clear();
        EXPECT_EQ(decide().action, Placement::Action::Local);
    }

    TEST_F(APlacement, LeavesTimeForTheRestOfTheAnswer)
    {
        input.deadline = milliseconds(400);
        input.objective = milliseconds(250);
        input.localTimeToFirstByte = milliseconds(300);
        remotes.clear();
        EXPECT_EQ(decide().action, Placement::Action::Refuse);
    }

    // Guards against repeated prefill: three regions reach their peaks in turn, and each would prefill the same long prefixes.
    struct APlacementOfALongPrefix : APlacement {
        APlacementOfALongPrefix()
        {
            input.objective = milliseconds(1000);
            input.localTimeToFirstByte = milliseconds(250);
            input.prefixPrefillTime = milliseconds(90);
            remotes[0] = { milliseconds(60), milliseconds(100), milliseconds(116), true };
        }
    };

    TEST_F(APlacementOfALongPrefix, GoesToTheHomeRegionWhileItAnswersInTime)
    {
        const auto placement = decide();
        EXPECT_EQ(placement.action, Placement::Action::Remote);
        EXPECT_EQ(placement.predicted, milliseconds(276));
    }

    TEST_F(APlacementOfALongPrefix, StaysIfThePrefixIsCachedLocally)
    {
        input.prefixPrefillTime = {};
        EXPECT_EQ(decide().action, Placement::Action::Local);
    }

    TEST_F(APlacementOfALongPrefix, StaysForAPrefixThatIsCheaperToPrefillLocally)
    {
        input.prefixPrefillTime = milliseconds(10);
        EXPECT_EQ(decide().action, Placement::Action::Local);
    }

    TEST_F(APlacementOfALongPrefix, StaysWhileTheHomeRegionIsAtItsPeak)
    {
        remotes[0].timeToFirstByte = milliseconds(700);
        input.localTimeToFirstByte = milliseconds(700);
        EXPECT_EQ(decide().action, Placement::Action::Local);
    }

    TEST_F(APlacementOfALongPrefix, StaysIfTheHomeRegionExceedsItsShareOfTheObjective)
    {
        remotes[0].timeToFirstByte = milliseconds(600);
        input.localTimeToFirstByte = milliseconds(900);
        EXPECT_EQ(decide().action, Placement::Action::Local);
        remotes[0].timeToFirstByte = milliseconds(580);
        EXPECT_EQ(decide().action, Placement::Action::Remote);
    }

} // namespace
} // namespace yuccashift
