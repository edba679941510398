#include "yuccashift/config/source_reader.hpp"

#include "tests/support/mesh.hpp"

#include <algorithm>
#include <gtest/gtest.h>
#include <list>

namespace yuccashift {
namespace {

    using testing::documentText;

    TEST(Watchers, AreTheSameTwoForAllInstancesThatSeeTheSameMembers)
    {
        std::vector<InstanceId> live { "a", "b", "c", "d", "e" };
        const auto watchers = chooseWatchers("lagos", live);
        ASSERT_EQ(watchers.size(), 2u);
        std::ranges::reverse(live);
        EXPECT_EQ(chooseWatchers("lagos", live), watchers);
        std::erase(live, watchers[0]);
        EXPECT_EQ(chooseWatchers("lagos", live).front(), watchers[1]);
        EXPECT_TRUE(isWatcher(watchers[1], "lagos", live));
    }

    TEST(PollsOfARegion, StayAtTheSameRateHoweverManyInstancesItHas)
    {
        const auto pollsPerSecond = [](std::size_t instances) {
            return static_cast<double>(instances) / std::chrono::duration<double>(pollInterval(instances)).count();
        };
        EXPECT_GE(pollInterval(1), milliseconds(2500));
        EXPECT_NEAR(pollsPerSecond(100), pollsPerSecond(400), 0.01);
        // With a third of the instances turned away by the store, the region still learns of a change within about a second.
        EXPECT_GE(pollsPerSecond(100), 1.5);
    }

    /** Several readers of one configuration service; counts the calls to it. */
    class SourceReaders : public ::testing::Test {
    protected:
        struct Reader {
            DocumentStore store;
            SeededRandom random { 1 };
            std::unique_ptr<SourceReader> reader;
            Instant due;
            bool watches = false;
        };

        void add(std::size_t count, std::size_t watchers)
        {
            for (std::size_t n = 0; n < count; ++n) {
                auto& added = m_readers.emplace_back();
                added.random = SeededRandom(n);
                added.reader = std::make_unique<SourceReader>("i" + std::to_string(n), added.store, added.random, m_now);
                added.reader->setRole(n < watchers, count);
                added.due = m_now;
            }
        }

        void publish(std::size_t services, Revision revision)
        {
            m_published = {};
            m_published.index = revision;
            for (std::size_t n = 0; n < services; ++n)
                m_published.documents.push_back({ "s" + std::to_string(n), revision });
        }

        void call(Reader& it, const SourceStep& step)
        {
            ++m_calls;
            if (m_unavailable)
                it.reader->onFailure(step.service, m_now);
            else if (step.action == SourceAction::Read)
                it.reader->onText(step.service, it.store.accept(documentText(step.service, m_published.index), step.service), m_now);
            else
                it.reader->onListing(m_published, m_now);
            if (step.action == SourceAction::Watch && step.index >= m_published.index)
                it.due = m_now + step.wait;
        }

        /** Runs all readers for the given time. Returns the maximum number of calls within one second. */
        std::size_t run(Duration duration)
        {
            std::size_t maxCalls = 0;
            for (const auto end = m_now + duration; m_now < end;) {
                m_calls = 0;
                for (int n = 0; n < 10; ++n, m_now += milliseconds(100)) {
                    for (auto& it : m_readers)
                        step(it);
                }
                maxCalls = std::max(maxCalls, m_calls);
            }
            return maxCalls;
        }

        void step(Reader& it)
        {
            if (m_now < it.due)
                return;
            const auto step = it.reader->next(m_now);
            it.due = m_now;
            if (step.action == SourceAction::Wait)
                it.due = m_now + step.wait;
            else
                call(it, step);
        }

        Instant m_now { seconds(1000) };
        std::list<Reader> m_readers;
        ConfigListing m_published;
        bool m_unavailable = false;
        std::size_t m_calls = 0;
    };

    TEST_F(SourceReaders, StayWithinTheReadRateWhenAllInstancesRestart)
    {
        add(370, 48);
        publish(20, 1);
        EXPECT_LE(run(seconds(120)), static_cast<std::size_t>(fleetReadsPerSecond));
        for (const auto& it : m_readers)
            EXPECT_TRUE(it.reader->complete());
    }

