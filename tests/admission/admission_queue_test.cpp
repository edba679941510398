#include "yuccashift/admission/admission_queue.hpp"

#include <gtest/gtest.h>

namespace yuccashift {
namespace {

    struct AnAdmissionQueue : testing::Test {
        static constexpr Duration interval = milliseconds(1);

        WaitingRequest request(std::uint64_t id, OrganisationName organisation, Priority priority, Duration deadline)
        {
            return { id, std::move(organisation), 1, priority, now + deadline, milliseconds(10) };
        }

        std::vector<std::uint64_t> drain()
        {
            std::vector<std::uint64_t> ids;
            while (const auto taken = queue.pop(now))
                ids.push_back(taken->id);
            return ids;
        }

        Instant now { seconds(100) };
        AdmissionQueue queue { 8 };
    };

    TEST_F(AnAdmissionQueue, AdmitsByPriorityAndThenByEarliestDeadline)
    {
        ASSERT_TRUE(queue.push(request(1, "a", Priority::Batch, seconds(1)), interval, now));
        ASSERT_TRUE(queue.push(request(2, "a", Priority::Normal, seconds(3)), interval, now));
        ASSERT_TRUE(queue.push(request(3, "b", Priority::Normal, seconds(2)), interval, now));
        ASSERT_TRUE(queue.push(request(4, "a", Priority::Urgent, seconds(9)), interval, now));
        EXPECT_EQ(drain(), (std::vector<std::uint64_t> { 4, 3, 2, 1 }));
        EXPECT_EQ(queue.size(), 0u);
    }

    TEST_F(AnAdmissionQueue, RejectsRequestsThatCannotFinishInTimeWithARetryDelay)
    {
        for (std::uint64_t id = 1; id <= 5; ++id)
            ASSERT_TRUE(queue.push(request(id, "a", Priority::Normal, seconds(5)), seconds(1), now));
        const auto refused = queue.push(request(6, "a", Priority::Normal, seconds(4)), seconds(1), now);
        ASSERT_FALSE(refused);
        EXPECT_EQ(refused.error().kind, ErrorKind::DeadlineUnreachable);
        EXPECT_EQ(refused.error().effectiveRunState(), RunState::NotRun);
        EXPECT_GT(refused.error().retryAfter.value(), Duration::zero());
        EXPECT_EQ(queue.size(), 5u);
    }

    TEST_F(AnAdmissionQueue, ExpiresRequestsThatCanNoLongerFinishInsteadOfAdmittingThem)
    {
        ASSERT_TRUE(queue.push(request(1, "a", Priority::Normal, milliseconds(50)), interval, now));
        ASSERT_TRUE(queue.push(request(2, "a", Priority::Normal, seconds(5)), interval, now));
        EXPECT_EQ(queue.nextExpiry(), now + milliseconds(40));
        now += milliseconds(41);
        EXPECT_EQ(queue.pop(now)->id, 2u);
        EXPECT_EQ(queue.expire(now), std::vector<std::uint64_t> { 1 });
        EXPECT_EQ(queue.size(), 0u);
    }

    TEST_F(AnAdmissionQueue, RemovesCancelledRequests)
    {
        ASSERT_TRUE(queue.push(request(1, "a", Priority::Normal, seconds(1)), interval, now));
        EXPECT_TRUE(queue.cancel(1));
        EXPECT_FALSE(queue.cancel(1));
        EXPECT_FALSE(queue.pop(now));
    }

    TEST_F(AnAdmissionQueue, WhenFullEvictsOnlyForHigherPriorityOrSmallerBacklog)
    {
        struct DisplacementCase {
            const char* description;
            OrganisationName organisation;
            Priority priority;
            bool admitted;
        };
        const std::vector<DisplacementCase> cases {
            { "an urgent request evicts a normal one", "a", Priority::Urgent, true },
            { "an organisation without waiting requests evicts from the largest backlog", "b", Priority::Normal, true },
            { "the organisation with the largest backlog evicts nothing", "a", Priority::Normal, false },
            { "a batch request evicts nothing", "b", Priority::Batch, false },
        };
        for (const auto& testCase : cases) {
            queue = AdmissionQueue(4);
            for (std::uint64_t id = 1; id <= 4; ++id)
                ASSERT_TRUE(queue.push(request(id, "a", Priority::Normal, seconds(id)), interval, now));
            const auto outcome = queue.push(request(9, testCase.organisation, testCase.priority, seconds(9)), interval, now);
            ASSERT_EQ(outcome.has_value(), testCase.admitted) << testCase.description;
            if (outcome)
                EXPECT_EQ(outcome->displaced, 4u) << testCase.description;
            else
                EXPECT_EQ(outcome.error().kind, ErrorKind::QueueFull) << testCase.description;
            EXPECT_EQ(queue.size(), 4u) << testCase.description;
        }
    }

    TEST_F(AnAdmissionQueue, SharesAdmissionsByWeightRegardlessOfBacklogsAndDeadlines)
    {
        queue = AdmissionQueue(1000);
        for (std::uint64_t id = 0; id < 600; ++id) {
            auto early = request(id, "noisy", Priority::Normal, seconds(10));
            ASSERT_TRUE(queue.push(early, interval, now));
        }
        for (std::uint64_t id = 600; id < 700; ++id) {
            auto late = request(id, "quiet", Priority::Normal, seconds(20));
            late.weight = 3;
            ASSERT_TRUE(queue.push(late, interval, now));
        }
        std::size_t quiet = 0;
        for (int n = 0; n < 100; ++n)
            quiet += queue.pop(now)->organisation == "quiet" ? 1 : 0;
        EXPECT_NEAR(static_cast<double>(quiet), 75, 6);
    }

    TEST_F(AnAdmissionQueue, DoesNotDelayAnUrgentRequestBehindAnotherOrganisationsBacklog)
    {
        queue = AdmissionQueue(1000);
        for (std::uint64_t id = 0; id < 900; ++id)
            ASSERT_TRUE(queue.push(request(id, "noisy", Priority::Urgent, seconds(10)), interval, now));
        for (int n = 0; n < 50; ++n)
            ASSERT_TRUE(queue.pop(now));
        ASSERT_TRUE(queue.push(request(2000, "quiet", Priority::Urgent, seconds(30)), interval, now));
        std::size_t admittedBefore = 0;
        while (queue.pop(now)->id != 2000)
            ++admittedBefore;
        EXPECT_LE(admittedBefore, 10u);
    }

} // namespace
} // namespace yuccashift
