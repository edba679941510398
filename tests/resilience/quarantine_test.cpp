#include "yuccashift/resilience/quarantine.hpp"

#include "yuccashift/kernel/random.hpp"
#include "yuccashift/resilience/pause_detector.hpp"

#include <algorithm>
#include <array>
#include <gtest/gtest.h>
#include <set>
#include <utility>

namespace yuccashift {
namespace {

    class RequestsThatCrashServers : public ::testing::Test {
    protected:
        void reportCrash(Quarantine& quarantine, std::uint64_t backend, std::vector<std::uint64_t> inProgress, Duration at = {})
        {
            quarantine.onBackendCrash(backend, inProgress, m_start + at);
        }

        Instant m_start { seconds(1000) };
        Quarantine m_quarantine;
    };

    TEST_F(RequestsThatCrashServers, AreSuspectAfterOneCrashAndRefusedAfterTwo)
    {
        reportCrash(m_quarantine, 1, { 7 });
        EXPECT_TRUE(m_quarantine.isSuspect(7, m_start));
        EXPECT_FALSE(m_quarantine.isQuarantined(7, m_start));
        reportCrash(m_quarantine, 2, { 7 }, seconds(1));
        EXPECT_TRUE(m_quarantine.isQuarantined(7, m_start + seconds(1)));
        EXPECT_FALSE(m_quarantine.isSuspect(8, m_start));
    }

    TEST_F(RequestsThatCrashServers, AreNotBlamedTwiceForOneCrashThatTwoInstancesReport)
    {
        reportCrash(m_quarantine, 1, { 7 });
        const std::array otherReport { CrashRecord { 7, 1, std::chrono::minutes(10) - seconds(2) } };
        m_quarantine.merge(otherReport, m_start);
        EXPECT_FALSE(m_quarantine.isQuarantined(7, m_start));
        reportCrash(m_quarantine, 1, { 7 }, seconds(30));
        EXPECT_TRUE(m_quarantine.isQuarantined(7, m_start + seconds(30)));
    }

    TEST_F(RequestsThatCrashServers, DoNotShareABackendServerWithOtherSuspects)
    {
        reportCrash(m_quarantine, 1, { 7, 8 });
        EXPECT_FALSE(m_quarantine.mayRunAlongside(7, std::array<std::uint64_t, 2> { 9, 8 }, m_start));
        EXPECT_TRUE(m_quarantine.mayRunAlongside(7, std::array<std::uint64_t, 1> { 9 }, m_start));
        EXPECT_TRUE(m_quarantine.mayRunAlongside(9, std::array<std::uint64_t, 1> { 8 }, m_start));
    }

    TEST_F(RequestsThatCrashServers, AreClearedOnceTheyComplete)
    {
        reportCrash(m_quarantine, 1, { 8 });
        m_quarantine.onSuccess(8, m_start + seconds(2));
        EXPECT_FALSE(m_quarantine.isSuspect(8, m_start + seconds(2)));
        const std::array oldRecords { CrashRecord { 8, 1, std::chrono::minutes(10) - seconds(2) }, CrashRecord { 8, 2, std::chrono::minutes(10) - seconds(3) } };
        m_quarantine.merge(oldRecords, m_start + seconds(2));
        EXPECT_FALSE(m_quarantine.isSuspect(8, m_start + seconds(2)));
    }

    TEST_F(RequestsThatCrashServers, AreClearedOnceTheyCompleteAtAnotherInstance)
    {
        reportCrash(m_quarantine, 1, { 8 });
        Quarantine other;
        other.merge(m_quarantine.newestRecords(m_start, 4), m_start);
        EXPECT_TRUE(other.takeServedForHeartbeat(m_start, 4).empty());
        other.onSuccess(8, m_start + seconds(2));
        reportCrash(m_quarantine, 2, { 8 }, seconds(3));
        EXPECT_TRUE(m_quarantine.isQuarantined(8, m_start + seconds(3)));
        const auto served = other.takeServedForHeartbeat(m_start + seconds(4), 4);
        ASSERT_EQ(served.size(), 1u);
        m_quarantine.mergeServed(served, m_start + seconds(4), true);
        EXPECT_FALSE(m_quarantine.isQuarantined(8, m_start + seconds(4)));
        EXPECT_TRUE(m_quarantine.isSuspect(8, m_start + seconds(4))) << "the second crash came later";
        const std::array oldRecord { CrashRecord { 8, 1, std::chrono::minutes(10) - seconds(4) } };
        m_quarantine.merge(oldRecord, m_start + seconds(4));
        EXPECT_FALSE(m_quarantine.isQuarantined(8, m_start + seconds(4)));
        EXPECT_EQ(m_quarantine.takeServedForHeartbeat(m_start + seconds(4), 4).size(), 1u) << "it is told in the region of the receiver too";
        EXPECT_EQ(m_quarantine.newestServed(m_start + seconds(4), 4).size(), 1u);

        const std::array invalid { ServedRecord { 9, seconds(-1) }, ServedRecord { 10, std::chrono::hours(1) } };
        m_quarantine.mergeServed(invalid, m_start + seconds(4));
        EXPECT_EQ(m_quarantine.size(), 1u);
    }

