#include "benchmarks/capacity/measure.hpp"

#include "peer_types.h"
#include "yuccashift/kernel/random.hpp"
#include "yuccashift/membership/packed_loads.hpp"
#include "yuccashift/peer/codec.hpp"

namespace yuccashift::capacity {

namespace {

    constexpr auto countSizes = { 8.0, 32.0, 128.0, 512.0 };

    wire::Member makeMember(std::size_t n)
    {
        wire::Member member;
        member.instance = "ikeja-hall-entry-" + std::to_string(n);
        member.incarnation = 1780000000000 + static_cast<std::int64_t>(n);
        member.__set_region("ikeja-hall");
        member.__set_datacentre("ikeja-hall-b");
        member.__set_callerEndpoint("10.20." + std::to_string(n % 256) + ".17:8080");
        member.__set_peerEndpoint("10.20." + std::to_string(n % 256) + ".17:7400");
        return member;
    }

    wire::Frame makeHeartbeat()
    {
        wire::Heartbeat heartbeat;
        heartbeat.sender = makeMember(7);
        heartbeat.sequence = 123456;
        heartbeat.revisionDigest = 0x1234567890abcdef;
        wire::Frame frame;
        frame.__set_heartbeat(heartbeat);
        return frame;
    }

    wire::Frame heartbeatWithMembers(std::size_t count)
    {
        auto frame = makeHeartbeat();
        for (std::size_t n = 0; n < count; ++n)
            frame.heartbeat.members.push_back(makeMember(n));
        frame.heartbeat.__isset.members = true;
        return frame;
    }

    wire::Frame heartbeatWithLoads(std::size_t count)
    {
        SeededRandom random(1);
        auto frame = makeHeartbeat();
        std::vector<wire::BackendLoad> loads;
        for (std::size_t n = 0; n < count; ++n) {
            wire::BackendLoad load;
            load.backend = static_cast<std::int64_t>(random.next());
            load.running = static_cast<std::int32_t>(random.uniformBelow(64));
            load.waiting = static_cast<std::int32_t>(random.uniformBelow(16));
            load.queuedTokens = static_cast<std::int32_t>(random.uniformBelow(16000));
            load.ageMs = static_cast<std::int32_t>(random.uniformBelow(2000));
            load.decodeTokensPerSecond = static_cast<std::int32_t>(random.uniformBelow(2000));
            loads.push_back(load);
        }
        frame.heartbeat.__set_loads(packLoads(loads));
        return frame;
    }

    wire::Frame heartbeatWithSummaries(std::size_t count)
    {
        SeededRandom random(1);
        auto frame = makeHeartbeat();
        for (std::size_t n = 0; n < count; ++n) {
            wire::RegionSummary summary;
            summary.region = "region-" + std::to_string(n % 24);
            summary.serviceName = "yucca-draft-" + std::to_string(n / 24);
            summary.slots = 4000;
            summary.busySlots = static_cast<std::int32_t>(random.uniformBelow(4000));
            summary.queueWaitMs = static_cast<std::int32_t>(random.uniformBelow(2000));
            summary.ageMs = static_cast<std::int32_t>(random.uniformBelow(2000));
            frame.heartbeat.summaries.push_back(summary);
        }
        frame.heartbeat.__isset.summaries = true;
        return frame;
    }

    wire::Frame heartbeatWithDemands(std::size_t count)
    {
        SeededRandom random(1);
        auto frame = makeHeartbeat();
        for (std::size_t n = 0; n < count; ++n) {
            wire::Demand demand;
            demand.organisation = static_cast<std::int64_t>(random.next());
            demand.requestsPerSecond = static_cast<std::int32_t>(random.uniformBelow(300));
            demand.tokensPerSecond = static_cast<std::int32_t>(random.uniformBelow(60000));
            frame.heartbeat.demands.push_back(demand);
        }
        frame.heartbeat.__isset.demands = true;
        return frame;
    }

    wire::Frame heartbeatWithRevisions(std::size_t count)
    {
        SeededRandom random(1);
        auto frame = makeHeartbeat();
        for (std::size_t n = 0; n < count; ++n) {
            wire::DocumentRevision revision;
            revision.serviceName = "pass-ledger-" + std::to_string(n);
            revision.revision = static_cast<std::int64_t>(1000 + random.uniformBelow(100000));
            frame.heartbeat.revisions.push_back(revision);
        }
        frame.heartbeat.__isset.revisions = true;
        return frame;
    }

    void addFrameSlopes(Slopes& slopes, const std::string& name, const std::string& against, wire::Frame (*make)(std::size_t))
    {
        addSlope(slopes, measureSlope(name + ".bytes", "bytes", against, countSizes, [&](std::size_t n) {
            return static_cast<double>(encodeFrame(make(n)).size());
        }));
        addSlope(slopes, measureSlope(name + ".encode", "us", against, countSizes, [&](std::size_t n) {
            const auto frame = make(n);
            return microsecondsOf([&] { encodeFrame(frame); });
        }));
        addSlope(slopes, measureSlope(name + ".decode", "us", against, countSizes, [&](std::size_t n) {
            const auto bytes = encodeFrame(make(n));
            const auto* data = reinterpret_cast<const std::uint8_t*>(bytes.data());
            const std::span body(data + frameLengthBytes, bytes.size() - frameLengthBytes);
            return microsecondsOf([&] { (void)decodeFrame(body); });
        }));
    }

    wire::Frame makeChunk(std::size_t bytes)
    {
        wire::AnswerChunk chunk;
        chunk.offset = 100;
        chunk.data.assign(bytes, 'x');
        wire::Frame frame;
        frame.stream = 17;
        frame.__set_answerChunk(chunk);
        return frame;
    }

} // namespace

void addWireSlopes(Slopes& slopes)
{
    addFrameSlopes(slopes, "heartbeat_member", "member", heartbeatWithMembers);
    addFrameSlopes(slopes, "heartbeat_load", "backend server", heartbeatWithLoads);
    addFrameSlopes(slopes, "heartbeat_summary", "region and service", heartbeatWithSummaries);
    addFrameSlopes(slopes, "heartbeat_demand", "organisation", heartbeatWithDemands);
    addFrameSlopes(slopes, "heartbeat_revision", "document", heartbeatWithRevisions);
    addFrameSlopes(slopes, "answer_chunk", "byte of answer", makeChunk);
}

} // namespace yuccashift::capacity
