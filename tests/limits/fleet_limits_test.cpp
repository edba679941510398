#include "fleet_types.h"
#include "tests/support/limits_fleet.hpp"
#include "yuccashift/fleet/datagram.hpp"
#include "yuccashift/limits/usage_rate_codec.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <set>

namespace yuccashift {
namespace {

    struct Load {
        std::size_t instances;
        double perSecond;
        int clump;
    };

    std::ostream& operator<<(std::ostream& out, const Load& load)
    {
        return out << load.instances << " instances, " << load.perSecond << " tokens/s";
    }

    constexpr double usualPart = 0.55;
    constexpr double maxLost = 0.05;

    std::vector<double> spread(double total)
    {
        return { total * 0.4, total * 0.35, total * 0.25 };
    }

    /** All sizes of fleets and organisations; where few large requests use up the limit, they come one by one. */
    struct AFleetsLimit : testing::TestWithParam<Load> {
        AFleetsLimit()
        {
            fleet.clump = GetParam().clump;
            fleet.setDemand(spread(usual));
            fleet.run(seconds(8));
        }
        double limit = GetParam().perSecond;
        double usual = usualPart * limit;
        LimitsFleet fleet { GetParam().instances, { limit, limit }, 20261204 };
    };

    TEST_P(AFleetsLimit, ServesSteadyDemandBelowIt)
    {
        EXPECT_LT(fleet.run(seconds(20)).lostPart(), maxLost);
        EXPECT_LE(fleet.worstWindow(), 1);
    }

    // The working day moves from region to region, and half of the callers of a place to another one.
    TEST_P(AFleetsLimit, FollowsCallersThatMove)
    {
        LimitsOutcome all;
        for (int n = 0; n < 4; ++n) {
            fleet.setDemand(n % 2 == 0 ? std::vector { 0.1 * usual, 0.1 * usual, 0.8 * usual } : spread(usual));
            if (n % 2 != 0)
                fleet.moveCallers(0.25);
            const auto outcome = fleet.run(seconds(4));
            all.admitted += outcome.admitted;
            all.served += outcome.served;
        }
        EXPECT_LT(all.lostPart(), maxLost);
        EXPECT_LE(fleet.worstWindow(), 1);
    }

    // One organisation sends 7.5 times its usual everywhere at once; all instances know of it only by reports.
    TEST_P(AFleetsLimit, HoldsASuddenMultipleOfTheDemand)
    {
        fleet.setDemand(spread(7.5 * usual));
        const auto outcome = fleet.run(seconds(11));
        EXPECT_LE(fleet.worstWindow(), 1);
        EXPECT_GT(outcome.admitted, 0.85 * outcome.served);
    }

    TEST_P(AFleetsLimit, ServesUsualDemandOnAllSidesOfASplit)
    {
        fleet.setGroups({ 0, 1, 2 });
        EXPECT_LT(fleet.run(seconds(6)).lostPart(), maxLost);
        fleet.setGroups({ 0, 0, 0 });
        fleet.run(seconds(3));
        EXPECT_LE(fleet.worstWindow(), 1);
    }

    // The demand jumps on both sides while neither hears the other.
    TEST_P(AFleetsLimit, HoldsWhereARegionIsCutOffWhileTheDemandJumps)
    {
        fleet.setGroups({ 0, 0, 1 });
        fleet.run(seconds(2));
        fleet.setDemand(spread(4.5 * usual));
        fleet.run(seconds(4));
        fleet.setGroups({ 0, 0, 0 });
        fleet.run(seconds(4));
        EXPECT_LE(fleet.worstWindow(), 1);
    }

    // What the dead used is kept for them for some seconds, and their callers are served by the others.
    TEST_P(AFleetsLimit, ServesTheCallersOfInstancesThatDied)
    {
        fleet.stop(0.2);
        fleet.run(seconds(2));
        EXPECT_LT(fleet.run(seconds(10)).lostPart(), maxLost);
        EXPECT_LE(fleet.worstWindow(), 1);
    }

    TEST_P(AFleetsLimit, GrantsNoSecondBurstWhenAllInstancesAreKilledAtOnce)
    {
        fleet.setDemand(spread(4 * usual));
        fleet.run(seconds(2));
        fleet.restart(1, milliseconds(200));
        fleet.run(seconds(8));
        EXPECT_LE(fleet.worstWindow(), 1);
    }