    TEST_F(RequestsThatCrashServers, AreForgottenOnceTheirRecordsExpire)
    {
        reportCrash(m_quarantine, 1, { 7 });
        reportCrash(m_quarantine, 2, { 7 }, std::chrono::minutes(5));
        EXPECT_TRUE(m_quarantine.isQuarantined(7, m_start + std::chrono::minutes(9)));
        EXPECT_FALSE(m_quarantine.isQuarantined(7, m_start + std::chrono::minutes(10)));
        m_quarantine.expire(m_start + std::chrono::minutes(15));
        EXPECT_EQ(m_quarantine.size(), 0u);
    }

    TEST_F(RequestsThatCrashServers, AreEvictedLastWhenTheTableIsFull)
    {
        Quarantine smallQuarantine({ 2, 4, std::chrono::minutes(10), seconds(5), 4 });
        reportCrash(smallQuarantine, 1, { 7 });
        reportCrash(smallQuarantine, 2, { 7 });
        for (std::uint64_t n = 100; n < 200; ++n)
            reportCrash(smallQuarantine, 3, { n });
        EXPECT_EQ(smallQuarantine.size(), 4u);
        EXPECT_TRUE(smallQuarantine.isQuarantined(7, m_start));
    }

    TEST_F(RequestsThatCrashServers, AreNotSuspectedBecauseOfRecordsWithAnInvalidRemainingTime)
    {
        const std::array records { CrashRecord { 7, 1, seconds(-5) }, CrashRecord { 7, 2, std::chrono::hours(5) } };
        m_quarantine.merge(records, m_start);
        EXPECT_EQ(m_quarantine.size(), 0u);
    }

    TEST_F(RequestsThatCrashServers, AreSentInHeartbeatsLeastOftenSentFirst)
    {
        reportCrash(m_quarantine, 1, { 1, 2, 3 });
        std::set<std::uint64_t> sent;
        for (int n = 0; n < 3; ++n) {
            for (const auto& record : m_quarantine.takeRecordsForHeartbeat(m_start, 1))
                sent.insert(record.fingerprint);
        }
        EXPECT_EQ(sent.size(), 3u);
    }

    /** Backend servers under load, of which some requests crash their server. Callers of requests lost in a crash retry. */
    class InnocentRequests : public ::testing::Test {
    protected:
        static constexpr std::uint64_t instanceCount = 8;
        static constexpr std::uint64_t serverCount = 40;
        static constexpr std::uint64_t newRequestsPerSecond = 60;
        static constexpr int maxRetries = 12;

        struct Request {
            std::uint64_t fingerprint = 0;
            bool crashesServer = false;
            int retriesLeft = maxRetries;
            std::uint64_t instance = 0;
            int secondsLeft = 3;
        };

        struct Server {
            std::vector<Request> inProgress;
            int secondsDown = 0;
        };

        void addRequests()
        {
            for (std::uint64_t n = 0; n < newRequestsPerSecond; ++n) {
                Request request;
                request.fingerprint = ++m_lastFingerprint;
                request.crashesServer = m_random.uniformBelow(100000) < m_crashingPer100000;
                m_crashingRequests += request.crashesServer ? 1 : 0;
                m_waiting.push_back(request);
            }
        }

        void dispatch()
        {
            const auto waiting = std::exchange(m_waiting, {});
            for (auto request : waiting) {
                // The caller sends each attempt to a random instance.
                request.instance = m_random.uniformBelow(instanceCount);
                const auto& quarantine = m_quarantine[request.instance];
                if (quarantine.isQuarantined(request.fingerprint, m_now)) {
                    m_wronglyRefused += request.crashesServer ? 0 : 1;
                    continue;
                }
                auto* server = chooseServer(request);
                if (server == nullptr)
                    m_waiting.push_back(request);
                else
                    server->inProgress.push_back(request);
            }
        }

        Server* chooseServer(const Request& request)
        {
            constexpr int attempts = 20;
            for (int n = 0; n < attempts; ++n) {
                auto& server = m_servers[m_random.uniformBelow(serverCount)];
                const auto inProgress = fingerprintsOf(server, request.instance);
                if (server.secondsDown == 0 && m_quarantine[request.instance].mayRunAlongside(request.fingerprint, inProgress, m_now))
                    return &server;
            }
            return nullptr;
        }

        static std::vector<std::uint64_t> fingerprintsOf(const Server& server, std::uint64_t instance)
        {
            std::vector<std::uint64_t> fingerprints;
            for (const auto& request : server.inProgress) {
                if (request.instance == instance)
                    fingerprints.push_back(request.fingerprint);
            }
            return fingerprints;
        }

