#include "yuccashift/keys/key_table.hpp"

#include "yuccashift/kernel/random.hpp"

#include <gtest/gtest.h>
#include <thread>

namespace yuccashift {
namespace {

    constexpr Instant start { seconds(100) };
    constexpr Duration lifetime = seconds(900);
    constexpr std::uint64_t request = 1;

    class IdempotencyKeys : public ::testing::Test {
    protected:
        MintedKey mint(Duration age = {}) { return m_minter.mint("museum", start + age, m_random); }

        KeyDecision begin(const MintedKey& key, Duration age = {}) { return m_table.begin(key, request, start + age); }

        static void expectRefusal(const KeyDecision& decision, ErrorKind kind, RunState state)
        {
            ASSERT_EQ(decision.verdict, KeyVerdict::Refuse);
            EXPECT_EQ(decision.error->kind, kind);
            EXPECT_EQ(decision.error->effectiveRunState(), state);
        }

        SeededRandom m_random { 3 };
        KeyMinter m_minter { "here", 50, start, "secret" };
        KeyTable m_table { { "here", 50, start, lifetime }, { 3, 4096, 2048 } };
    };

    TEST_F(IdempotencyKeys, RunOnceAndAreReportedAsInProgressMeanwhile)
    {
        const auto key = mint();
        EXPECT_EQ(begin(key).verdict, KeyVerdict::Run);
        expectRefusal(begin(key), ErrorKind::InProgress, RunState::OutcomeUnknown);
    }

    TEST_F(IdempotencyKeys, ReplayTheStoredAnswerOnceTheyHaveFinished)
    {
        const auto key = mint();
        const auto first = begin(key);
        m_table.finish(first.ticket, { 201, { { "X-Number", "7" } }, "redeemed" });
        const auto again = begin(key, seconds(100));
        ASSERT_EQ(again.verdict, KeyVerdict::Replay);
        EXPECT_EQ(again.answer->status, 201);
        EXPECT_EQ(again.answer->headers.front().second, "7");
        EXPECT_EQ(again.answer->body, "redeemed");
    }

    TEST_F(IdempotencyKeys, AreRefusedForADifferentRequest)
    {
        const auto key = mint();
        begin(key);
        expectRefusal(m_table.begin(key, request + 1, start), ErrorKind::KeyConflict, RunState::NotRun);
    }

    TEST_F(IdempotencyKeys, KeepAnUnknownOutcome)
    {
        const auto key = mint();
        m_table.finishUnknown(begin(key).ticket, ErrorKind::AnswerIncomplete);
        expectRefusal(begin(key, seconds(800)), ErrorKind::AnswerIncomplete, RunState::OutcomeUnknown);
    }

    TEST_F(IdempotencyKeys, RunAgainOnlyAfterItIsCertainThatNothingRan)
    {
        const auto key = mint();
        const auto first = begin(key);
        m_table.releaseNotRun(first.ticket);
        const auto second = begin(key);
        ASSERT_EQ(second.verdict, KeyVerdict::Run);
        // A late call for the first attempt does not affect the second.
        m_table.releaseNotRun(first.ticket);
        m_table.finish(first.ticket, {});
        expectRefusal(begin(key), ErrorKind::InProgress, RunState::OutcomeUnknown);
    }

    TEST_F(IdempotencyKeys, AreNotReleasedOnceTheyHaveFinished)
    {
        const auto key = mint();
        const auto first = begin(key);
        m_table.finishUnknown(first.ticket);
        m_table.releaseNotRun(first.ticket);
        expectRefusal(begin(key), ErrorKind::BackendLost, RunState::OutcomeUnknown);
    }

    TEST_F(IdempotencyKeys, AreRefusedByAFullTableWhichEvictsNone)
    {
        const auto key = mint();
        m_table.finishWithoutAnswer(begin(key).ticket);
        begin(mint());
        begin(mint());
        const auto fourth = mint();
        expectRefusal(begin(fourth), ErrorKind::KeyTableFull, RunState::NotRun);
        expectRefusal(begin(key), ErrorKind::KeyExpired, RunState::Ran);
        m_table.expire(start + lifetime - milliseconds(1));
        EXPECT_EQ(m_table.size(), 3u);
    }