    // An operator lowers the limit far below what the organisation sends.
    TEST_P(AFleetsLimit, BindsSoonAfterItWasLowered)
    {
        fleet.setLimit({ limit / 4, limit / 4 });
        fleet.run(seconds(5));
        fleet.restartWindows();
        const auto outcome = fleet.run(seconds(12));
        EXPECT_LE(fleet.worstWindow(), 1);
        EXPECT_GT(outcome.admitted, 0.75 * outcome.served);
    }

    INSTANTIATE_TEST_SUITE_P(Of, AFleetsLimit, testing::Values(Load { 8, 360'000, 3 }, Load { 8, 2'300'000, 3 }, Load { 77, 72'000, 1 }, Load { 77, 360'000, 3 }, Load { 77, 2'300'000, 3 }, Load { 370, 360'000, 1 }, Load { 370, 2'300'000, 3 }));

    // Any order of loads and faults, as far as the demand stays as callers' usually is, or the fleet in touch.
    RC_GTEST_PROP(FleetLimits, KeepEveryWindowWithinTheBound, ())
    {
        const double limit = *rc::gen::element(100'000.0, 360'000.0, 2'300'000.0);
        LimitsFleet fleet(8, { limit, limit }, *rc::gen::arbitrary<std::uint64_t>());
        const auto steps = *rc::gen::container<std::vector<int>>(5, rc::gen::inRange(0, 6));
        for (const auto step : steps) {
            fleet.setGroups(step == 0 ? std::array { 0, 1, 1 } : std::array { 0, 0, 0 });
            fleet.setDemand(spread(limit * usualPart * (step == 1 ? 7.5 : step == 2 ? 1.8
                                                                                    : 1)));
            if (step == 3)
                fleet.moveCallers(0.5);
            if (step == 4)
                fleet.restart(0.5, milliseconds(300));
            fleet.run(seconds(step == 0 ? 6 : 4));
            RC_ASSERT(fleet.worstWindow() <= 1);
        }
    }

    struct AnInstancesLimit : testing::Test {
        LimitDecision admit(double cost, FleetLimit asked) { return limits.admit(museum, asked, cost, 0, now); }
        const OrganisationKey museum = organisationKey("museum");
        const FleetLimit limit { 1000, 1000 };
        FleetLimits limits { Instant { seconds(1) } };
        Instant now { seconds(100) };
    };

    TEST_F(AnInstancesLimit, AdmitsAllWithoutALimitAndKeepsNothingOfIt)
    {
        EXPECT_TRUE(admit(1e9, {}).admitted());
        EXPECT_EQ(limits.organisations(), 0U);
    }

