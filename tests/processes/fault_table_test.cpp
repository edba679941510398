#include "tests/support/two_regions.hpp"
#include "tests/support/wait.hpp"

#include <atomic>
#include <csignal>
#include <gtest/gtest.h>
#include <mutex>
#include <thread>

namespace yuccashift::test {
namespace {

    constexpr std::size_t callers = 4;
    constexpr std::size_t roundsPerCaller = 12;
    constexpr std::size_t roundsBeforeFault = 8;
    constexpr std::size_t roundsBeforeHeal = 24;
    constexpr std::size_t sendsPerKey = 3;
    constexpr std::chrono::milliseconds callerTimeout { 5000 };

    /** Callers that send a chat, a plain read and a non-idempotent call in each round, and record the outcomes. */
    class Load {
    public:
        explicit Load(TwoRegions& regions)
            : m_regions(regions)
        {
            for (std::size_t n = 0; n < callers; ++n)
                m_threads.emplace_back([this, n] { callAll(n); });
        }

        ~Load() { finish(); }
        Load(const Load&) = delete;
        Load& operator=(const Load&) = delete;

        /** Waits until the callers have finished this number of rounds in total. Returns false on a timeout. */
        bool waitForRounds(std::size_t rounds)
        {
            return waitUntil([&] { return m_rounds >= rounds; }, overallTimeout * 3);
        }

        void finish()
        {
            for (auto& thread : m_threads)
                thread.join();
            m_threads.clear();
        }

        std::vector<std::string> wrong;
        std::vector<KeyedCall> keyed;
        std::size_t whole = 0;

    private:
        void callAll(std::size_t caller)
        {
            for (std::size_t round = 0; round < roundsPerCaller; ++round) {
                const auto name = std::to_string(caller) + "." + std::to_string(round);
                const auto entry = caller + round;
                sendChat(entry, name, round % 2 == 0);
                sendRead(entry, name);
                auto call = m_regions.redeem(entry, sendsPerKey, "redeem " + name);
                const std::lock_guard lock(m_mutex);
                keyed.push_back(std::move(call));
                ++m_rounds;
            }
        }

        void sendChat(std::size_t entry, const std::string& name, bool stream)
        {
            const ChatCall chat { "itinerary", "plan for caller " + name, 12, stream };
            auto request = chatRequest(m_regions.entryAt(entry), anywhereCredential, chat);
            request.timeout = callerTimeout;
            const auto reply = send(request);
            recordOutcome(judgeChat(chat, reply), "chat " + name, reply);
        }

        void sendRead(std::size_t entry, const std::string& name)
        {
            auto request = plainRequest(m_regions.entryAt(entry), anywhereCredential, "GET", "/ledger/balance/" + name, "");
            request.timeout = callerTimeout;
            const auto reply = send(request);
            recordOutcome(judgePlain(request, reply), "read " + name, reply);
        }

        void recordOutcome(Outcome outcome, const std::string& what, const HttpReply& reply)
        {
            const std::lock_guard lock(m_mutex);
            if (outcome == Outcome::Whole)
                ++whole;
            if (outcome == Outcome::Wrong)
                wrong.push_back(what + ": " + reply.body);
        }

        TwoRegions& m_regions;
        std::vector<std::thread> m_threads;
        std::mutex m_mutex;
        std::atomic<std::size_t> m_rounds = 0;
    };

    struct FaultCase {
        std::string name;
        std::function<void(ProcessFleet&)> inject;
        std::function<void(ProcessFleet&)> heal;
        /** Instances that must serve after the fault was healed. */
        std::vector<InstanceId> survivors;
    };

    const std::vector<InstanceId> allInstances = TwoRegions::allInstances();
    const std::vector<InstanceId> allButOne = { "sofia-1", "varna-1", "varna-2" };

    void noAction(ProcessFleet&) { }

    void setHangMode(ProcessFleet& fleet, const std::string& mode)
    {
        for (const auto* name : { "engine-sofia-1", "engine-varna-1", "ledger-sofia" })
            fleet.control(name, "/control/hang", "{\"mode\": \"" + mode + "\"}");
    }

    void loseAnswers(ProcessFleet& fleet)
    {
        fleet.control("ledger-sofia", "/control/lose-answers", R"({"count": 6})");
        fleet.control("ledger-varna", "/control/lose-answers", R"({"count": 6})");
    }

