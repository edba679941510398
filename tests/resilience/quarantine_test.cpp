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

    class RequestsThatCrash : public ::testing::Test {
    protected:
        void die(Quarantine& quarantine, std::uint64_t backend, std::vector<std::uint64_t> inProgress, Duration at = {})
        {
            quarantine.onBackendCrash(backend, inProgress, m_start + at);
        }

        Instant m_start { seconds(1000) };
        Quarantine m_quarantine;
    };

    TEST_F(RequestsThatCrash, AreSuspectAfterOneDeathAndRefusedAfterTwo)
    {
        die(m_quarantine, 1, { 7 });
        EXPECT_TRUE(m_quarantine.isSuspect(7, m_start));
        EXPECT_FALSE(m_quarantine.isQuarantined(7, m_start));
        die(m_quarantine, 2, { 7 }, seconds(1));
        EXPECT_TRUE(m_quarantine.isQuarantined(7, m_start + seconds(1)));
        EXPECT_FALSE(m_quarantine.isSuspect(8, m_start));
    }

    TEST_F(RequestsThatCrash, AreNotBlamedTwiceForOneDeathThatTwoInstancesSaw)
    {
        die(m_quarantine, 1, { 7 });
        const std::array other { CrashRecord { 7, 1, std::chrono::minutes(10) - seconds(2) } };
        m_quarantine.merge(other, m_start);
        EXPECT_FALSE(m_quarantine.isQuarantined(7, m_start));
        die(m_quarantine, 1, { 7 }, seconds(30));
        EXPECT_TRUE(m_quarantine.isQuarantined(7, m_start + seconds(30)));
    }

    TEST_F(RequestsThatCrash, RunApartFromOtherSuspects)
    {
        die(m_quarantine, 1, { 7, 8 });
        EXPECT_FALSE(m_quarantine.mayRunAlongside(7, std::array<std::uint64_t, 2> { 9, 8 }, m_start));
        EXPECT_TRUE(m_quarantine.mayRunAlongside(7, std::array<std::uint64_t, 1> { 9 }, m_start));
        EXPECT_TRUE(m_quarantine.mayRunAlongside(9, std::array<std::uint64_t, 1> { 8 }, m_start));
    }

    TEST_F(RequestsThatCrash, AreClearedOnceTheyRunToTheirEnd)
    {
        die(m_quarantine, 1, { 8 });
        m_quarantine.onSuccess(8, m_start + seconds(2));
        EXPECT_FALSE(m_quarantine.isSuspect(8, m_start + seconds(2)));
        const std::array old { CrashRecord { 8, 1, std::chrono::minutes(10) - seconds(2) }, CrashRecord { 8, 2, std::chrono::minutes(10) - seconds(3) } };
        m_quarantine.merge(old, m_start + seconds(2));
        EXPECT_FALSE(m_quarantine.isSuspect(8, m_start + seconds(2)));
    }

    TEST_F(RequestsThatCrash, AreForgottenInTime)
    {
        die(m_quarantine, 1, { 7 });
        die(m_quarantine, 2, { 7 }, std::chrono::minutes(5));
        EXPECT_TRUE(m_quarantine.isQuarantined(7, m_start + std::chrono::minutes(9)));
        EXPECT_FALSE(m_quarantine.isQuarantined(7, m_start + std::chrono::minutes(10)));
        m_quarantine.expire(m_start + std::chrono::minutes(15));
        EXPECT_EQ(m_quarantine.size(), 0u);
    }

    TEST_F(RequestsThatCrash, AreKeptLongestWhenRoomRunsOut)
    {
        Quarantine small({ 2, 4, std::chrono::minutes(10), seconds(5), 4 });
        die(small, 1, { 7 });
        die(small, 2, { 7 });
        for (std::uint64_t n = 100; n < 200; ++n)
            die(small, 3, { n });
        EXPECT_EQ(small.size(), 4u);
        EXPECT_TRUE(small.isQuarantined(7, m_start));
    }

    TEST_F(RequestsThatCrash, IgnoreRecordsWithATimeOutsideTheirBound)
    {
        const std::array records { CrashRecord { 7, 1, seconds(-5) }, CrashRecord { 7, 2, std::chrono::hours(5) } };
        m_quarantine.merge(records, m_start);
        EXPECT_EQ(m_quarantine.size(), 0u);
    }

    TEST_F(RequestsThatCrash, AreSpreadLeastKnownFirst)
    {
        die(m_quarantine, 1, { 1, 2, 3 });
        std::set<std::uint64_t> spread;
        for (int n = 0; n < 3; ++n) {
            for (const auto& record : m_quarantine.takeRecordsForHeartbeat(m_start, 1))
                spread.insert(record.fingerprint);
        }
        EXPECT_EQ(spread.size(), 3u);
    }

    /** Backend servers under load of which some requests kill their server; all who lose one send again. */
    class WrongBlame : public ::testing::Test {
    protected:
        static constexpr std::uint64_t instances = 8;
        static constexpr std::uint64_t servers = 40;
        static constexpr std::uint64_t newRequestsPerSecond = 60;
        static constexpr int resends = 12;

        struct Request {
            std::uint64_t fingerprint = 0;
            bool kills = false;
            int resendsLeft = resends;
            std::uint64_t entry = 0;
            int secondsLeft = 3;
        };

        struct Server {
            std::vector<Request> inProgress;
            int downFor = 0;
        };

        void arrive()
        {
            for (std::uint64_t n = 0; n < newRequestsPerSecond; ++n) {
                Request request;
                request.fingerprint = ++m_lastFingerprint;
                request.kills = m_random.below(100000) < m_killersPer100000;
                m_killers += request.kills ? 1 : 0;
                m_waiting.push_back(request);
            }
        }

        void dispatch()
        {
            const auto waiting = std::exchange(m_waiting, {});
            for (auto request : waiting) {
                // The caller goes to another entry each time.
                request.entry = m_random.below(instances);
                const auto& quarantine = m_quarantine[request.entry];
                if (quarantine.isQuarantined(request.fingerprint, m_now)) {
                    m_wrong += request.kills ? 0 : 1;
                    continue;
                }
                auto* server = choose(request);
                if (server == nullptr)
                    m_waiting.push_back(request);
                else
                    server->inProgress.push_back(request);
            }
        }

        Server* choose(const Request& request)
        {
            constexpr int tries = 20;
            for (int n = 0; n < tries; ++n) {
                auto& server = m_servers[m_random.below(servers)];
                const auto own = ofEntry(server, request.entry);
                if (server.downFor == 0 && m_quarantine[request.entry].mayRunAlongside(request.fingerprint, own, m_now))
                    return &server;
            }
            return nullptr;
        }

        static std::vector<std::uint64_t> ofEntry(const Server& server, std::uint64_t entry)
        {
            std::vector<std::uint64_t> fingerprints;
            for (const auto& request : server.inProgress) {
                if (request.entry == entry)
                    fingerprints.push_back(request.fingerprint);
            }
            return fingerprints;
        }

        void work(std::uint64_t number)
        {
            auto& server = m_servers[number];
            server.downFor = std::max(0, server.downFor - 1);
            if (std::ranges::any_of(server.inProgress, &Request::kills)) {
                die(number);
                return;
            }
            std::erase_if(server.inProgress, [&](Request& request) {
                if (--request.secondsLeft > 0)
                    return false;
                m_quarantine[request.entry].onSuccess(request.fingerprint, m_now);
                return true;
            });
        }

        void die(std::uint64_t number)
        {
            auto& server = m_servers[number];
            server.downFor = 20;
            ++m_deaths;
            for (std::uint64_t entry = 0; entry < instances; ++entry)
                m_quarantine[entry].onBackendCrash(number, ofEntry(server, entry), m_now);
            for (auto& request : server.inProgress) {
                m_neighbours += request.kills ? 0 : 1;
                request.secondsLeft = 3;
                if (--request.resendsLeft >= 0)
                    m_waiting.push_back(request);
            }
            server.inProgress.clear();
        }

        void spread()
        {
            for (std::uint64_t from = 0; from < instances; ++from) {
                const auto records = m_quarantine[from].takeRecordsForHeartbeat(m_now, 4);
                for (std::uint64_t to = 0; to < instances; ++to)
                    m_quarantine[to].merge(records, m_now);
            }
        }

        void run(int duration)
        {
            for (int second = 0; second < duration; ++second, m_now += seconds(1)) {
                arrive();
                dispatch();
                for (std::uint64_t number = 0; number < servers; ++number)
                    work(number);
                spread();
                for (auto& quarantine : m_quarantine)
                    quarantine.expire(m_now);
            }
        }

        void report() const
        {
            RecordProperty("killers", static_cast<int>(m_killers));
            RecordProperty("deaths", static_cast<int>(m_deaths));
            RecordProperty("neighbours", static_cast<int>(m_neighbours));
            RecordProperty("wrongly_refused", static_cast<int>(m_wrong));
        }

        SeededRandom m_random { 11 };
        std::array<Quarantine, instances> m_quarantine;
        std::array<Server, servers> m_servers;
        std::vector<Request> m_waiting;
        std::uint64_t m_killersPer100000 = 0;
        std::uint64_t m_lastFingerprint = 0;
        std::uint64_t m_killers = 0;
        std::uint64_t m_deaths = 0;
        /** Innocent requests in progress at a death. */
        std::uint64_t m_neighbours = 0;
        std::uint64_t m_wrong = 0;
        Instant m_now { seconds(1000) };
    };

    TEST_F(WrongBlame, IsRareWhereAKillerComesEveryMinuteOrSo)
    {
        m_killersPer100000 = 20;
        run(6000);
        ASSERT_GT(m_killers, 50u);
        report();
        EXPECT_LE(m_deaths, 2 * m_killers);
        EXPECT_LE(m_wrong * 50, m_neighbours);
    }

    TEST_F(WrongBlame, GrowsWithTheKillersWhileTheDeathsForEachStayTwo)
    {
        m_killersPer100000 = 200;
        run(1200);
        ASSERT_GT(m_killers, 100u);
        report();
        EXPECT_LE(m_deaths, 2 * m_killers);
        EXPECT_LE(m_wrong * 20, m_neighbours);
    }

    TEST(Pauses, AreNoticedFromGapsBetweenTicks)
    {
        struct Case {
            const char* what;
            Duration gap;
            Duration wallGap;
            bool paused;
        };
        const Case cases[] = {
            { "an ordinary tick", milliseconds(100), milliseconds(100), false },
            { "a late one", milliseconds(1900), milliseconds(1900), false },
            { "a stopped process", seconds(30), seconds(30), true },
            { "a suspended machine", milliseconds(100), seconds(30), true },
            { "a wall clock set back", milliseconds(100), -seconds(30), false },
        };
        for (const auto& it : cases) {
            PauseDetector detector;
            const Instant now { seconds(100) };
            const WallTime wall { seconds(5000) };
            EXPECT_FALSE(detector.resumedFromPause(now, wall)) << it.what;
            EXPECT_EQ(detector.resumedFromPause(now + it.gap, wall + it.wallGap), it.paused) << it.what;
            EXPECT_EQ(detector.pauseCount(), it.paused ? 1u : 0u) << it.what;
            EXPECT_FALSE(detector.resumedFromPause(now + it.gap + milliseconds(100), wall + it.wallGap + milliseconds(100))) << it.what;
        }
    }

} // namespace
} // namespace yuccashift
