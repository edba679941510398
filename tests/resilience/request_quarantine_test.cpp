#include "yuccashift/resilience/crash_confirmation.hpp"
#include "yuccashift/resilience/prompt_quarantine.hpp"

#include <array>
#include <gtest/gtest.h>

namespace yuccashift {
namespace {

    constexpr PartHash popular = 7;
    constexpr PartHash other = 8;

    /** Instances that tell each other of lost and served requests. */
    struct WholeRequests : testing::Test {
        void lose(std::size_t instance, std::uint32_t server, PartHash request = popular)
        {
            instances[instance].onServerLost(server, {}, now - milliseconds(100), now, request);
        }

        void tell()
        {
            for (auto& from : instances) {
                const auto evidence = from.takeForHeartbeat(now, 24);
                for (auto& to : instances) {
                    if (&to != &from)
                        to.merge(evidence, now + milliseconds(10));
                }
            }
        }

        /** Whether the instances refuse the request, once evidence against it has had its time. */
        std::array<bool, 4> refused(PartHash request = popular)
        {
            tell();
            now += seconds(2);
            std::array<bool, 4> result {};
            for (std::size_t n = 0; n < instances.size(); ++n)
                result[n] = instances[n].findQuarantined(std::vector { request }, now) != 0;
            return result;
        }

        const std::array<bool, 4> byAll { true, true, true, true };
        const std::array<bool, 4> byNone {};
        std::array<PromptQuarantine, 4> instances;
        Instant now { seconds(1000) };
    };

    // One crash under a request that callers of several instances had sent counted once for each instance.
    TEST_F(WholeRequests, AreNotQuarantinedForOneCrashThatSeveralInstancesReport)
    {
        for (std::size_t n = 0; n < instances.size(); ++n) {
            for (int copy = 0; copy < 20; ++copy)
                lose(n, 1);
            now += milliseconds(50);
        }
        EXPECT_EQ(refused(), byNone);
        EXPECT_EQ(instances[0].newest(now, 100).losses.size(), 4u) << "copies say nothing new";
    }

    TEST_F(WholeRequests, AreQuarantinedAfterThreeServersCrashedWhicheverInstancesSawIt)
    {
        lose(0, 1);
        lose(1, 2);
        now += seconds(1);
        lose(1, 2);
        EXPECT_EQ(refused(), byNone);
        lose(2, 3);
        EXPECT_EQ(refused(), byAll);
        EXPECT_EQ(refused(other), byNone);
    }

    TEST_F(WholeRequests, AreQuarantinedWhenThreeServersCrashAtOnce)
    {
        for (std::uint32_t server = 1; server <= 3; ++server)
            lose(0, server);
        EXPECT_EQ(refused(), byAll);
    }

    TEST_F(WholeRequests, AreQuarantinedAfterOneServerCrashedThreeTimes)
    {
        for (int n = 0; n < 3; ++n) {
            EXPECT_EQ(refused(), byNone);
            lose(0, 1);
            now += seconds(3);
        }
        EXPECT_EQ(refused(), byAll);
    }

    // A request that servers go on serving was refused, since what they served did not count for it.
    TEST_F(WholeRequests, AreNotQuarantinedWhileServersGoOnServingThem)
    {
        for (std::uint32_t server = 1; server <= 9; ++server) {
            lose(server % 3, server);
            tell();
            now += milliseconds(200);
            instances[3].onRequestServed(popular, now);
            tell();
            EXPECT_EQ(refused(), byNone) << server;
        }
    }

    TEST_F(WholeRequests, AreReleasedEverywhereOnceOneIsServed)
    {
        for (std::uint32_t server = 1; server <= 3; ++server)
            lose(0, server);
        EXPECT_EQ(refused(), byAll);
        instances[2].onRequestServed(popular, now);
        EXPECT_EQ(refused(), byNone);
    }

    TEST_F(WholeRequests, AreReleasedAMinuteAfterTheLastCrash)
    {
        for (std::uint32_t server = 1; server <= 3; ++server)
            lose(0, server);
        EXPECT_EQ(refused(), byAll);
        now += seconds(61);
        EXPECT_EQ(refused(), byNone);
    }

    TEST_F(WholeRequests, AreBlamedRatherThanThePartsThatOthersHoldToo)
    {
        constexpr PartHash preamble = 1;
        for (std::uint32_t server = 1; server <= 3; ++server) {
            instances[0].onServerLost(server, std::vector { preamble }, now, now, popular);
            now += milliseconds(500);
        }
        EXPECT_EQ(refused(), byAll);
        EXPECT_EQ(refused(preamble), byNone);
    }

    struct ALostRequest : testing::Test {
        ALostRequest() { confirmation.add({ 1, {}, popular, lostAt - seconds(1), lostAt }); }

        CrashConfirmation confirmation;
        Instant lostAt { seconds(1000) };
    };

    // Answers that broke off at servers that live on counted as crashes.
    TEST_F(ALostRequest, IsNoCrashIfTheServerAnswersLater)
    {
        confirmation.onAnswer(2, lostAt + milliseconds(1));
        confirmation.onAnswer(1, lostAt - milliseconds(1));
        EXPECT_FALSE(confirmation.empty()) << "what was asked before says nothing";
        confirmation.onAnswer(1, lostAt);
        EXPECT_TRUE(confirmation.empty());
        EXPECT_TRUE(confirmation.takeOverdue(lostAt + seconds(9)).empty());
    }

    TEST_F(ALostRequest, IsACrashIfTheServerDoesNotAnswer)
    {
        EXPECT_TRUE(confirmation.takeUnanswered(2, lostAt + milliseconds(1)).empty());
        EXPECT_TRUE(confirmation.takeUnanswered(1, lostAt - milliseconds(1)).empty());
        const auto lost = confirmation.takeUnanswered(1, lostAt);
        ASSERT_EQ(lost.size(), 1u);
        EXPECT_EQ(lost[0].request, popular);
        EXPECT_TRUE(confirmation.empty());
    }

    TEST_F(ALostRequest, IsACrashIfNothingShowsInTimeThatTheServerRuns)
    {
        EXPECT_TRUE(confirmation.takeOverdue(lostAt + milliseconds(900)).empty());
        EXPECT_EQ(confirmation.takeOverdue(lostAt + milliseconds(1000)).size(), 1u);
        EXPECT_TRUE(confirmation.empty());
    }

} // namespace
} // namespace yuccashift