    TEST_F(SourceReaders, StayWithinTheReadRateWhenTheServiceReturnsAfterAnOutage)
    {
        add(370, 48);
        m_unavailable = true;
        EXPECT_LE(run(seconds(600)), static_cast<std::size_t>(fleetReadsPerSecond));
        m_unavailable = false;
        publish(20, 9);
        EXPECT_LE(run(seconds(60)), static_cast<std::size_t>(fleetReadsPerSecond));
    }

    TEST_F(SourceReaders, PollRarelyOnceTheyHoldAllDocuments)
    {
        add(370, 48);
        publish(5, 1);
        run(seconds(120));
        EXPECT_LE(run(seconds(60)), 60u);
    }

    TEST_F(SourceReaders, WithoutAWatchWaitForTheirPeersBeforeTheyReadAChange)
    {
        add(2, 1);
        publish(3, 1);
        run(seconds(10));
        publish(3, 2);
        auto& other = m_readers.back();
        other.reader->onListing(m_published, m_now);
        EXPECT_EQ(other.reader->next(m_now + seconds(1)).action, SourceAction::Wait);
        EXPECT_EQ(other.reader->next(m_now + seconds(4)).action, SourceAction::Read);
    }

    TEST_F(SourceReaders, DoNotReadAnInvalidTextAgainUntilItsRevisionGrows)
    {
        add(1, 1);
        publish(1, 5);
        auto& it = m_readers.front();
        it.reader->onListing(m_published, m_now);
        EXPECT_EQ(it.reader->next(m_now).action, SourceAction::Read);
        it.reader->onText("s0", fail(ErrorKind::BadDocument), m_now);
        EXPECT_EQ(it.reader->next(m_now + seconds(5)).action, SourceAction::Watch);
        publish(1, 6);
        it.reader->onListing(m_published, m_now + seconds(10));
        EXPECT_EQ(it.reader->next(m_now + seconds(10)).action, SourceAction::Read);
    }

    TEST_F(SourceReaders, ReadTheOtherDocumentsWhenOneCannotBeRead)
    {
        add(1, 1);
        publish(3, 5);
        auto& it = m_readers.front();
        it.reader->onListing(m_published, m_now);
        const auto unreadable = it.reader->next(m_now).service;
        it.reader->onFailure(unreadable, m_now);
        EXPECT_EQ(it.reader->next(m_now).action, SourceAction::Wait);
        const auto later = m_now + seconds(5);
        const auto other = it.reader->next(later);
        EXPECT_EQ(other.action, SourceAction::Read);
        EXPECT_NE(other.service, unreadable);
        it.reader->onListing(m_published, later);
        EXPECT_EQ(it.reader->next(later + seconds(1)).service, unreadable);
        EXPECT_FALSE(it.reader->complete());
    }

    TEST_F(SourceReaders, RetryWhenATextIsOlderThanItsListing)
    {
        add(1, 1);
        publish(1, 5);
        auto& it = m_readers.front();
        it.reader->onListing(m_published, m_now);
        it.reader->onText("s0", it.store.accept(documentText("s0", 4)), m_now);
        EXPECT_EQ(it.reader->next(m_now).action, SourceAction::Wait);
        EXPECT_EQ(it.reader->next(m_now + seconds(2)).action, SourceAction::Read);
    }

    TEST_F(SourceReaders, ReportTheServicesForWhichTheSourceIsStale)
    {
        add(1, 1);
        auto& it = m_readers.front();
        EXPECT_TRUE(it.store.accept(documentText("s0", 8)));
        publish(2, 5);
        it.reader->onListing(m_published, m_now);
        EXPECT_EQ(it.reader->staleServices(), std::vector<ServiceName> { "s0" });
    }

    TEST(WatcherCandidates, AreTheStrongestInstancesAndNeverTooFew)
    {
        const std::vector<WatcherCandidate> mixed { { "small-1", 0.05 }, { "large-1", 0.5 }, { "small-2", 0.05 }, { "large-2", 0.3 }, { "large-3", 0.5 } };
        EXPECT_EQ(strongestCandidates(mixed), (std::vector<InstanceId> { "large-1", "large-2", "large-3" }));
        const std::vector<WatcherCandidate> oneLarge { { "small-1", 0.05 }, { "large-1", 0.5 }, { "small-2", 0.04 } };
        EXPECT_EQ(strongestCandidates(oneLarge).size(), 3u);
        const std::vector<WatcherCandidate> alone { { "small-1", 0.05 } };
        EXPECT_EQ(strongestCandidates(alone).size(), 1u);
    }

} // namespace
} // namespace yuccashift
