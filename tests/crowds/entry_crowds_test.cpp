#include "platform/standins/entry_fleet.hpp"
#include "tests/support/crowd.hpp"
#include "tests/support/scripted_server.hpp"
#include "tests/support/wait.hpp"

#include <gtest/gtest.h>

// Crowds of clients outside the limits at one instance of yuccashift-entry. Each test checks that the process lives
// within the memory and the descriptors that its settings name, and that an ordinary request is answered meanwhile.

namespace yuccashift::test {
namespace {

    constexpr std::size_t kibi = 1024;
    constexpr std::size_t mebi = 1024 * kibi;
    constexpr EntryLimits smallMachine { 120, 1024, 4 * mebi };
    const std::string instance = "sofia-1";

    class AnEntryInstance : public testing::Test {
    protected:
        AnEntryInstance()
        {
            m_fleet.setLimits(smallMachine);
            publish("ledger", m_fleet.startWorker("ledger", "sofia"));
            publish("slow", m_fleet.startWorker("slow", "sofia", { "--work-ms", "60000" }));
            m_fleet.publishConfig(1, { { "/read/", "idempotent", "ledger", {}, false, 1, 60000 }, { "/write/", "non_idempotent", "ledger", {}, false, 1, 60000 }, { "/slow/", "non_idempotent", "slow", {}, false, 1, 60000 }, { "/hostile/", "non_idempotent", "hostile", {}, false, 1, 60000 } });
            m_fleet.startEntry(instance, "sofia");
            EXPECT_TRUE(m_fleet.waitReady(instance));
            EXPECT_TRUE(waitUntil([&] { return serves(); }));
        }

        void publish(const std::string& service, const Endpoint& at)
        {
            m_fleet.publish({ service, service, "hall-sofia", at });
        }

        bool serves() { return m_fleet.call(instance, "ordinary", "GET", "/read/x").ok(); }

        static CrowdSpec spec(const Endpoint& to, CrowdBehaviour behaviour, std::size_t connections, std::size_t bytesEach, const std::string& target = "/write/x")
        {
            return { to, behaviour, connections, bytesEach, 4 * mebi, target, "X-Attempt-Id: crowd\r\nX-Deadline-Ms: 60000\r\n" };
        }

        void play(const CrowdSpec& spec)
        {
            std::vector<Endpoint> listeners;
            for (const auto it : { EntryListener::Callers, EntryListener::Readiness, EntryListener::Directory, EntryListener::Operators, EntryListener::Peers })
                listeners.push_back(m_fleet.listener(instance, it));
            const auto pid = m_fleet.entry(instance).pid();
            MemoryRecorder memory(pid, listeners);
            Crowd crowd(spec);
            crowd.play([&] {
                memory.sample();
                return true;
            });
            ASSERT_TRUE(m_fleet.runs(instance));
            EXPECT_TRUE(serves()) << "an ordinary request while the crowd holds its connections";
            memory.sample();
            ASSERT_TRUE(m_fleet.runs(instance));
            EXPECT_LE(memory.peakBytes(), smallMachine.memoryMb * mebi);
            EXPECT_LE(openDescriptors(pid), smallMachine.fileDescriptors);
        }

        EntryFleet m_fleet { "crowd" };
    };

    TEST_F(AnEntryInstance, ServesASingleRequestOfTheFullSize)
    {
        const auto reply = m_fleet.call(instance, "full", "POST", "/write/x", std::string(4 * mebi, 'x'), std::chrono::seconds(60));
        EXPECT_TRUE(reply.ok()) << reply.status;
        EXPECT_EQ(sealOf(reply), "ledger.full");
    }

    // Trailers and the lines of chunks gathered until the time limit of the body.
    class BytesThatAreNoBody : public AnEntryInstance, public testing::WithParamInterface<std::tuple<CrowdBehaviour, EntryListener>> { };

    TEST_P(BytesThatAreNoBody, AreBoundedAtEachListener)
    {
        const auto [behaviour, at] = GetParam();
        play(spec(m_fleet.listener(instance, at), behaviour, 4, 64 * mebi));
    }

