#include "yuccashift/kernel/registry.hpp"
#include "yuccashift/routing/backend_load_tracker.hpp"
#include "yuccashift/routing/disaggregation.hpp"
#include "yuccashift/routing/entry_policy.hpp"
#include "yuccashift/routing/explanation.hpp"
#include "yuccashift/routing/prefix_blocks.hpp"
#include "yuccashift/routing/prefix_cache_tracker.hpp"
#include "yuccashift/routing/region_load_tracker.hpp"

#include <gtest/gtest.h>

namespace yuccashift {
namespace {

    struct ABackendLoadTracker : testing::Test {
        ABackendLoadTracker()
        {
            document.service = "assistant";
            document.kind = ServiceKind::Model;
            document.regions = { "sofia", "varna" };
            document.models = { { "m", "1", {} } };
            for (const char* name : { "a", "b" })
                document.backends.push_back({ name, "sofia", "hall", {}, FenceMode::Checked, BackendRole::Both, 4, {} });
            document.backends.push_back({ "far", "varna", "hall", {}, FenceMode::Checked, BackendRole::Both, 4, {} });
            request.model = "m";
        }

        BackendState state(std::size_t n) { return tracker.states(document, request, now).at(n); }

        Instant now { seconds(100) };
        Document document;
        RequestTraits request;
        BackendKey a { "assistant", "a" };
        BackendLoadTracker tracker { { "sofia", "hall" } };
    };

    TEST_F(ABackendLoadTracker, ListsOnlyTheServersOfItsRegion)
    {
        const auto states = tracker.states(document, request, now);
        ASSERT_EQ(states.size(), 2u);
        EXPECT_EQ(states[0].name, "a");
        EXPECT_FALSE(states[0].reportedAt);
    }

    TEST_F(ABackendLoadTracker, CountsOwnRequestsSinceALateReport)
    {
        tracker.onStart(a, 10, now);
        const auto before = tracker.onStart(a, 20, now + milliseconds(5));
        now += milliseconds(10);
        LoadReport report;
        report.running = 3;
        tracker.onReport(a, report, now - milliseconds(8));
        EXPECT_EQ(state(0).reportedRunning, 3u);
        EXPECT_EQ(state(0).ownStartedSinceReport, 1u);
        EXPECT_EQ(state(0).ownTokensSinceReport, 20u);
        EXPECT_EQ(state(0).ownInFlight, 2u);
        tracker.onFinish(before, RequestOutcome::Answered, now);
        EXPECT_EQ(state(0).ownFinishedSinceReport, 1u);
        EXPECT_EQ(state(0).ownInFlight, 1u);
    }

    TEST_F(ABackendLoadTracker, DropsReportsOlderThanTheStoredOne)
    {
        LoadReport report;
        report.running = 3;
        tracker.onReport(a, report, now);
        report.running = 9;
        tracker.onReport(a, report, now - seconds(1));
        EXPECT_EQ(state(0).reportedRunning, 3u);
    }

    TEST_F(ABackendLoadTracker, TakesLeavingFromTheInstanceListAndFromReports)
    {
        tracker.onLeaving(a, true);
        EXPECT_TRUE(state(0).leaving);
        tracker.onLeaving(a, false);
        EXPECT_FALSE(state(0).leaving);
        LoadReport report;
        report.leaving = true;
        tracker.onReport(a, report, now);
        EXPECT_TRUE(state(0).leaving);
    }

    TEST_F(ABackendLoadTracker, CountsEveryServerWhenTheRequestNamesNoModel)
    {
        document.backends[1].models = { "m" };
        LoadReport report;
        report.models = { { "m", "1", {} } };
        tracker.onReport(a, report, now);
        request.model.clear();
        EXPECT_TRUE(state(0).modelLoaded);
        EXPECT_TRUE(state(1).modelLoaded);
        EXPECT_EQ(aggregateLoad(tracker.states(document, request, now), now).slots, 8u);
    }

    TEST_F(ABackendLoadTracker, ComparesASlowServerWithTheOthers)
    {
        for (int n = 0; n < 10; ++n) {
            const auto slow = tracker.onStart(a, 50, now);
            const auto quick = tracker.onStart({ "assistant", "b" }, 50, now);
            tracker.onFinish(quick, RequestOutcome::Answered, now + milliseconds(100));
            tracker.onFinish(slow, RequestOutcome::Answered, now + milliseconds(900));
        }
        EXPECT_GT(state(0).meanServiceTime, state(1).meanServiceTime);
        EXPECT_EQ(state(1).slowdown, 1);
    }

    TEST_F(ABackendLoadTracker, BeginsTheSlowStartOfAServerThatWasLost)
    {
        tracker.onReport(a, {}, now);
        tracker.onLost(a, now);
        EXPECT_FALSE(state(0).reportedAt);
        EXPECT_EQ(state(0).availableSince, now);
    }

    TEST_F(ABackendLoadTracker, TakesLoadedModelsAndAdaptersFromReports)
    {
        LoadReport report;
        report.models = { { "m", "1", { "visits" } } };
        tracker.onReport(a, report, now);
        request.adapter = "visits";
        EXPECT_TRUE(state(0).adapterLoaded);
        request.adapter = "other";
        EXPECT_FALSE(state(0).adapterLoaded);
        request.model = "unknown";
        EXPECT_FALSE(state(0).modelLoaded);
    }

