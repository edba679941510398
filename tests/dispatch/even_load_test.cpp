#include "yuccashift/dispatch/server_sample.hpp"

#include <algorithm>
#include <array>
#include <gtest/gtest.h>
#include <numeric>
#include <queue>
#include <vector>

namespace yuccashift {
namespace {

    /** How the requests of a long time were spread over the servers. */
    struct Spread {
        /** Mean time that the busiest server is behind, by the mean of all servers. */
        double busiest = 0;
        /** The same of the time after which a request of mean size would be read there. */
        double slowest = 0;
        /** Mean time that a server is behind, in milliseconds. */
        double meanBehindMs = 0;
    };

    /** Requests of many instances at engines of different speed, whose load each instance knows as it was a while ago. */
    class SharedServers {
    public:
        SharedServers(std::size_t instances, double heartbeatMs)
            : m_heartbeatMs(heartbeatMs)
            , m_own(instances, std::vector<ServerLoadSum>(servers))
            , m_reported(m_own)
        {
            for (std::size_t i = 0; i < servers; ++i)
                m_capacity += tokensPerMs * speedOf(i);
        }

        Spread play(double utilisation, double lengthMs)
        {
            const double meanGap = meanTokens / (utilisation * m_capacity);
            double reportAt = 0;
            std::size_t reporter = 0;
            while (m_now < lengthMs) {
                m_now += exponential() * meanGap;
                for (; reportAt < m_now; reportAt += m_heartbeatMs / static_cast<double>(m_own.size())) {
                    finish(reportAt);
                    report(reporter++ % m_own.size());
                }
                finish(m_now);
                observe();
                arrive();
            }
            auto readAfter = m_behind;
            for (std::size_t i = 0; i < servers; ++i) {
                m_behind[i] /= m_observed;
                readAfter[i] = m_behind[i] + meanTokens / (tokensPerMs * speedOf(i));
            }
            const auto busiest = [](const auto& times) { return *std::ranges::max_element(times) * servers / std::accumulate(times.begin(), times.end(), 0.0); };
            return { busiest(m_behind), busiest(readAfter), std::accumulate(m_behind.begin(), m_behind.end(), 0.0) / servers };
        }

    private:
        static constexpr std::size_t servers = 30;
        static constexpr double meanTokens = 2400;
        static constexpr double tokensPerMs = 60;
        struct Running {
            double endsAt;
            std::size_t instance;
            std::size_t server;
            ServerLoadSum load;
            bool operator>(const Running& other) const { return endsAt > other.endsAt; }
        };

        static double speedOf(std::size_t server) { return std::array { 0.6, 1.0, 1.6 }[server % 3]; }
        double exponential() { return -std::log1p(-m_random.uniformReal()); }

        void finish(double until)
        {
            for (; !m_running.empty() && m_running.top().endsAt <= until; m_running.pop())
                m_own[m_running.top().instance][m_running.top().server] -= m_running.top().load;
        }

        void report(std::size_t instance)
        {
            for (std::size_t i = 0; i < servers; ++i) {
                m_reportedSum[i] -= m_reported[instance][i];
                m_reportedSum[i] += m_own[instance][i];
            }
            m_reported[instance] = m_own[instance];
        }

        void observe()
        {
            for (std::size_t i = 0; i < servers; ++i)
                m_behind[i] += std::max(0.0, m_freeAt[i] - m_now);
            ++m_observed;
        }

        void arrive()
        {
            const auto instance = m_random.uniformBelow(m_own.size());
            WorkSize work;
            work.promptTokens = static_cast<std::uint32_t>(1 + meanTokens * exponential());
            std::vector<ServerCandidate> candidates(servers);
            for (std::size_t i = 0; i < servers; ++i) {
                auto& it = candidates[i];
                it.key = i;
                it.slots = 48;
                it.engine = true;
                it.slowness = 1 / speedOf(i);
                it.load = m_reportedSum[i];
                it.load -= m_reported[instance][i];
                it.load += m_own[instance][i];
            }
            const std::chrono::duration<double, std::milli> age(m_heartbeatMs / 2);
            sampleServers(candidates, work, 1, { std::chrono::duration_cast<Duration>(age), 0.8 }, m_random);
            const auto server = *chooseServer(candidates, work, {}, m_random.next()).best;
            m_freeAt[server] = std::max(m_now, m_freeAt[server]) + work.promptTokens / (tokensPerMs * speedOf(server));
            ServerLoadSum load;
            load.requests = 1;
            load.waitingPromptTokens[0] = static_cast<std::int32_t>(work.promptTokens);
            m_own[instance][server] += load;
            m_running.push({ m_freeAt[server], instance, server, load });
        }

        double m_now = 0;
        double m_heartbeatMs;
        double m_capacity = 0;
        std::vector<std::vector<ServerLoadSum>> m_own;
        std::vector<std::vector<ServerLoadSum>> m_reported;
        std::array<ServerLoadSum, servers> m_reportedSum {};
        std::array<double, servers> m_freeAt {};
        std::array<double, servers> m_behind {};
        double m_observed = 0;
        std::priority_queue<Running, std::vector<Running>, std::greater<>> m_running;
        SeededRandom m_random { 7 };
    };

    // Servers were overrun in turns while others were idle: each instance chose the best of a uniform sample of four, by
    // loads that were a second old, and so did all others. That left these servers behind by three times as much as
    // with loads of a tenth of a second; drawn by speed alone, without any knowledge, they would be 160 ms behind.
    TEST(EvenLoad, IsSpreadOverUnequalServersFromOldKnowledge)
    {
        for (const std::size_t instances : { 8, 86, 370 }) {
            for (const double heartbeatMs : { 100.0, 500.0, 1000.0, 2000.0 }) {
                SCOPED_TRACE(testing::Message() << instances << " instances, heartbeats every " << heartbeatMs << " ms");
                const auto spread = SharedServers(instances, heartbeatMs).play(0.8, 60000);
                EXPECT_LT(spread.slowest, 1.5);
                EXPECT_LT(spread.meanBehindMs, 160);
                // With fresh knowledge, the fast servers take more on purpose: they are done with it as soon as the others.
                if (heartbeatMs >= 500) {
                    EXPECT_LT(spread.busiest, 1.5);
                }
            }
        }
    }

} // namespace
} // namespace yuccashift
