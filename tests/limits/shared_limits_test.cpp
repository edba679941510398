#include "yuccashift/limits/shared_limits.hpp"

#include <gtest/gtest.h>
#include <memory>

namespace yuccashift {
namespace {

    /** Instances that exchange demands every second; during a partition only within their side of it. */
    struct SharedLimitsOfAFleet : testing::Test {
        static constexpr std::size_t count = 8;
        static constexpr double limit = 400;

        SharedLimitsOfAFleet()
        {
            organisation.name = "museum";
            organisation.limits.requestsPerSecond = limit;
            for (std::size_t n = 0; n < count; ++n)
                names.push_back("entry-" + std::to_string(n));
            for (const auto& name : names)
                restart(name);
        }

        void restart(const InstanceId& name)
        {
            fleet[name] = std::make_unique<SharedLimits>(name);
            fleet[name]->setInstances(names);
        }

        void exchange()
        {
            for (const auto& from : names) {
                const auto demands = fleet[from]->largestDemands(100, now);
                for (const auto& to : names) {
                    if (from != to && side(from) == side(to))
                        fleet[to]->onPeerDemand(from, demands, now);
                }
            }
        }

        int side(const InstanceId& name) const { return partitioned && name >= names[count / 2] ? 1 : 0; }

        /** Offers each instance its rate of requests for this many seconds; returns the rate admitted by all instances together. */
        double admittedRate(const std::vector<double>& offeredRates, int seconds)
        {
            constexpr int steps = 1000;
            double admitted = 0;
            std::vector<double> pendingRequests(count);
            for (int step = 0; step < seconds * steps; ++step) {
                if (step % steps == 0)
                    exchange();
                for (std::size_t n = 0; n < count; ++n) {
                    for (pendingRequests[n] += offeredRates[n] / steps; pendingRequests[n] >= 1; pendingRequests[n] -= 1)
                        admitted += fleet[names[n]]->admit("pass", organisation, now) ? 1 : 0;
                }
                now += milliseconds(1);
            }
            return admitted / seconds;
        }

        Instant now { seconds(100) };
        OrganisationSpec organisation;
        std::vector<InstanceId> names;
        std::map<InstanceId, std::unique_ptr<SharedLimits>> fleet;
        bool partitioned = false;
    };

    TEST_F(SharedLimitsOfAFleet, FollowDemandToTheInstancesWhereItArrives)
    {
        const std::vector<double> evenDemand(count, 100);
        admittedRate(evenDemand, 10);
        EXPECT_NEAR(admittedRate(evenDemand, 10), limit, limit * 0.1);
        std::vector<double> demandAtOneInstance(count, 0);
        demandAtOneInstance[0] = 800;
        admittedRate(demandAtOneInstance, 10);
        EXPECT_GT(admittedRate(demandAtOneInstance, 10), limit * 0.85);
    }

    TEST_F(SharedLimitsOfAFleet, AdmitAlmostAllRequestsBelowTheLimit)
    {
        const std::vector<double> evenDemand(count, 30);
        admittedRate(evenDemand, 5);
        EXPECT_GT(admittedRate(evenDemand, 10), 8 * 30 * 0.95);
    }

    TEST_F(SharedLimitsOfAFleet, KeepTheSumWithinTheLimitDuringAPartition)
    {
        std::vector<double> unevenDemand { 300, 200, 100, 50, 300, 0, 10, 400 };
        admittedRate(unevenDemand, 10);
        partitioned = true;
        const double admitted = admittedRate(unevenDemand, 20);
        EXPECT_LE(admitted, limit * 1.1);
        EXPECT_GE(admitted, limit * 0.8);
    }

    /** Many organisations with demand, and heartbeats that carry only one demand each. */
    struct SharedLimitsWithSmallHeartbeats : SharedLimitsOfAFleet {
        static constexpr std::size_t organisations = 12;

        OrganisationSpec spec(std::size_t n) const
        {
            OrganisationSpec spec = organisation;
            spec.name = "organisation-" + std::to_string(n);
            return spec;
        }

        /** Offers every instance this many requests of each organisation in one second; returns the admitted requests of each organisation. */
        std::vector<double> offerForOneSecond(int requestsPerOrganisation)
        {
            std::vector<double> admitted(organisations);
            for (int n = 0; n < requestsPerOrganisation; ++n) {
                now += milliseconds(1000) / requestsPerOrganisation;
                for (const auto& name : names) {
                    for (std::size_t k = 0; k < organisations; ++k)
                        admitted[k] += fleet[name]->admit("pass", spec(k), now) ? 1 : 0;
                }
            }
            for (const auto& from : names) {
                const auto demands = fleet[from]->takeDemands(1, now);
                for (const auto& to : names) {
                    if (from != to)
                        fleet[to]->onPeerDemand(from, demands, now);
                }
            }
            return admitted;
        }
    };