    TEST_F(IdempotencyKeys, AreRemovedExactlyWhenTheyExpire)
    {
        const auto key = mint(seconds(10));
        m_table.finishWithoutAnswer(begin(key, seconds(10)).ticket);
        const auto end = seconds(10) + lifetime;
        for (const Duration margin : { Duration(std::chrono::nanoseconds(1)), Duration(milliseconds(1)) }) {
            m_table.expire(start + end - margin);
            EXPECT_EQ(m_table.size(), 1u);
            expectRefusal(begin(key, end - margin), ErrorKind::KeyExpired, RunState::Ran);
        }
        m_table.expire(start + end);
        EXPECT_EQ(m_table.size(), 0u);
        expectRefusal(begin(key, end), ErrorKind::KeyExpired, RunState::OutcomeUnknown);
    }

    TEST_F(IdempotencyKeys, DoNotRunAgainForAThreadThatReadTheClockBeforeTheirRemoval)
    {
        const auto key = mint();
        m_table.finishWithoutAnswer(begin(key).ticket);
        const auto staleTime = lifetime - seconds(1);
        m_table.expire(start + lifetime);
        expectRefusal(begin(key, staleTime), ErrorKind::KeyExpired, RunState::OutcomeUnknown);
    }

    TEST_F(IdempotencyKeys, OfAnotherIncarnationAreRefused)
    {
        const KeyMinter earlier("here", 49, start, "secret");
        expectRefusal(begin(earlier.mint("museum", start, m_random)), ErrorKind::KeyOwnerUnreachable, RunState::OutcomeUnknown);
    }

    TEST_F(IdempotencyKeys, StoreAnswersUpToALimitAndRememberTheRunBeyondIt)
    {
        const auto old = mint();
        const auto recent = mint();
        const auto huge = mint();
        m_table.finish(begin(old).ticket, { 200, {}, std::string(1900, 'a') });
        m_table.finish(begin(recent).ticket, { 200, {}, std::string(1900, 'b') });
        EXPECT_EQ(begin(old).verdict, KeyVerdict::Replay);
        m_table.finish(begin(huge).ticket, { 200, {}, std::string(5000, 'c') });
        expectRefusal(begin(huge), ErrorKind::KeyExpired, RunState::Ran);
        EXPECT_LE(m_table.answerBytes(), 4096u);

        KeyTable small({ "here", 50, start, lifetime }, { 10, 3000, 2048 });
        small.finish(small.begin(old, request, start).ticket, { 200, {}, std::string(1900, 'a') });
        small.finish(small.begin(recent, request, start).ticket, { 200, {}, std::string(1900, 'b') });
        expectRefusal(small.begin(old, request, start), ErrorKind::KeyExpired, RunState::Ran);
        EXPECT_EQ(small.begin(recent, request, start).verdict, KeyVerdict::Replay);
        small.expire(start + lifetime);
        EXPECT_EQ(small.answerBytes(), 0u);
    }

    TEST_F(IdempotencyKeys, RunOnceWhenManyThreadsUseThemConcurrently)
    {
        constexpr int threads = 8;
        constexpr int keys = 500;
        KeyTable table({ "here", 50, start, lifetime }, { keys, 1 << 20, 2048 });
        std::vector<MintedKey> minted;
        minted.reserve(keys);
        for (int n = 0; n < keys; ++n)
            minted.push_back(mint());
        std::atomic<int> runs = 0;
        std::vector<std::thread> senders;
        senders.reserve(threads);
        for (int n = 0; n < threads; ++n) {
            senders.emplace_back([&] {
                for (const auto& key : minted) {
                    const auto decision = table.begin(key, request, start);
                    if (decision.verdict != KeyVerdict::Run)
                        continue;
                    ++runs;
                    table.finish(decision.ticket, { 200, {}, "done" });
                    table.expire(start + seconds(1));
                }
            });
        }
        for (auto& sender : senders)
            sender.join();
        EXPECT_EQ(runs, keys);
        EXPECT_EQ(table.size(), static_cast<std::size_t>(keys));
    }

} // namespace
} // namespace yuccashift
