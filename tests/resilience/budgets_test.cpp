#include "yuccashift/resilience/backoff.hpp"
#include "yuccashift/resilience/hedge_budget.hpp"
#include "yuccashift/resilience/outlier_ejection.hpp"
#include "yuccashift/resilience/retry_budget.hpp"

#include <gtest/gtest.h>

namespace yuccashift {
namespace {

    TEST(ARetryBudget, BoundsTheSumOfRetriesInAnOutage)
    {
        RetryBudget budget;
        const RetrySpec spec { 5, 10 };
        constexpr int requests = 10000;
        int retries = 0;
        for (int n = 0; n < requests; ++n) {
            const auto organisation = "organisation-" + std::to_string(n % 20);
            budget.onRequest("pass", organisation, spec);
            for (std::uint32_t attempt = 1; budget.tryRetry("pass", organisation, spec, attempt); ++attempt)
                ++retries;
        }
        EXPECT_LE(retries, requests / 10 + 5);
        EXPECT_GE(retries, requests / 12);
    }

    TEST(ARetryBudget, IsNotUsedUpByOneOrganisationForAnother)
    {
        RetryBudget budget;
        const RetrySpec spec { 2, 10 };
        for (int n = 0; n < 100; ++n) {
            budget.onRequest("pass", "quiet", spec);
            budget.onRequest("pass", "noisy", spec);
        }
        int noisy = 0;
        while (budget.tryRetry("pass", "noisy", spec, 1))
            ++noisy;
        EXPECT_LE(noisy, 12);
        EXPECT_TRUE(budget.tryRetry("pass", "quiet", spec, 1));
    }

    TEST(ARetryBudget, AllowsNoMoreAttemptsThanTheDocumentDoes)
    {
        RetryBudget budget;
        const RetrySpec spec { 2, 100 };
        for (int n = 0; n < 10; ++n)
            budget.onRequest("pass", "museum", spec);
        EXPECT_TRUE(budget.tryRetry("pass", "museum", spec, 1));
        EXPECT_FALSE(budget.tryRetry("pass", "museum", spec, 2));
    }

    TEST(AHedgeBudget, NeverHedgesBatchRequestsOrThoseThatAreNotIdempotent)
    {
        HedgeBudget budget;
        const HedgeSpec spec { milliseconds(50), 100 };
        RequestTraits request;
        request.service = "pass";
        request.organisation = "museum";
        for (int n = 0; n < 10; ++n)
            budget.onRequest(request.service, request.organisation, spec);
        EXPECT_EQ(HedgeBudget::delay(spec, request, milliseconds(10)), milliseconds(50));
        EXPECT_EQ(HedgeBudget::delay(spec, request, milliseconds(40)), milliseconds(80));
        EXPECT_TRUE(budget.tryHedge(request, spec));
        EXPECT_FALSE(budget.tryHedge(request, { milliseconds(0), 100 }));
        request.priority = Priority::Batch;
        EXPECT_FALSE(budget.tryHedge(request, spec));
        request.priority = Priority::Urgent;
        request.idempotent = false;
        EXPECT_FALSE(HedgeBudget::delay(spec, request, {}));
        EXPECT_FALSE(budget.tryHedge(request, spec));
    }

    TEST(Backoff, GrowsUpToItsBoundWithJitter)
    {
        SeededRandom random(5);
        const BackoffSpec spec { milliseconds(100), seconds(1) };
        Duration longest {};
        for (int n = 0; n < 500; ++n) {
            EXPECT_LE(backoff(spec, 1, random), milliseconds(100));
            longest = std::max(longest, backoff(spec, 1000, random));
            const auto wait = jitteredRetryAfter(seconds(4), random);
            EXPECT_GE(wait, seconds(4));
            EXPECT_LE(wait, seconds(8));
        }
        EXPECT_LE(longest, seconds(1));
        EXPECT_GT(longest, milliseconds(900));
    }

    struct OutlierEjectionOfFourServers : testing::Test {
        OutlierEjectionOfFourServers()
        {
            for (const char* name : { "a", "b", "c", "d" }) {
                BackendState state;
                state.name = name;
                initialStates.push_back(state);
            }
        }

        void failThreeTimes(const BackendName& name)
        {
            for (int n = 0; n < 3; ++n)
                ejection.onFailure("pass", name, now);
        }

        std::string ejected()
        {
            states = initialStates;
            ejection.apply("pass", states, now);
            std::string names;
            for (const auto& state : states)
                names += state.ejected ? state.name : "";
            return names;
        }

        Instant now { seconds(100) };
        OutlierEjection ejection;
        std::vector<BackendState> initialStates;
        std::vector<BackendState> states;
    };

    TEST_F(OutlierEjectionOfFourServers, EjectsAServerAfterConsecutiveFailuresAndReturnsItOnProbation)
    {
        ejection.onFailure("pass", "b", now);
        ejection.onSuccess("pass", "b", now);
        ejection.onFailure("pass", "b", now);
        EXPECT_EQ(ejected(), "");
        failThreeTimes("b");
        EXPECT_EQ(ejected(), "b");
        now += seconds(3);
        EXPECT_EQ(ejected(), "");
        EXPECT_TRUE(states[1].availableSince);
    }

    TEST_F(OutlierEjectionOfFourServers, EjectsAFlappingServerForLongerEachTime)
    {
        failThreeTimes("b");
        now += seconds(3);
        ejection.onFailure("pass", "b", now);
        now += seconds(3);
        EXPECT_EQ(ejected(), "b");
        now += seconds(2);
        EXPECT_EQ(ejected(), "");
    }

    TEST_F(OutlierEjectionOfFourServers, AlwaysKeepsHalfOfTheServersAvailable)
    {
        for (const char* name : { "a", "b", "c", "d" }) {
            failThreeTimes(name);
            now += milliseconds(1);
        }
        EXPECT_EQ(ejected(), "cd");
    }

} // namespace
} // namespace yuccashift