    TEST(ARegionLoadTracker, ReturnsTheStateOfEveryRegionOfTheDocument)
    {
        const Instant now { seconds(100) };
        Document document;
        document.regions = { "sofia", "varna", "plovdiv" };
        RequestTraits request;
        request.service = "assistant";
        RegionLoadTracker tracker({ "sofia" });
        tracker.onSummary("varna", "assistant", { 8, 2, milliseconds(7), seconds(1) }, now - seconds(1));
        tracker.onSummary("varna", "assistant", { 8, 8, milliseconds(9), seconds(1) }, now - seconds(2));
        tracker.onSent("varna", "assistant", now);
        tracker.onReachable("plovdiv", false, now - seconds(9));
        tracker.onReachable("plovdiv", true, now);
        const auto states = tracker.states(document, request, { 4, 1, {}, {} }, now);
        ASSERT_EQ(states.size(), 3u);
        EXPECT_EQ(states[0].slots, 4u);
        EXPECT_EQ(states[1].busySlots, 2u);
        EXPECT_EQ(states[1].summaryAge, seconds(1));
        EXPECT_EQ(states[1].ownSentSinceSummary, 1u);
        EXPECT_EQ(states[2].slots, 0u);
        EXPECT_EQ(states[2].reachableSince, now);
    }

    TEST(PrefixBlocks, AreChainedSoThatEqualPrefixesHaveEqualBlocks)
    {
        const std::string shared(256, 'p');
        const auto first = prefixBlocks(shared + "first question, long enough", 16);
        const auto second = prefixBlocks(shared + "another one", 16);
        ASSERT_EQ(first.size(), 4u);
        EXPECT_EQ(first, second);
        EXPECT_NE(first[0], first[1]);
        const auto other = prefixBlocks("x" + shared, 16);
        EXPECT_NE(other[3], first[3]);
        EXPECT_TRUE(prefixBlocks(shared, 0).empty());
    }

    TEST(PrefixBlocks, MatchTheHashInThePlatformDocumentation)
    {
        // The first eight bytes of the SHA-256 of eight zero bytes followed by "abcd".
        EXPECT_EQ(prefixBlocks("abcd", 1), std::vector<std::uint64_t> { 0x6e950926d313481b });
    }

    struct APrefixCacheTracker : testing::Test {
        std::uint32_t cached(double trust = 100) { return tracker.cachedTokens(key, blocks, 10, trust); }

        const BackendKey key { "assistant", "a" };
        const std::vector<std::uint64_t> blocks { 1, 2, 3 };
        PrefixCacheTracker tracker { 4 };
    };

    TEST_F(APrefixCacheTracker, FollowsEventsAndOwnRequests)
    {
        EXPECT_EQ(cached(), 0u);
        tracker.onEvents(key, std::vector<CacheEvent> { { 1, true, 1 }, { 2, true, 2 } });
        EXPECT_EQ(cached(), 20u);
        EXPECT_EQ(cached(50), 10u);
        tracker.onSent(key, blocks);
        EXPECT_EQ(cached(), 30u);
        tracker.onEvents(key, std::vector<CacheEvent> { { 3, false, 3 }, { 4, false, 2 } });
        EXPECT_EQ(cached(), 10u);
        tracker.onLost(key);
        EXPECT_EQ(cached(), 0u);
    }

    TEST_F(APrefixCacheTracker, ScalesItsEstimateDownByMissedEvents)
    {
        tracker.onEvents(key, std::vector<CacheEvent> { { 1, true, 1 }, { 4, true, 3 } });
        EXPECT_NEAR(tracker.eventCompleteness(key), 0.5, 0.01);
        EXPECT_NEAR(cached(), 15, 1);
    }

    TEST_F(APrefixCacheTracker, DropsEventsThatArriveTwiceOrLate)
    {
        tracker.onEvents(key, std::vector<CacheEvent> { { 1, true, 1 }, { 2, false, 1 } });
        tracker.onEvents(key, std::vector<CacheEvent> { { 1, true, 1 } });
        EXPECT_EQ(cached(), 0u);
        EXPECT_EQ(tracker.lastSequence(key), 2u);
    }

    TEST_F(APrefixCacheTracker, EvictsTheLeastRecentlyUsedBlocksWhenFull)
    {
        tracker.onSent(key, blocks);
        tracker.onSent(key, std::vector<std::uint64_t> { 7, 8, 9, 10 });
        EXPECT_EQ(cached(), 0u);
    }