        void advanceServer(std::uint64_t number)
        {
            auto& server = m_servers[number];
            server.secondsDown = std::max(0, server.secondsDown - 1);
            if (std::ranges::any_of(server.inProgress, &Request::crashesServer)) {
                crashServer(number);
                return;
            }
            std::erase_if(server.inProgress, [&](Request& request) {
                if (--request.secondsLeft > 0)
                    return false;
                m_quarantine[request.instance].onSuccess(request.fingerprint, m_now);
                return true;
            });
        }

        void crashServer(std::uint64_t number)
        {
            auto& server = m_servers[number];
            server.secondsDown = 20;
            ++m_crashes;
            for (std::uint64_t instance = 0; instance < instanceCount; ++instance)
                m_quarantine[instance].onBackendCrash(number, fingerprintsOf(server, instance), m_now);
            for (auto& request : server.inProgress) {
                m_innocentInProgress += request.crashesServer ? 0 : 1;
                request.secondsLeft = 3;
                if (--request.retriesLeft >= 0)
                    m_waiting.push_back(request);
            }
            server.inProgress.clear();
        }

        void exchangeRecords()
        {
            for (std::uint64_t from = 0; from < instanceCount; ++from) {
                const auto records = m_quarantine[from].takeRecordsForHeartbeat(m_now, 4);
                for (std::uint64_t to = 0; to < instanceCount; ++to)
                    m_quarantine[to].merge(records, m_now);
            }
        }

        void run(int duration)
        {
            for (int second = 0; second < duration; ++second, m_now += seconds(1)) {
                addRequests();
                dispatch();
                for (std::uint64_t number = 0; number < serverCount; ++number)
                    advanceServer(number);
                exchangeRecords();
                for (auto& quarantine : m_quarantine)
                    quarantine.expire(m_now);
            }
        }

        void recordStatistics() const
        {
            RecordProperty("killers", static_cast<int>(m_crashingRequests));
            RecordProperty("deaths", static_cast<int>(m_crashes));
            RecordProperty("neighbours", static_cast<int>(m_innocentInProgress));
            RecordProperty("wrongly_refused", static_cast<int>(m_wronglyRefused));
        }

        SeededRandom m_random { 11 };
        std::array<Quarantine, instanceCount> m_quarantine;
        std::array<Server, serverCount> m_servers;
        std::vector<Request> m_waiting;
        std::uint64_t m_crashingPer100000 = 0;
        std::uint64_t m_lastFingerprint = 0;
        std::uint64_t m_crashingRequests = 0;
        std::uint64_t m_crashes = 0;
        /** Requests in progress at a crash that did not cause it. */
        std::uint64_t m_innocentInProgress = 0;
        std::uint64_t m_wronglyRefused = 0;
        Instant m_now { seconds(1000) };
    };

    TEST_F(InnocentRequests, AreRarelyRefusedWhenACrashingRequestArrivesAboutOnceAMinute)
    {
        m_crashingPer100000 = 20;
        run(6000);
        ASSERT_GT(m_crashingRequests, 50u);
        recordStatistics();
        EXPECT_LE(m_crashes, 2 * m_crashingRequests);
        EXPECT_LE(m_wronglyRefused * 50, m_innocentInProgress);
    }

    TEST_F(InnocentRequests, AreStillRarelyRefusedWithTenTimesAsManyCrashingRequests)
    {
        m_crashingPer100000 = 200;
        run(1200);
        ASSERT_GT(m_crashingRequests, 100u);
        recordStatistics();
        EXPECT_LE(m_crashes, 2 * m_crashingRequests);
        EXPECT_LE(m_wronglyRefused * 20, m_innocentInProgress);
    }

    TEST(APauseDetector, DetectsPausesFromGapsBetweenCalls)
    {
        struct PauseCase {
            const char* description;
            Duration gap;
            Duration wallGap;
            bool paused;
        };
        const PauseCase cases[] = {
            { "an ordinary interval", milliseconds(100), milliseconds(100), false },
            { "a delayed call", milliseconds(1900), milliseconds(1900), false },
            { "a stopped process", seconds(30), seconds(30), true },
            { "a suspended machine", milliseconds(100), seconds(30), true },
            { "a wall clock set back", milliseconds(100), -seconds(30), false },
        };
        for (const auto& testCase : cases) {
            PauseDetector detector;
            const Instant now { seconds(100) };
            const WallTime wall { seconds(5000) };
            EXPECT_FALSE(detector.resumedFromPause(now, wall)) << testCase.description;
            EXPECT_EQ(detector.resumedFromPause(now + testCase.gap, wall + testCase.wallGap), testCase.paused) << testCase.description;
            EXPECT_EQ(detector.pauseCount(), testCase.paused ? 1u : 0u) << testCase.description;
            EXPECT_FALSE(detector.resumedFromPause(now + testCase.gap + milliseconds(100), wall + testCase.wallGap + milliseconds(100))) << testCase.description;
        }
    }

} // namespace
} // namespace yuccashift
