#include "yuccashift/membership/member_table.hpp"

#include "yuccashift/ports/listing.hpp"

#include <gtest/gtest.h>

namespace yuccashift {
namespace {

    class AMemberTable : public ::testing::Test {
    protected:
        static MemberInfo member(const InstanceId& instance, Incarnation incarnation, const RegionName& region = "lagos")
        {
            return { instance, incarnation, region, region + "-hall", {}, { "10.0.0.1", 7000 }, false };
        }

        static InstanceListing listing(std::initializer_list<const char*> instances, bool leaving = false)
        {
            InstanceListing listing;
            for (const auto* instance : instances)
                listing.instances.push_back({ instance, "lagos", "lagos-hall", {}, {}, leaving });
            return listing;
        }

        Liveness livenessOf(const InstanceId& instance)
        {
            const auto* state = m_table.find(instance);
            return state == nullptr ? Liveness::Gone : state->liveness;
        }

        Instant m_now { seconds(100) };
        MemberTable m_table { member("self", 1) };
    };

    TEST_F(AMemberTable, ListsAnInstanceAsSuspectUntilItsFirstHeartbeat)
    {
        m_table.onListing(listing({ "a" }), m_now);
        EXPECT_EQ(livenessOf("a"), Liveness::Suspect);
        EXPECT_EQ(m_table.find("a")->info.region, "lagos");
        EXPECT_TRUE(m_table.onHeartbeat(member("a", 3), { 1, 0, true }, m_now));
        EXPECT_EQ(livenessOf("a"), Liveness::Alive);
    }

    TEST_F(AMemberTable, DoesNotConsiderAListedInstanceGoneForItsSilence)
    {
        m_table.onListing(listing({ "a" }), m_now);
        m_table.onHeartbeat(member("a", 3), { 1, 0, true }, m_now);
        m_table.refresh(m_now + std::chrono::hours(5));
        EXPECT_EQ(livenessOf("a"), Liveness::Suspect);
    }

    TEST_F(AMemberTable, ConsidersAnUnlistedInstanceGoneOnlyAfterALongSilence)
    {
        m_table.onListing(listing({ "a" }), m_now);
        m_table.onHeartbeat(member("a", 3), { 1, 0, true }, m_now);
        m_table.onListing(listing({}), m_now);
        EXPECT_EQ(livenessOf("a"), Liveness::Alive);
        m_table.refresh(m_now + seconds(61));
        EXPECT_EQ(livenessOf("a"), Liveness::Gone);
        EXPECT_EQ(m_table.find("a")->info.incarnation, 3u);
    }

    TEST_F(AMemberTable, AcceptsOnlyNewerHeartbeats)
    {
        struct Case {
            const char* description;
            Incarnation incarnation;
            std::uint64_t sequence;
            bool accepted;
        };
        const Case cases[] = {
            { "first heartbeat", 5, 10, true },
            { "duplicate", 5, 10, false },
            { "late heartbeat", 5, 9, false },
            { "next heartbeat", 5, 11, true },
            { "earlier incarnation", 4, 99, false },
            { "later incarnation with a restarted sequence", 6, 1, true },
            { "previous incarnation", 5, 12, false },
        };
        for (const auto& it : cases)
            EXPECT_EQ(m_table.onHeartbeat(member("a", it.incarnation), { it.sequence, 0, true }, m_now), it.accepted) << it.description;
        EXPECT_EQ(m_table.find("a")->info.incarnation, 6u);
    }

    TEST_F(AMemberTable, TreatsDrainingAsFinalWithinOneIncarnation)
    {
        auto draining = member("a", 5);
        draining.draining = true;
        m_table.onHeartbeat(draining, { 2, 0, true }, m_now);
        m_table.onHeartbeat(member("a", 5), { 3, 0, true }, m_now);
        EXPECT_EQ(livenessOf("a"), Liveness::Draining);
        m_table.onHeartbeat(member("a", 6), { 1, 0, true }, m_now);
        EXPECT_EQ(livenessOf("a"), Liveness::Alive);
    }

    TEST_F(AMemberTable, SendsMessagesButNoNewWorkToAnInstanceListedAsLeaving)
    {
        m_table.onHeartbeat(member("a", 5), { 1, 0, true }, m_now);
        m_table.onListing(listing({ "a" }, true), m_now);
        EXPECT_EQ(livenessOf("a"), Liveness::Leaving);
        EXPECT_TRUE(m_table.candidates("lagos").empty());
        EXPECT_EQ(m_table.reachable("lagos"), std::vector<InstanceId> { "a" });
    }

    TEST_F(AMemberTable, CountsNoMemberAsAliveAfterAPauseUntilItIsHeardAgain)
    {
        m_table.onHeartbeat(member("a", 5), { 1, 0, true }, m_now);
        m_table.discardHeartbeats(m_now + seconds(30));
        EXPECT_EQ(livenessOf("a"), Liveness::Suspect);
        EXPECT_EQ(m_table.liveInRegion(), std::vector<InstanceId> { "self" });
        m_table.onHeartbeat(member("a", 5), { 2, 0, true }, m_now + seconds(30));
        EXPECT_EQ(livenessOf("a"), Liveness::Alive);
    }

    TEST_F(AMemberTable, DetectsALaterIncarnationOfThisInstance)
    {
        m_table.onRelayed(member("self", 1), true, m_now);
        EXPECT_FALSE(m_table.superseded());
        m_table.onRelayed(member("self", 2), true, m_now);
        EXPECT_TRUE(m_table.superseded());
    }

    TEST_F(AMemberTable, RelaysAChangeInAnotherRegionThreeTimes)
    {
        m_table.onRelayed(member("remote", 4, "sofia"), true, m_now);
        std::size_t relayCount = 0;
        while (!m_table.takeUpdates(8).empty())
            ++relayCount;
        EXPECT_EQ(relayCount, 3u);
        m_table.onRelayed(member("remote", 4, "sofia"), true, m_now);
        EXPECT_TRUE(m_table.takeUpdates(8).empty());
    }

    TEST_F(AMemberTable, HasALimitedNumberOfMembers)
    {
        for (std::size_t n = 0; n < MemberTable::maxMembers + 10; ++n)
            m_table.onRelayed(member("m" + std::to_string(n), 1), false, m_now);
        EXPECT_EQ(m_table.members().size(), MemberTable::maxMembers);
        m_table.refresh(m_now + std::chrono::hours(1));
        m_table.onListing({}, m_now + std::chrono::hours(1));
        EXPECT_TRUE(m_table.members().empty());
    }

} // namespace
} // namespace yuccashift