    INSTANTIATE_TEST_SUITE_P(Trailers, BytesThatAreNoBody, testing::Combine(testing::Values(CrowdBehaviour::TrailersWithoutEnd), testing::Values(EntryListener::Callers, EntryListener::Peers, EntryListener::Directory, EntryListener::Readiness, EntryListener::Operators)));
    INSTANTIATE_TEST_SUITE_P(ChunkLines, BytesThatAreNoBody, testing::Combine(testing::Values(CrowdBehaviour::ChunkLineWithoutEnd), testing::Values(EntryListener::Callers, EntryListener::Peers, EntryListener::Directory, EntryListener::Readiness, EntryListener::Operators)));

    // Each connection could hold a body of the full size, however many there were.
    class ManyBodies : public AnEntryInstance { };

    TEST_F(ManyBodies, AreBoundedInLargeChunks)
    {
        play(spec(m_fleet.callers(instance), CrowdBehaviour::LargeChunks, 100, 4 * mebi - 200'000));
    }

    TEST_F(ManyBodies, AreBoundedInTinyChunks)
    {
        play(spec(m_fleet.callers(instance), CrowdBehaviour::TinyChunks, 100, 4 * mebi));
    }

    TEST_F(ManyBodies, AreBoundedIfAnnouncedAndNotSentWhole)
    {
        play(spec(m_fleet.callers(instance), CrowdBehaviour::AnnouncedBody, 100, 4 * mebi - 100'000));
    }

    TEST_F(ManyBodies, AreBoundedOverTheLimitOfOne)
    {
        play(spec(m_fleet.callers(instance), CrowdBehaviour::LargeChunks, 100, 16 * mebi));
    }

    TEST_F(ManyBodies, AreBoundedAtTheListenerForInstances)
    {
        play(spec(m_fleet.listener(instance, EntryListener::Peers), CrowdBehaviour::LargeChunks, 100, 8 * mebi));
    }

    TEST_F(ManyBodies, AreBoundedAtListenersWhoseRequestsHaveNone)
    {
        for (const auto at : { EntryListener::Directory, EntryListener::Readiness, EntryListener::Operators })
            play(spec(m_fleet.listener(instance, at), CrowdBehaviour::LargeChunks, 60, 4 * mebi - 200'000));
    }

    TEST_F(AnEntryInstance, BoundsManyHeaders)
    {
        play(spec(m_fleet.callers(instance), CrowdBehaviour::Header, 600, 15 * kibi));
    }

    // New connections were refused while those of a crowd waited for the end of their headers.
    TEST_F(AnEntryInstance, ServesAnOrdinaryRequestBesideMoreHeadersThanItHasConnections)
    {
        play(spec(m_fleet.callers(instance), CrowdBehaviour::Header, 700, 15 * kibi));
    }

    // Callers that did not read held their answers as long as they kept their connections.
    TEST_F(AnEntryInstance, BoundsAnswersThatAreNotRead)
    {
        m_fleet.control("ledger", "/control/answer-bytes", R"({"bytes":3145728,"path":"/write/large"})");
        play(spec(m_fleet.callers(instance), CrowdBehaviour::OneRequest, 200, 0, "/write/large"));
    }

    // Requests behind one in progress were read ahead on each connection.
    TEST_F(AnEntryInstance, BoundsRequestsBehindOneInProgress)
    {
        play(spec(m_fleet.callers(instance), CrowdBehaviour::PipelinedRequests, 600, 512 * kibi, "/slow/x"));
    }

    // Answers are kept until they are whole, as many as there are requests.
    TEST_F(AnEntryInstance, BoundsAnswersOfServersThatAreNotWhole)
    {
        const std::string part(7 * mebi, 'x');
        const fakes::ScriptedServer server([&](fakes::ScriptedConnection& it) {
            if (!it.readRequest())
                return;
            it.write("HTTP/1.1 200 OK\r\nX-Attempt-Id: crowd\r\nContent-Length: " + std::to_string(part.size() + 1) + "\r\n\r\n" + part);
            it.swallow();
        });
        publish("hostile", server.endpoint());
        EXPECT_TRUE(waitUntil([&] { return m_fleet.metric(instance, "yuccashift_servers_known") == 3; }));
        play(spec(m_fleet.callers(instance), CrowdBehaviour::OneRequest, 40, 0, "/hostile/x"));
    }

} // namespace
} // namespace yuccashift::test