    TEST(APrefixCacheTrackerOfManyServers, KeepsItsTotalWithinTheLimit)
    {
        constexpr std::size_t servers = 400;
        constexpr std::size_t limit = 2000;
        PrefixCacheTracker tracker(1000, limit);
        std::vector<std::uint64_t> blocks(1500);
        for (std::size_t n = 0; n < blocks.size(); ++n)
            blocks[n] = n + 1;
        for (std::size_t n = 0; n < servers; ++n)
            tracker.onSent({ "assistant", "worker-" + std::to_string(n) }, blocks);
        // A shard is trimmed only when it gains a server, so the total may exceed the limit a little.
        EXPECT_LE(tracker.size(), limit + limit / 4);
        EXPECT_GE(tracker.size(), servers);
        // The blocks that were sent last count as cached for a server that is used again.
        tracker.onSent({ "assistant", "worker-0" }, blocks);
        EXPECT_EQ(tracker.cachedTokens({ "assistant", "worker-0" }, blocks, 1, 100), blocks.size());
        tracker.onLost({ "assistant", "worker-0" });
        EXPECT_EQ(tracker.cachedTokens({ "assistant", "worker-0" }, blocks, 1, 100), 0u);
    }

    struct KvTransferBetweenServers : testing::Test {
        KvTransferBetweenServers()
        {
            request.allowedRegions = { "sofia" };
            request.promptTokens = 8000;
            states.resize(2);
            for (auto& state : states)
                state.region = "sofia";
        }

        PrefillMode mode(double linkTokensPerSecond) { return planPrefill(request, states, 0, { linkTokensPerSecond }, now).mode; }

        Instant now { seconds(100) };
        RequestTraits request;
        std::vector<BackendState> states;
    };

    TEST_F(KvTransferBetweenServers, IsPlannedOnlyIfFasterThanRecomputing)
    {
        EXPECT_EQ(mode(1e6), PrefillMode::Recompute);
        states[1].cachedTokens = 7000;
        EXPECT_EQ(mode(1e6), PrefillMode::ImportCached);
        EXPECT_EQ(mode(8000), PrefillMode::Recompute);
        states[0].cachedTokens = 7000;
        EXPECT_EQ(mode(1e6), PrefillMode::Recompute);
    }

    TEST_F(KvTransferBetweenServers, UsesAnIdlePrefillServerButNoneOutsideTheAllowedRegions)
    {
        states[1].role = BackendRole::Prefill;
        states[1].prefillTokensPerSecond = 80000;
        EXPECT_EQ(mode(1e6), PrefillMode::RemotePrefill);
        states[1].region = "varna";
        EXPECT_EQ(mode(1e6), PrefillMode::Recompute);
    }

    TEST(AnExplanation, NamesEachCandidateWithItsReason)
    {
        const Decision decision { 0, { { "a", RejectReason::None, milliseconds(12) }, { "b", RejectReason::Leaving, std::nullopt } } };
        EXPECT_EQ(explain(decision), (std::vector<std::string> { "a: chosen, expected 12 ms", "b: leaving" }));
    }

    struct TheEntryPolicy : testing::Test {
        TheEntryPolicy()
        {
            for (int n = 0; n < 8; ++n) {
                EntryState state;
                state.instance = "entry-" + std::to_string(n);
                state.region = n < 4 ? "sofia" : "varna";
                state.datacentre = state.region;
                states.push_back(state);
            }
            request.region = "sofia";
            request.datacentre = "sofia";
        }

        std::vector<std::size_t> rank(const std::string& caller)
        {
            request.callerKey = caller;
            return Registry<EntryPolicy>::instance().create("capacity-locality")->rank(request, states);
        }

        EntryRequest request;
        std::vector<EntryState> states;
    };

    TEST_F(TheEntryPolicy, ExcludesDrainingAndSuspectInstances)
    {
        states[0].draining = true;
        states[1].suspect = true;
        for (int n = 0; n < 100; ++n) {
            for (const auto index : rank("caller-" + std::to_string(n)))
                EXPECT_GT(index, 1u);
        }
    }

    TEST_F(TheEntryPolicy, SpreadsCallersByCapacityInTheirRegion)
    {
        states[0].capacity = 3;
        std::vector<int> counts(states.size());
        for (int n = 0; n < 1200; ++n)
            ++counts[rank("caller-" + std::to_string(n)).front()];
        EXPECT_NEAR(counts[0], 600, 80);
        EXPECT_NEAR(counts[1], 200, 60);
        EXPECT_EQ(counts[4] + counts[5] + counts[6] + counts[7], 0);
    }

    TEST_F(TheEntryPolicy, MovesOnlyTheCallersOfADrainingInstance)
    {
        for (int n = 0; n < 200; ++n) {
            const auto caller = "caller-" + std::to_string(n);
            states[2].draining = false;
            const auto before = rank(caller).front();
            states[2].draining = true;
            if (before == 2)
                continue;
            EXPECT_EQ(rank(caller).front(), before);
        }
    }

    TEST_F(TheEntryPolicy, EndsWithAnInstanceOfAnotherRegion)
    {
        const auto ranked = rank("caller");
        ASSERT_EQ(ranked.size(), 3u);
        EXPECT_LT(ranked[1], 4u);
        EXPECT_GE(ranked[2], 4u);
    }

    TEST_F(TheEntryPolicy, PrefersTheRegionsThatMayServeTheCaller)
    {
        request.allowedRegions = { "varna" };
        EXPECT_GE(rank("caller").front(), 4u);
    }

} // namespace
} // namespace yuccashift