    // A request larger than a second of the limit is served now and then, and is paid for afterwards.
    TEST_F(AnInstancesLimit, AdmitsALargeRequestWhileTheBalanceIsPositive)
    {
        EXPECT_TRUE(admit(20'000, limit).admitted());
        int refused = 0;
        for (; !admit(20'000, limit).admitted(); ++refused)
            now += seconds(1);
        EXPECT_NEAR(refused, 18, 2);
    }

    // Callers that are refused together are told different times, at which each has room.
    TEST_F(AnInstancesLimit, TellsRefusedCallersTimesOneAfterAnother)
    {
        while (admit(500, limit).admitted()) { }
        const auto first = admit(500, limit).retryAfter;
        const auto second = admit(500, limit).retryAfter;
        EXPECT_GT(first, Duration::zero());
        EXPECT_NEAR(std::chrono::duration<double>(second - first).count(), 0.5, 0.01);
        now += second;
        EXPECT_TRUE(admit(500, limit).admitted());
    }

    TEST_F(AnInstancesLimit, GivesBackWhatNeverRan)
    {
        for (int n = 0; n < 100; ++n) {
            ASSERT_TRUE(admit(500, limit).admitted());
            limits.giveBack(museum, 500, now);
        }
        EXPECT_EQ(limits.takeReport(8, now).front().admitted, 0);
    }

    TEST_F(AnInstancesLimit, BindsAtOnceWhenItIsLoweredAndWhenItIsRaised)
    {
        EXPECT_TRUE(admit(100, { 1e6, 1e6 }).admitted());
        EXPECT_LE(admit(1, limit).balance, 1000);
        while (admit(500, limit).admitted()) { }
        now += milliseconds(100);
        EXPECT_TRUE(admit(500, { 1e6, 1e6 }).admitted());
    }

    // A heartbeat has room for few of thousands of organisations; each is told of in time.
    TEST_F(AnInstancesLimit, ReportsEachOfManyOrganisationsInTurn)
    {
        constexpr OrganisationKey count = 1000;
        std::set<OrganisationKey> reported;
        for (int round = 0; round < 90; ++round) {
            for (OrganisationKey n = 0; n < count; ++n)
                limits.admit(n, limit, 10, 0, now);
            now += seconds(1);
            const auto report = limits.takeReport(maxReportedUsage, now);
            ASSERT_LE(report.size(), maxReportedUsage);
            for (const auto& it : report)
                reported.insert(it.organisation);
        }
        EXPECT_EQ(reported.size(), count);
    }

    // One request that states more tokens than the limit gives in a day, then usual ones.
    TEST_F(AnInstancesLimit, AdmitsAgainSomeTimeAfterAnEnormousRequest)
    {
        ASSERT_TRUE(admit(500, limit).admitted());
        admit(8e6, limit);
        const auto refused = admit(500, limit);
        EXPECT_FALSE(refused.admitted());
        EXPECT_LE(refused.retryAfter, seconds(30));
        bool admitted = false;
        for (int n = 0; n < 24 * 3600 && !admitted; ++n) {
            now += seconds(1);
            limits.takeReport(8, now);
            admitted = admit(500, limit).admitted();
        }
        EXPECT_TRUE(admitted);
    }

    // Callers that move to another instance: the others must not go on dividing by a demand that has ended.
    TEST_F(AnInstancesLimit, ReportsTheEndOfADemandUntilItsMeanHasFaded)
    {
        limits.takeReport(8, now);
        admit(500, limit);
        now += milliseconds(100);
        ASSERT_EQ(limits.takeReport(8, now).size(), 1U);
        std::size_t zeros = 0;
        for (int round = 0; round < 200; ++round) {
            now += milliseconds(100);
            for (const auto& it : limits.takeReport(8, now))
                zeros += it.demanded == 0 ? 1 : 0;
        }
        EXPECT_GT(zeros, 20U);
        EXPECT_LT(zeros, 200U);
    }

    // State of organisations and instances that are gone does not stay.
    TEST_F(AnInstancesLimit, ForgetsWhatIsIdleAndWhoIsSilent)
    {
        admit(100, limit);
        limits.onInstanceReport("a", 1, std::array { UsageRate { museum, 500, 500 } }, now);
        EXPECT_EQ(limits.heldRates(), 1U);
        now += seconds(13);
        EXPECT_EQ(limits.silentParties(now), 1U);
        limits.expire(now);
        EXPECT_EQ(limits.heldRates(), 0U);
        now += seconds(61);
        limits.expire(now);
        EXPECT_EQ(limits.organisations(), 0U);
    }

    // After a restart of all, each instance of a region was charged with the sums of the whole region.
    TEST_F(AnInstancesLimit, TakesNoSumsOfItsOwnRegionForAnInstancesOwnUse)
    {
        fleetwire::Heartbeat sums;
        addUsageRates(sums, std::array { UsageRate { museum, 900, 900 } }, 23);
        takeUsageReport(limits, sums, { "a", 1, "here", true }, now);
        EXPECT_EQ(limits.heldRates(), 0U);
        takeUsageReport(limits, sums, { "b", 1, "there", false }, now);
        EXPECT_EQ(limits.heldRates(), 1U);
        fleetwire::Heartbeat own;
        addUsageRates(own, std::array { UsageRate { museum, 40, 40 } }, 0);
        takeUsageReport(limits, own, { "a", 1, "here", true }, now);
        EXPECT_EQ(limits.heldRates(), 2U);
        EXPECT_NEAR(admit(1, limit).othersUse, 940, 1);
    }

    // 24 organisations fit into a small part of a heartbeat, for the smallest link among 370 instances.
    TEST(UsageRatesInAHeartbeat, ComeBackAndTakeFewBytes)
    {
        std::vector<UsageRate> rates;
        for (std::size_t n = 0; n < maxReportedUsage; ++n)
            rates.push_back({ organisationKey(std::to_string(n)), 2'000'000.0 + static_cast<double>(n), 1'000'000 });
        fleetwire::Datagram datagram;
        datagram.__set_heartbeat({});
        const auto bytesWithout = encodeDatagram(datagram).size();
        addUsageRates(datagram.heartbeat, rates, 26);
        const auto bytes = encodeDatagram(datagram);
        EXPECT_LE(bytes.size() - bytesWithout, 16 * maxReportedUsage);
        const auto decoded = decodeDatagram(bytes);
        ASSERT_TRUE(decoded);
        const auto back = usageRatesOf(decoded->heartbeat);
        ASSERT_EQ(back.size(), rates.size());
        EXPECT_EQ(back[5].organisation, rates[5].organisation);
        EXPECT_EQ(back[5].demanded, rates[5].demanded);
    }

} // namespace
} // namespace yuccashift
