#include "yuccashift/kernel/random.hpp"
#include "yuccashift/resilience/prompt_quarantine.hpp"

#include <gtest/gtest.h>
#include <memory>
#include <vector>

namespace yuccashift {
namespace {

    constexpr std::size_t instanceCount = 300;
    constexpr std::size_t regionCount = 3;
    constexpr std::size_t serverCount = 160;
    constexpr std::size_t documentCount = 105;
    constexpr PartHash preamble = 1;
    constexpr PartHash deadly = 2;
    constexpr PartHash firstDocument = 100;
    constexpr Duration step = milliseconds(20);
    constexpr Duration timeToAnswer = milliseconds(300);
    constexpr Duration timeToEnd = milliseconds(1500);
    constexpr Duration serverDownTime = seconds(3);
    /** The fifth crash binds all instances after this time. */
    constexpr Duration stabilityWindow = seconds(6);
    constexpr std::size_t evidencePerHeartbeat = 8;

    /** Instances of three regions before the servers of their region, on a virtual clock, with a heartbeat each second. */
    class AFleetUnderADeadlyPart : public testing::Test {
    protected:
        AFleetUnderADeadlyPart()
            : m_quarantines(instanceCount)
            , m_downUntil(serverCount)
            , m_incarnation(serverCount)
        {
            for (auto& it : m_quarantines)
                it = std::make_unique<PromptQuarantine>();
        }

        /** Requests arrive at random instances; this share of them holds the deadly part. */
        void run(Duration time, std::size_t requestsPerStep, double deadlyShare)
        {
            const auto end = m_now + time;
            for (; m_now < end; m_now += step) {
                for (std::size_t n = 0; n < requestsPerStep; ++n)
                    arrive(m_random.uniformReal() < deadlyShare);
                serve();
                exchangeHeartbeats();
            }
        }

        std::size_t m_crashes = 0;
        std::size_t m_deadlySentTooLate = 0;
        std::size_t m_soundRequests = 0;
        std::size_t m_soundRefused = 0;

    private:
        struct Request {
            std::size_t instance = 0;
            std::size_t server = 0;
            std::vector<PartHash> parts;
            Instant sentAt {};
            bool kills = false;
        };

        static std::size_t regionOf(std::size_t n) { return n % regionCount; }

        void arrive(bool kills)
        {
            Request request;
            request.instance = m_random.uniformBelow(instanceCount);
            request.server = m_random.uniformBelow(serverCount / regionCount) * regionCount + regionOf(request.instance);
            request.parts = { preamble, firstDocument + static_cast<PartHash>(m_random.uniformBelow(documentCount)) };
            if (kills)
                request.parts.push_back(deadly);
            request.sentAt = m_now;
            request.kills = kills;
            m_soundRequests += kills ? 0 : 1;
            const bool refused = m_quarantines[request.instance]->findQuarantined(request.parts, m_now) != 0;
            m_soundRefused += refused && !kills ? 1 : 0;
            if (refused || m_downUntil[request.server] > m_now)
                return;
            m_deadlySentTooLate += kills && m_crashes >= 5 && m_now > m_fifthCrashAt + stabilityWindow ? 1 : 0;
            m_inProgress.push_back(std::move(request));
        }

        void serve()
        {
            for (const auto& it : m_inProgress) {
                if (it.kills && m_now >= it.sentAt + timeToAnswer && m_downUntil[it.server] <= m_now)
                    crash(it.server);
            }
            std::erase_if(m_inProgress, [&](const Request& it) {
                auto& quarantine = *m_quarantines[it.instance];
                if (m_downUntil[it.server] > m_now) {
                    const auto server = static_cast<std::uint32_t>(it.server + serverCount * m_incarnation[it.server]);
                    if (m_now - it.sentAt < timeToAnswer + milliseconds(500))
                        quarantine.onServerLost(server, it.parts, it.sentAt, m_now);
                    else
                        quarantine.onSuccess(it.parts, m_now);
                    return true;
                }
                if (m_now < it.sentAt + timeToEnd)
                    return false;
                quarantine.onSuccess(it.parts, m_now);
                return true;
            });
        }

        void crash(std::size_t server)
        {
            m_downUntil[server] = m_now + serverDownTime;
            ++m_incarnation[server];
            if (++m_crashes == 5)
                m_fifthCrashAt = m_now;
        }

        /** A fiftieth of the instances send in each step; each second one also to two instances of each other region. */
        void exchangeHeartbeats()
        {
            const auto stepsPerSecond = static_cast<std::size_t>(seconds(1) / step);
            for (auto sender = m_steps % stepsPerSecond; sender < instanceCount; sender += stepsPerSecond) {
                const auto evidence = m_quarantines[sender]->takeForHeartbeat(m_now, evidencePerHeartbeat);
                for (auto n = regionOf(sender); n < instanceCount; n += regionCount) {
                    if (n != sender)
                        m_quarantines[n]->merge(evidence, m_now);
                }
                const auto newest = m_quarantines[sender]->newest(m_now, evidencePerHeartbeat);
                for (std::size_t n = 0; n < 2 * regionCount; ++n) {
                    const auto receiver = m_random.uniformBelow(instanceCount);
                    if (regionOf(receiver) != regionOf(sender))
                        m_quarantines[receiver]->merge(newest, m_now, true);
                }
            }
            ++m_steps;
        }

        SeededRandom m_random { 5 };
        Instant m_now { seconds(1000) };
        Instant m_fifthCrashAt {};
        std::size_t m_steps = 0;
        std::vector<std::unique_ptr<PromptQuarantine>> m_quarantines;
        std::vector<Instant> m_downUntil;
        std::vector<std::uint32_t> m_incarnation;
        std::vector<Request> m_inProgress;
    };

    // 360 requests a second at 300 instances; 18 a second crash servers, each with the sound requests in progress there.
    TEST_F(AFleetUnderADeadlyPart, StopsSendingItInTimeAndServesSoundRequests)
    {
        run(seconds(4), 7, 0);
        run(seconds(20), 7, 0.05);
        EXPECT_GE(m_crashes, 5u);
        EXPECT_LE(m_deadlySentTooLate, 3u);
        EXPECT_LT(m_soundRefused * 2, m_soundRequests);
        RecordProperty("crashes", static_cast<int>(m_crashes));
        RecordProperty("sound_requests", static_cast<int>(m_soundRequests));
        RecordProperty("sound_refused", static_cast<int>(m_soundRefused));
    }

    TEST_F(AFleetUnderADeadlyPart, RefusesNothingWithoutOne)
    {
        run(seconds(10), 7, 0);
        EXPECT_EQ(m_soundRefused, 0u);
    }

} // namespace
} // namespace yuccashift