    TEST_F(SharedLimitsWithSmallHeartbeats, KeepEveryOrganisationWithinItsLimitOnceAllDemandsWereSent)
    {
        constexpr int requestsPerOrganisation = 100;
        for (std::size_t n = 0; n < 3 * organisations; ++n)
            offerForOneSecond(requestsPerOrganisation);
        for (const double admitted : offerForOneSecond(requestsPerOrganisation)) {
            EXPECT_LE(admitted, limit * 1.1);
            EXPECT_GE(admitted, limit * 0.7);
        }
    }

    TEST_F(SharedLimitsWithSmallHeartbeats, SendTheLargestChangesFirstAndEndedDemandsAsZero)
    {
        offerForOneSecond(100);
        auto& limits = *fleet[names[0]];
        for (std::size_t n = 0; n < organisations; ++n)
            limits.takeDemands(1, now);
        now += seconds(20);
        const auto endedDemands = limits.takeDemands(100, now);
        EXPECT_EQ(endedDemands.size(), organisations);
        for (const auto& demand : endedDemands)
            EXPECT_EQ(demand.requestsPerSecond, 0);
        EXPECT_TRUE(limits.takeDemands(100, now).empty());
        ASSERT_TRUE(limits.admit("pass", spec(3), now));
        ASSERT_EQ(limits.takeDemands(1, now).size(), 1u);
    }

    TEST_F(SharedLimitsOfAFleet, KeepTheSumNearTheLimitWhenDemandShiftsDuringAPartition)
    {
        const std::vector<double> evenDemand(count, 100);
        admittedRate(evenDemand, 10);
        partitioned = true;
        admittedRate(evenDemand, 6);
        const std::vector<double> shiftedDemand { 400, 400, 400, 400, 30, 30, 30, 30 };
        EXPECT_LE(admittedRate(shiftedDemand, 20), limit * 1.1);
    }

    TEST_F(SharedLimitsOfAFleet, ExceedTheLimitByABoundedAmountWhenInstancesAreReplaced)
    {
        const std::vector<double> evenDemand(count, 100);
        admittedRate(evenDemand, 10);
        double admitted = 0;
        for (const auto& name : names) {
            restart(name);
            admitted += admittedRate(evenDemand, 2);
        }
        EXPECT_LE(admitted / static_cast<double>(count), limit * 1.5);
    }

    TEST_F(SharedLimitsOfAFleet, RejectRequestsWithARetryDelay)
    {
        std::vector<double> demandAtOneInstance(count, 0);
        demandAtOneInstance[0] = 2000;
        admittedRate(demandAtOneInstance, 3);
        Result<void> admitted;
        for (int n = 0; n < 1000 && admitted; ++n)
            admitted = fleet[names[0]]->admit("pass", organisation, now);
        ASSERT_FALSE(admitted);
        EXPECT_EQ(admitted.error().kind, ErrorKind::LimitExceeded);
        EXPECT_GT(admitted.error().retryAfter.value(), Duration::zero());
    }

    TEST_F(SharedLimitsOfAFleet, BoundRequestsInProgress)
    {
        organisation.limits = { 0, 0, 2 };
        auto& limits = *fleet[names[0]];
        EXPECT_TRUE(limits.admit("pass", organisation, now));
        EXPECT_TRUE(limits.admit("pass", organisation, now));
        EXPECT_FALSE(limits.admit("pass", organisation, now));
        limits.onFinish("pass", organisation);
        EXPECT_TRUE(limits.admit("pass", organisation, now));
    }

    TEST_F(SharedLimitsOfAFleet, ChargeGeneratedTokensOnceTheyAreKnown)
    {
        organisation.limits = { 0, 80, 0 };
        auto& limits = *fleet[names[0]];
        ASSERT_TRUE(limits.admit("pass", organisation, now));
        limits.chargeTokens("pass", organisation, 500, now);
        EXPECT_FALSE(limits.admit("pass", organisation, now));
        now += seconds(100);
        EXPECT_TRUE(limits.admit("pass", organisation, now));
    }

} // namespace
} // namespace yuccashift
