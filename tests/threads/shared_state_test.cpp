#include "yuccashift/config/document_store.hpp"
#include "yuccashift/kernel/random.hpp"
#include "yuccashift/keys/key_table.hpp"
#include "yuccashift/limits/shared_limits.hpp"
#include "yuccashift/membership/coordinator.hpp"
#include "yuccashift/ports/instance_list.hpp"
#include "yuccashift/resilience/outlier_ejection.hpp"
#include "yuccashift/resilience/quarantine.hpp"
#include "yuccashift/resilience/retry_budget.hpp"
#include "yuccashift/routing/backend_load_tracker.hpp"
#include "yuccashift/routing/prefix_cache_tracker.hpp"

#include <array>
#include <atomic>
#include <barrier>
#include <gtest/gtest.h>
#include <thread>

// Concurrent access to the state that the threads of one instance share. The
// assertions hold for any schedule; ThreadSanitizer detects data races in the
// schedules that occur.

namespace yuccashift {
namespace {

    constexpr std::size_t threadCount = 4;

    /** Calls the function with the thread index on all threads concurrently, and joins them. */
    template <typename Function>
    void runOnAllThreads(Function function)
    {
        std::barrier start(threadCount);
        std::vector<std::jthread> threads;
        for (std::size_t n = 0; n < threadCount; ++n) {
            threads.emplace_back([&, n] {
                start.arrive_and_wait();
                function(n);
            });
        }
    }

    constexpr Instant now { seconds(1000) };

    struct ManyThreads : testing::Test {
        static DocumentPtr document()
        {
            Document document;
            document.service = "s";
            BackendSpec backend;
            backend.name = "b";
            backend.region = "sofia";
            document.backends = { backend };
            return std::make_shared<const Document>(std::move(document));
        }
    };

    TEST_F(ManyThreads, RunEachKeyAtMostOnceWhileExpiredKeysAreRemoved)
    {
        constexpr std::size_t keys = 500;
        const KeyOwner owner { "i", 1, now - seconds(100), seconds(50) };
        KeyTable table(owner, { keys, 1 << 12, 64 });
        const KeyMinter minter("i", 1, owner.startedAt, "secret");
        SeededRandom random(1);
        std::vector<MintedKey> minted;
        for (std::size_t n = 0; n < keys; ++n)
            minted.push_back(minter.mint("o", now - milliseconds(static_cast<int>(n) * 150), random));
        std::array<std::atomic<int>, keys> runs {};
        runOnAllThreads([&](std::size_t thread) {
            for (std::size_t n = 0; n < keys; ++n) {
                const auto decision = table.begin(minted[n], 1, now);
                if (decision.verdict != KeyVerdict::Run)
                    continue;
                ++runs[n];
                if (n % 2 == 0)
                    table.finish(decision.ticket, { 200, {}, "answer" });
                else
                    table.finishUnknown(decision.ticket);
                if (thread == 0 && n % 50 == 0)
                    table.expire(now + milliseconds(n));
            }
        });
        for (const auto& count : runs)
            EXPECT_LE(count, 1);
        EXPECT_EQ(runs[0], 1) << "the newest key has not expired and must run";
    }

    TEST_F(ManyThreads, SeeOnlyIncreasingDocumentRevisions)
    {
        constexpr int revisions = 60;
        DocumentStore store;
        const auto textOf = [](int revision) {
            return "service: s\nowner: o\nrevision: " + std::to_string(revision) + "\nkind: plain\npath_prefix: /s\nregions: [sofia]\nroutes:\n  - {name: r, path: /r}\n"
                + "backends:\n  - {name: b, region: sofia, datacentre: d, address: \"127.0.0.1:9001\"}\n";
        };
        runOnAllThreads([&](std::size_t thread) {
            Revision previous = 0;
            for (int n = 0; n < revisions; ++n) {
                const int revision = 1 + (n * 7 + static_cast<int>(thread) * 13) % revisions;
                EXPECT_TRUE(store.accept(textOf(revision)));
                const auto current = store.find("s")->revision;
                EXPECT_GE(current, previous);
                EXPECT_GE(current, static_cast<Revision>(revision));
                previous = current;
            }
        });
        EXPECT_EQ(store.find("s")->revision, static_cast<Revision>(revisions));
    }