    void cutAnswers(ProcessFleet& fleet)
    {
        fleet.control("ledger-sofia", "/control/cut-answers", R"({"count": 6})");
        fleet.control("engine-sofia-1", "/control/cut-streams", R"({"count": 4, "after_tokens": 3})");
        fleet.control("engine-varna-1", "/control/cut-streams", R"({"count": 4, "after_tokens": 0})");
    }

    void setConfigServiceMode(ProcessFleet& fleet, const std::string& mode)
    {
        fleet.control("config_service", "/control/mode", "{\"mode\": \"" + mode + "\"}");
    }

    std::vector<FaultCase> faultTable()
    {
        return {
            { "NoFault", noAction, noAction, allInstances },
            { "InstanceKilled", [](auto& fleet) { fleet.instance("sofia-2").process->signal(SIGKILL); }, noAction, allButOne },
            { "InstanceStoppedAndContinued", [](auto& fleet) { fleet.instance("sofia-2").process->signal(SIGSTOP); },
                [](auto& fleet) { fleet.instance("sofia-2").process->signal(SIGCONT); }, allInstances },
            { "RegionStoppedAndContinued",
                [](auto& fleet) {
                    fleet.instance("varna-1").process->signal(SIGSTOP);
                    fleet.instance("varna-2").process->signal(SIGSTOP);
                },
                [](auto& fleet) {
                    fleet.instance("varna-1").process->signal(SIGCONT);
                    fleet.instance("varna-2").process->signal(SIGCONT);
                },
                allInstances },
            { "InstanceDrained", [](auto& fleet) { fleet.instance("sofia-2").process->signal(SIGTERM); }, noAction, allButOne },
            { "EngineKilled", [](auto& fleet) { fleet.killStandin("engine-sofia-1"); }, noAction, allInstances },
            { "OpenConnectionsSilent", [](auto& fleet) { setHangMode(fleet, "open"); }, [](auto& fleet) { setHangMode(fleet, "off"); }, allInstances },
            { "BackendsSilent", [](auto& fleet) { setHangMode(fleet, "all"); }, [](auto& fleet) { setHangMode(fleet, "off"); }, allInstances },
            { "AnswersLost", loseAnswers, noAction, allInstances },
            { "AnswersCut", cutAnswers, noAction, allInstances },
            { "ConfigServiceDown", [](auto& fleet) { setConfigServiceMode(fleet, "down"); }, [](auto& fleet) { setConfigServiceMode(fleet, "up"); }, allInstances },
            { "ConfigServiceStale", [](auto& fleet) { setConfigServiceMode(fleet, "stale"); }, [](auto& fleet) { setConfigServiceMode(fleet, "up"); }, allInstances },
            { "InstanceKilledWhileAnswersAreLost",
                [](auto& fleet) {
                    loseAnswers(fleet);
                    fleet.instance("sofia-2").process->signal(SIGKILL);
                },
                noAction, allButOne },
        };
    }

    class FaultTable : public testing::TestWithParam<FaultCase> { };

    TEST_P(FaultTable, ReturnsOnlyMatchingCompleteAnswersAndRunsEveryKeyAtMostOnce)
    {
        TwoRegions regions("fault-" + GetParam().name);
        Load load(regions);
        ASSERT_TRUE(load.waitForRounds(roundsBeforeFault));
        GetParam().inject(regions.fleet());
        ASSERT_TRUE(load.waitForRounds(roundsBeforeHeal));
        GetParam().heal(regions.fleet());
        load.finish();
        EXPECT_TRUE(regions.serves(GetParam().survivors));

        EXPECT_EQ(load.wrong, std::vector<std::string>());
        EXPECT_GT(load.whole, 0u);
        for (const auto& call : load.keyed) {
            const auto runs = regions.runsOf(call.key);
            EXPECT_LE(runs, 1u) << call.key;
            EXPECT_TRUE(!call.anyWhole() || runs == 1) << call.key;
            EXPECT_TRUE(!call.allNotRun() || runs == 0) << call.key;
        }
    }

    INSTANTIATE_TEST_SUITE_P(OverRealProcesses, FaultTable, testing::ValuesIn(faultTable()),
        [](const auto& info) { return info.param.name; });

} // namespace
} // namespace yuccashift::test
