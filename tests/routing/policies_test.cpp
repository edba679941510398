#include "yuccashift/kernel/registry.hpp"
#include "yuccashift/routing/policies.hpp"

#include <gtest/gtest.h>

namespace yuccashift {
namespace {

    struct ABackendPolicy : testing::Test {
        ABackendPolicy()
        {
            request.allowedRegions = { "sofia" };
            request.promptTokens = 800;
            request.expectedOutputTokens = 60;
            request.prefixBlocks = { 11, 12 };
            for (int n = 0; n < 4; ++n) {
                BackendState state;
                state.name = "worker-" + std::to_string(n);
                state.region = "sofia";
                state.slots = 4;
                state.reportedAt = now;
                states.push_back(state);
            }
        }

        Decision choose(std::string_view policy)
        {
            const auto plugin = Registry<BackendPolicy>::instance().create(policy);
            return plugin->choose(request, states, now, random);
        }

        Instant now { seconds(100) };
        SeededRandom random { 7 };
        RequestTraits request;
        std::vector<BackendState> states;
    };

    TEST_F(ABackendPolicy, NeverChoosesAnIneligibleServer)
    {
        struct Case {
            RejectReason reason;
            void (*makeIneligible)(BackendState&);
        };
        const std::vector<Case> cases {
            { RejectReason::Residency, [](BackendState& state) { state.region = "varna"; } },
            { RejectReason::Leaving, [](BackendState& state) { state.leaving = true; } },
            { RejectReason::Ejected, [](BackendState& state) { state.ejected = true; } },
            { RejectReason::ModelMissing, [](BackendState& state) { state.adapterLoaded = false; } },
            { RejectReason::RoleMismatch, [](BackendState& state) { state.role = BackendRole::Prefill; } },
            { RejectReason::AlreadyTried, [](BackendState& state) { state.name = "tried"; } },
        };
        request.triedBackends = { "tried" };
        const auto initial = states;
        for (const auto& name : Registry<BackendPolicy>::instance().names()) {
            for (const auto& row : cases) {
                states = initial;
                for (std::size_t n = 1; n < states.size(); ++n)
                    row.makeIneligible(states[n]);
                const auto decision = choose(name);
                ASSERT_EQ(decision.chosen, 0u) << name << ' ' << toString(row.reason);
                EXPECT_EQ(decision.candidates[0].reason, RejectReason::None) << name;
                EXPECT_EQ(decision.candidates[2].reason, row.reason) << name;
                if (row.reason == RejectReason::Ejected)
                    continue;
                row.makeIneligible(states[0]);
                EXPECT_FALSE(choose(name).chosen) << name << ' ' << toString(row.reason);
            }
        }
    }

    TEST_F(ABackendPolicy, GivesAReasonForEveryCandidateExceptTheChosenOne)
    {
        for (const auto& name : Registry<BackendPolicy>::instance().names()) {
            for (int n = 0; n < 50; ++n) {
                const auto decision = choose(name);
                ASSERT_TRUE(decision.chosen);
                ASSERT_EQ(decision.candidates.size(), states.size());
                for (std::size_t k = 0; k < states.size(); ++k) {
                    EXPECT_EQ(decision.candidates[k].name, states[k].name);
                    EXPECT_EQ(decision.candidates[k].reason == RejectReason::None, k == *decision.chosen);
                }
            }
        }
    }

    TEST_F(ABackendPolicy, UsesAnEjectedServerIfNoOtherIsLeft)
    {
        for (auto& state : states)
            state.ejected = true;
        EXPECT_TRUE(choose("expected-latency").chosen);
    }

    TEST_F(ABackendPolicy, ExpectedLatencyPrefersTheServerThatAnswersEarlier)
    {
        struct Case {
            const char* description;
            void (*change)(BackendState& better, BackendState& worse);
        };
        const std::vector<Case> cases {
            { "a shorter reported queue", [](BackendState&, BackendState& worse) { worse.reportedWaiting = 20; } },
            { "fewer own requests since the report", [](BackendState&, BackendState& worse) { worse.ownStartedSinceReport = 20; } },
            { "no own requests in flight beyond the report", [](BackendState&, BackendState& worse) { worse.ownInFlight = 20; } },
            { "the prompt in its cache", [](BackendState& better, BackendState&) { better.cachedTokens = 700; } },
            { "a normal speed", [](BackendState&, BackendState& worse) { worse.slowdown = 4; } },
            { "a shorter round trip", [](BackendState&, BackendState& worse) { worse.roundTrip = milliseconds(30); } },
        };
        const auto initial = states;
        for (const auto& row : cases) {
            for (std::size_t better = 0; better < initial.size(); ++better) {
                states = initial;
                for (auto& worse : states) {
                    if (&worse != &states[better])
                        row.change(states[better], worse);
                }
                EXPECT_EQ(choose("expected-latency").chosen, better) << row.description;
            }
        }
    }

