#include "tests/support/crowd.hpp"
#include "tests/support/two_regions.hpp"

#include <gtest/gtest.h>

// Crowds of clients outside the limits at one instance of yuccashiftd, with the default limits. Each test checks that the
// process lives within its memory and that an ordinary request is answered meanwhile.

namespace yuccashift::test {
namespace {

    constexpr std::size_t kibi = 1024;
    constexpr std::size_t mebi = 1024 * kibi;
    /** Memory of a process whose settings name none. */
    constexpr std::size_t memoryBytes = 256 * mebi;
    constexpr std::size_t maxDescriptors = 4096;
    const InstanceId crowded = "sofia-1";

    enum class Listener {
        Callers,
        Peers,
        Operators,
    };

    class AGatewayInstance : public testing::Test {
    protected:
        Endpoint listener(Listener it)
        {
            const auto& running = m_regions.fleet().instance(crowded);
            return it == Listener::Callers ? running.callers : it == Listener::Peers ? running.peers
                                                                                     : running.operators;
        }

        bool serves()
        {
            const auto call = plainRequest(listener(Listener::Callers), anywhereCredential, "GET", "/ledger/balance/x", "");
            return judgePlain(call, send(call)) == Outcome::Whole;
        }

        void play(Listener at, CrowdBehaviour behaviour, std::size_t connections, std::size_t bytesEach)
        {
            const CrowdSpec spec { listener(at), behaviour, connections, bytesEach, 4 * mebi, "/ledger/redeem" };
            auto& process = *m_regions.fleet().instance(crowded).process;
            MemoryRecorder memory(process.pid(), { listener(Listener::Callers), listener(Listener::Peers), listener(Listener::Operators) });
            Crowd crowd(spec);
            crowd.play([&] {
                memory.sample();
                return true;
            });
            ASSERT_FALSE(process.exitCode());
            EXPECT_TRUE(serves()) << "an ordinary request while the crowd holds its connections";
            memory.sample();
            ASSERT_FALSE(process.exitCode());
            EXPECT_LE(memory.peakBytes(), memoryBytes);
            EXPECT_LE(openDescriptors(process.pid()), maxDescriptors);
        }

        TwoRegions m_regions { "crowds" };
    };

    // Trailers and the lines of chunks gathered in a buffer without a maximum.
    class BytesThatAreNoBodyOfAGateway : public AGatewayInstance, public testing::WithParamInterface<std::tuple<CrowdBehaviour, Listener>> { };

    TEST_P(BytesThatAreNoBodyOfAGateway, AreBoundedAtEachListener)
    {
        const auto [behaviour, at] = GetParam();
        play(at, behaviour, 4, 96 * mebi);
    }

    INSTANTIATE_TEST_SUITE_P(AtGateways, BytesThatAreNoBodyOfAGateway, testing::Combine(testing::Values(CrowdBehaviour::TrailersWithoutEnd, CrowdBehaviour::ChunkLineWithoutEnd), testing::Values(Listener::Callers, Listener::Operators)));

    // Each connection could hold a body of the full size, however many there were.
    class ManyBodiesOfAGateway : public AGatewayInstance { };

    TEST_F(ManyBodiesOfAGateway, AreBoundedInLargeChunks)
    {
        play(Listener::Callers, CrowdBehaviour::LargeChunks, 200, 4 * mebi - 200'000);
    }

    TEST_F(ManyBodiesOfAGateway, AreBoundedInTinyChunks)
    {
        play(Listener::Callers, CrowdBehaviour::TinyChunks, 200, 4 * mebi);
    }

    TEST_F(ManyBodiesOfAGateway, AreBoundedIfAnnouncedAndNotSentWhole)
    {
        play(Listener::Callers, CrowdBehaviour::AnnouncedBody, 200, 4 * mebi - 100'000);
    }

    TEST_F(ManyBodiesOfAGateway, AreBoundedOverTheLimitOfOne)
    {
        play(Listener::Callers, CrowdBehaviour::LargeChunks, 200, 16 * mebi);
    }

    TEST_F(ManyBodiesOfAGateway, AreBoundedAtTheListenerForOperators)
    {
        play(Listener::Operators, CrowdBehaviour::AnnouncedBody, 60, 4 * mebi + 16 * kibi);
    }

    TEST_F(AGatewayInstance, BoundsBytesOfUnknownSendersAtTheListenerForInstances)
    {
        play(Listener::Peers, CrowdBehaviour::LargeChunks, 200, 4 * mebi);
    }

    // The memory of a frame was allocated before its sender had proved who it is.
    TEST_F(AGatewayInstance, BoundsFramesOfUnknownSenders)
    {
        play(Listener::Peers, CrowdBehaviour::LargeFrame, 200, kibi);
    }

} // namespace
} // namespace yuccashift::test
