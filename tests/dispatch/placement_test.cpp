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

    TEST_F(APlacement, StaysInItsRegionWhileItIsOnTimeThere)
    {
        input.localTimeToFirstByte = milliseconds(550);
        EXPECT_EQ(decide().action, Placement::Action::Local);
    }

    // Pattern: the peak of a small region, which cannot serve all of it.
    TEST_F(APlacement, LeavesASmallRegionAtItsPeakForOneWithRoom)
    {
        input.localTimeToFirstByte = milliseconds(900);
        const auto placement = decide();
        EXPECT_EQ(placement.action, Placement::Action::Remote);
        EXPECT_EQ(placement.predicted, milliseconds(206));
    }

    TEST_F(APlacement, PaysForPathColdPromptAndMargin)
    {
        input.localTimeToFirstByte = milliseconds(650);
        remotes[0].timeToFirstByte = milliseconds(450);
        EXPECT_NE(decide().action, Placement::Action::Remote);
    }

    TEST_F(APlacement, TakesTheBestOfSeveralRegions)
    {
        input.localTimeToFirstByte.reset();
        remotes.push_back({ milliseconds(10), milliseconds(30), milliseconds(116) });
        const auto placement = decide();
        EXPECT_EQ(placement.action, Placement::Action::Remote);
        EXPECT_EQ(placement.remoteIndex, 1u);
    }

    // Pattern: half of the servers are gone for ten seconds at the peak; a queue would make all late.
    TEST_F(APlacement, RefusesAtOnceWhatCannotBeginInTimeAnywhere)
    {
        input.localTimeToFirstByte = milliseconds(1500);
        remotes[0].timeToFirstByte = milliseconds(1500);
        EXPECT_EQ(decide().action, Placement::Action::Refuse);
        input.localTimeToFirstByte.reset();
        remotes.clear();
        EXPECT_EQ(decide().action, Placement::Action::Refuse);
    }

    TEST_F(APlacement, DoesNotRefuseARequestForItsOwnLength)
    {
        input.idleTimeToFirstByte = milliseconds(950);
        input.localTimeToFirstByte = milliseconds(1100);
        input.deadline = seconds(15);
        remotes.clear();
        EXPECT_EQ(decide().action, Placement::Action::Local);
    }

    TEST_F(APlacement, StillServesCallersThatCameBackLate)
    {
        input.objective = Duration::zero();
        input.localTimeToFirstByte = milliseconds(300);
        remotes.clear();
        EXPECT_EQ(decide().action, Placement::Action::Local);
    }

    TEST_F(APlacement, KeepsTimeForTheAnswerItself)
    {
        input.deadline = milliseconds(400);
        input.objective = milliseconds(250);
        input.localTimeToFirstByte = milliseconds(300);
        remotes.clear();
        EXPECT_EQ(decide().action, Placement::Action::Refuse);
    }

    // Pattern: three regions take turns at their peak, and each would read the same long prefixes.
    struct APlacementOfALongPrefix : APlacement {
        APlacementOfALongPrefix()
        {
            input.objective = milliseconds(1000);
            input.localTimeToFirstByte = milliseconds(250);
            input.prefixPrefillTime = milliseconds(90);
            remotes[0] = { milliseconds(60), milliseconds(100), milliseconds(116), true };
        }
    };

    TEST_F(APlacementOfALongPrefix, GoesWhereThePrefixIsHeldWhileItIsSoonEnoughThere)
    {
        const auto placement = decide();
        EXPECT_EQ(placement.action, Placement::Action::Remote);
        EXPECT_EQ(placement.predicted, milliseconds(276));
    }

    TEST_F(APlacementOfALongPrefix, StaysWhereItIsHeldHere)
    {
        input.prefixPrefillTime = {};
        EXPECT_EQ(decide().action, Placement::Action::Local);
    }

    TEST_F(APlacementOfALongPrefix, StaysForAShortPrefixThatDoesNotPayForThePath)
    {
        input.prefixPrefillTime = milliseconds(10);
        EXPECT_EQ(decide().action, Placement::Action::Local);
    }

    TEST_F(APlacementOfALongPrefix, StaysWhileTheHolderIsAtItsPeak)
    {
        remotes[0].timeToFirstByte = milliseconds(700);
        input.localTimeToFirstByte = milliseconds(700);
        EXPECT_EQ(decide().action, Placement::Action::Local);
    }

    TEST_F(APlacementOfALongPrefix, StaysWhereTheHolderLeavesLittleOfTheObjective)
    {
        remotes[0].timeToFirstByte = milliseconds(600);
        input.localTimeToFirstByte = milliseconds(900);
        EXPECT_EQ(decide().action, Placement::Action::Local);
        remotes[0].timeToFirstByte = milliseconds(580);
        EXPECT_EQ(decide().action, Placement::Action::Remote);
    }

} // namespace
} // namespace yuccashift