    TEST_F(ABackendPolicy, ExpectedLatencySpreadsOverTies)
    {
        std::vector<int> counts(states.size());
        for (int n = 0; n < 400; ++n)
            ++counts[*choose("expected-latency").chosen];
        for (const int count : counts)
            EXPECT_GT(count, 60);
    }

    struct ARegionPolicy : testing::Test {
        ARegionPolicy()
        {
            request.allowedRegions = { "sofia", "varna" };
            request.promptTokens = 800;
            for (const char* name : { "sofia", "plovdiv", "varna" }) {
                RegionState state;
                state.name = name;
                state.slots = 16;
                state.roundTrip = name == std::string("sofia") ? Duration::zero() : milliseconds(60);
                states.push_back(state);
            }
        }

        int countRemote(std::string_view policy, int draws = 200)
        {
            const auto plugin = Registry<RegionPolicy>::instance().create(policy);
            int remote = 0;
            for (int n = 0; n < draws; ++n) {
                const auto decision = plugin->choose(request, spill, "sofia", states, now, random);
                if (decision.chosen && *decision.chosen != 0)
                    ++remote;
                EXPECT_NE(decision.chosen, 1u) << "outside the allowed regions";
                EXPECT_EQ(decision.candidates[1].reason, RejectReason::Residency);
            }
            return remote;
        }

        Instant now { seconds(100) };
        SeededRandom random { 7 };
        RequestTraits request;
        SpillSpec spill;
        std::vector<RegionState> states;
    };

    TEST_F(ARegionPolicy, KeepsRequestsLocalUntilTheTimeSavedExceedsTheCost)
    {
        EXPECT_EQ(countRemote("expected-latency"), 0);
        states[0].queueWait = milliseconds(150);
        EXPECT_EQ(countRemote("expected-latency"), 0);
        states[0].queueWait = seconds(5);
        EXPECT_GT(countRemote("expected-latency"), 0);
        EXPECT_EQ(countRemote("local-only"), 0);
        spill.mode = SpillMode::Never;
        EXPECT_EQ(countRemote("expected-latency"), 0);
    }

    TEST_F(ARegionPolicy, KeepsRequestsLocalThatCanWaitForTheirDeadline)
    {
        states[0].queueWait = seconds(3);
        request.deadline = now + seconds(60);
        request.priority = Priority::Urgent;
        const int urgent = countRemote("expected-latency");
        request.priority = Priority::Normal;
        EXPECT_EQ(countRemote("expected-latency"), 0);
        request.priority = Priority::Batch;
        EXPECT_EQ(countRemote("expected-latency"), 0);
        EXPECT_GT(urgent, 100);
        request.deadline = now + seconds(10);
        EXPECT_GT(countRemote("expected-latency"), 0);
    }

    TEST_F(ARegionPolicy, SpillsFewerRequestsToALessSuitableRegion)
    {
        states[0].queueWait = seconds(1);
        const auto initial = states;
        const int baseline = countRemote("expected-latency");
        struct Case {
            const char* description;
            void (*change)(RegionState&);
        };
        const std::vector<Case> cases {
            { "old summary", [](RegionState& state) { state.summaryAge = seconds(60); } },
            { "unreachable", [](RegionState& state) { state.reachable = false; } },
            { "many requests sent since the summary", [](RegionState& state) { state.ownSentSinceSummary = 60; } },
            { "others see the same summary", [](RegionState& state) { state.ownSentSinceSummary = 6; state.observerCount = 8; } },
            { "no capacity", [](RegionState& state) { state.slots = 0; } },
        };
        for (const auto& row : cases) {
            states = initial;
            row.change(states[2]);
            EXPECT_LT(countRemote("expected-latency"), baseline) << row.description;
        }
    }

    TEST_F(ARegionPolicy, UsesAnotherRegionIfTheLocalOneIsNotAllowedOrHasNoSlots)
    {
        request.allowedRegions = { "varna" };
        EXPECT_EQ(countRemote("expected-latency"), 200);
        request.allowedRegions = { "sofia", "varna" };
        states[0].slots = 0;
        EXPECT_EQ(countRemote("expected-latency"), 200);
    }

    TEST_F(ARegionPolicy, ChoosesNoRegionIfNoAllowedOneIsAvailable)
    {
        request.allowedRegions = { "burgas" };
        for (const auto& name : Registry<RegionPolicy>::instance().names()) {
            const auto plugin = Registry<RegionPolicy>::instance().create(name);
            EXPECT_FALSE(plugin->choose(request, spill, "sofia", states, now, random).chosen) << name;
        }
    }

} // namespace
} // namespace yuccashift
