#include "yuccashift/dispatch/server_observations.hpp"

#include <gtest/gtest.h>

namespace yuccashift {
namespace {

    struct ServerObservationsOfARegion : testing::Test {
        VirtualClock clock;
        std::vector<ServerObservations> instances = std::vector<ServerObservations>(40, ServerObservations(clock));
        static constexpr std::uint64_t server = 7;

        /** Each instance tells all others what it observed. */
        void exchangeHeartbeats()
        {
            for (auto& sender : instances) {
                for (const auto& report : sender.takeOwn(8)) {
                    for (auto& receiver : instances) {
                        if (&receiver != &sender)
                            receiver.onReport(report);
                    }
                }
            }
        }
    };

    // Forty instances share the servers of a region. Each of them sends a server a request every other second, and took
    // ten seconds to learn that it is slow.
    TEST_F(ServerObservationsOfARegion, KnowASlowServerAfterOneRequestOfEach)
    {
        for (auto& it : instances)
            it.onFirstByte(server, 2.0);
        clock.advance(milliseconds(500));
        exchangeHeartbeats();
        for (const auto& it : instances)
            EXPECT_NEAR(it.pace(server), 2.0, 0.2);
    }

    TEST_F(ServerObservationsOfARegion, KnowAFailingServerAfterOneRequestOfEach)
    {
        for (std::size_t i = 0; i < instances.size(); ++i)
            instances[i].onOutcome(server, i % 5 < 2);
        exchangeHeartbeats();
        EXPECT_NEAR(instances[3].failureShare(server), 0.4, 0.01);
        EXPECT_GT(instances[3].outcomes(server), 30);
    }

    TEST_F(ServerObservationsOfARegion, ForgetWhatAServerWasLike)
    {
        for (auto& it : instances)
            it.onFirstByte(server, 4.0);
        exchangeHeartbeats();
        clock.advance(seconds(30));
        EXPECT_NEAR(instances[0].pace(server), 1.0, 0.05);
        instances[0].remove(server);
        EXPECT_DOUBLE_EQ(instances[0].pace(server), 1.0);
    }

    TEST_F(ServerObservationsOfARegion, ReportTheServersWithMostFirstAndTheRestLater)
    {
        for (std::uint64_t i = 1; i <= 3; ++i) {
            for (std::uint64_t n = 0; n < i; ++n)
                instances[0].onFirstByte(i, 1.5);
        }
        const auto first = instances[0].takeOwn(2);
        ASSERT_EQ(first.size(), 2u);
        EXPECT_EQ(first[0].server, 3u);
        EXPECT_EQ(first[0].firstBytes, 3);
        ASSERT_EQ(instances[0].takeOwn(2).size(), 1u);
        EXPECT_TRUE(instances[0].takeOwn(2).empty());
    }

    // A report from an instance behind a cut link must not speak for all.
    TEST_F(ServerObservationsOfARegion, BoundWhatOneReportCounts)
    {
        instances[0].onReport({ server, 1e9, 50, 10, 1e6 });
        EXPECT_LE(instances[0].pace(server), 7.5);
        EXPECT_LE(instances[0].failureShare(server), 1);
    }

} // namespace
} // namespace yuccashift