    TEST_F(ManyThreads, CountInFlightRequestsOfBackendServersExactly)
    {
        BackendLoadTracker loads({ "sofia", "d" });
        PrefixCacheTracker caches;
        OutlierEjection ejection;
        const auto shared = document();
        const BackendKey key { "s", "b" };
        runOnAllThreads([&](std::size_t thread) {
            for (int n = 0; n < 300; ++n) {
                const auto request = loads.onStart(key, 10, now);
                loads.onReport(key, {}, now - milliseconds(n));
                caches.onSent(key, std::array<std::uint64_t, 2> { thread, static_cast<std::uint64_t>(n) });
                ejection.onFailure("s", "b", now);
                auto states = loads.states(*shared, {}, now, &caches);
                ejection.apply("s", states, now);
                EXPECT_GE(states.at(0).ownInFlight, 1U);
                loads.onFinish(request, RequestOutcome::Answered, now);
            }
        });
        EXPECT_EQ(loads.states(*shared, {}, now).at(0).ownInFlight, 0U);
    }

    TEST_F(ManyThreads, DoNotOverspendABudget)
    {
        SharedLimits limits("i");
        RetryBudget retries;
        OrganisationSpec organisation;
        organisation.name = "o";
        organisation.limits.requestsPerSecond = 100;
        retries.onRequest("s", "o", { 3, 0 });
        std::atomic<int> admitted = 0;
        std::atomic<int> retried = 0;
        runOnAllThreads([&](std::size_t thread) {
            for (int n = 0; n < 200; ++n) {
                admitted += limits.admit("s", organisation, now) ? 1 : 0;
                retried += retries.tryRetry("s", "o", { 3, 0 }, 1) ? 1 : 0;
                limits.onPeerDemand("p" + std::to_string(thread), {}, now);
                limits.largestDemands(4, now);
            }
        });
        EXPECT_EQ(admitted, 50) << "the burst is half a second of 100 requests per second, and no time passes";
        EXPECT_EQ(retried, 1) << "each organisation starts with a reserve of one retry";
    }

    TEST_F(ManyThreads, AgreeOnWhatIsQuarantined)
    {
        Quarantine quarantine;
        runOnAllThreads([&](std::size_t thread) {
            for (std::uint64_t n = 0; n < 200; ++n) {
                quarantine.onBackendCrash(thread, std::array { n }, now);
                quarantine.merge(quarantine.takeRecordsForHeartbeat(now, 8), now);
                quarantine.mayRunAlongside(n, std::array { n }, now);
            }
        });
        for (std::uint64_t n = 0; n < 200; ++n)
            EXPECT_TRUE(quarantine.isQuarantined(n, now)) << "each thread reported the crash of a different server";
    }

    TEST_F(ManyThreads, ReadTheMemberTableWhileOneUpdatesIt)
    {
        DocumentStore store;
        MemberInfo self;
        self.instance = "i0";
        self.incarnation = 1;
        self.region = "sofia";
        Quarantine quarantine;
        CoordinatorHooks hooks;
        hooks.quarantine = &quarantine;
        Coordinator coordinator(self, store, hooks, std::make_unique<SeededRandom>(1));
        runOnAllThreads([&](std::size_t thread) {
            for (int n = 0; n < 200; ++n) {
                const auto moment = now + milliseconds(100) * n;
                if (thread == 0)
                    coordinator.tick(moment);
                wire::Frame frame;
                frame.heartbeat.sender.instance = "i" + std::to_string(thread + 1);
                frame.heartbeat.sender.incarnation = 1;
                frame.heartbeat.sequence = n + 1;
                frame.heartbeat.sender.__set_region("sofia");
                frame.__isset.heartbeat = true;
                coordinator.receive(frame.heartbeat.sender.instance, frame, moment);
                quarantine.onBackendCrash(thread, std::array<std::uint64_t, 1> { thread }, moment);
                EXPECT_LE(coordinator.view()->members.size(), threadCount);
            }
        });
        coordinator.tick(now + seconds(20));
        EXPECT_EQ(coordinator.view()->members.size(), threadCount);
    }

} // namespace
} // namespace yuccashift
