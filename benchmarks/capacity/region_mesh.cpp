#include "benchmarks/capacity/region_mesh.hpp"

#include "benchmarks/capacity/measure.hpp"
#include "yuccashift/config/document_store.hpp"
#include "yuccashift/kernel/random.hpp"
#include "yuccashift/membership/coordinator.hpp"
#include "yuccashift/membership/exchange.hpp"
#include "yuccashift/peer/codec.hpp"
#include "yuccashift/platform/instance_list.hpp"

#include <algorithm>
#include <map>

namespace yuccashift::capacity {

namespace {

    constexpr const char* homeRegion = "ikeja-hall";
    constexpr Duration tickInterval = milliseconds(100);

    /** Exchanges that always have as much to tell as they are allowed to. */
    class BusyExchanges final : public LoadExchange, public SummaryExchange, public DemandExchange {
    public:
        explicit BusyExchanges(const FleetShape& shape)
            : m_shape(shape)
        {
        }

        std::vector<wire::BackendLoad> takeLoads(Instant, std::size_t limit) override
        {
            std::vector<wire::BackendLoad> loads(std::min(limit, m_shape.watched));
            for (auto& load : loads) {
                load.backend = static_cast<std::int64_t>(m_random.next());
                load.running = static_cast<std::int32_t>(m_random.below(64));
                load.waiting = static_cast<std::int32_t>(m_random.below(16));
                load.queuedTokens = static_cast<std::int32_t>(m_random.below(16000));
                load.ageMs = static_cast<std::int32_t>(m_random.below(2000));
                load.decodeTokensPerSecond = static_cast<std::int32_t>(m_random.below(2000));
            }
            return loads;
        }

        void onLoads(const InstanceId&, std::span<const wire::BackendLoad>, Instant) override { }

        std::vector<wire::RegionSummary> ownSummaries(Instant) override
        {
            std::vector<wire::RegionSummary> summaries(m_shape.services);
            for (std::size_t n = 0; n < summaries.size(); ++n) {
                summaries[n].region = homeRegion;
                summaries[n].serviceName = "yucca-draft-" + std::to_string(n);
                summaries[n].slots = 4000;
                summaries[n].busySlots = static_cast<std::int32_t>(m_random.below(4000));
                summaries[n].queueWaitMs = static_cast<std::int32_t>(m_random.below(2000));
            }
            return summaries;
        }

        void onSummaries(std::span<const wire::RegionSummary>, Instant) override { }
        std::vector<wire::Demand> takeDemands(Instant, std::size_t limit) override { return makeDemands(limit); }
        std::vector<wire::Demand> regionDemands(Instant, std::size_t limit) override { return makeDemands(limit); }
        void onDemands(const InstanceId&, std::span<const wire::Demand>, Instant) override { }
        void onRegionDemands(const RegionName&, std::span<const wire::Demand>, Duration, Instant) override { }

    private:
        std::vector<wire::Demand> makeDemands(std::size_t count)
        {
            std::vector<wire::Demand> demands(count);
            for (auto& demand : demands) {
                demand.organisation = static_cast<std::int64_t>(m_random.next());
                demand.requestsPerSecond = static_cast<std::int32_t>(m_random.below(300));
                demand.tokensPerSecond = static_cast<std::int32_t>(m_random.below(60000));
            }
            return demands;
        }

        FleetShape m_shape;
        SeededRandom m_random { 3 };
    };

    MemberInfo memberInfo(const RegionName& region, std::size_t n)
    {
        MemberInfo info;
        info.instance = region + "-entry-" + std::to_string(n);
        info.incarnation = 1780000000000 + n;
        info.region = region;
        info.datacentre = region + "-" + std::to_string(n % 3);
        info.callers = { "10.20.0.17", 8080 };
        info.peers = { "10.20.0.17", 7400 };
        return info;
    }

    ListedInstance listed(const MemberInfo& info)
    {
        ListedInstance instance;
        instance.instance = info.instance;
        instance.region = info.region;
        instance.datacentre = info.datacentre;
        instance.callers = info.callers;
        instance.peers = info.peers;
        return instance;
    }

    struct Node {
        Node(const FleetShape& shape, const MemberInfo& info, std::uint64_t seed)
            : instance(info.instance)
            , exchanges(shape)
            , coordinator(info, store, { &exchanges, &exchanges, &exchanges, nullptr }, std::make_unique<SeededRandom>(seed))
        {
        }

        InstanceId instance;
        DocumentStore store;
        BusyExchanges exchanges;
        Coordinator coordinator;
    };

    class Mesh {
    public:
        explicit Mesh(const FleetShape& shape)
        {
            Listing listing;
            for (std::size_t n = 0; n < shape.regionMembers; ++n) {
                const auto info = memberInfo(homeRegion, n);
                listing.instances.push_back(listed(info));
                m_nodes.emplace(info.instance, std::make_unique<Node>(shape, info, n + 1));
            }
            for (std::size_t n = 0; n < shape.otherInstances; ++n)
                listing.instances.push_back(listed(memberInfo("region-" + std::to_string(n % (shape.regions - 1)), n)));
            for (auto& [name, node] : m_nodes)
                node->coordinator.onListing(listing, m_now);
        }

        void run(Duration duration)
        {
            for (const auto end = m_now + duration; m_now < end; m_now += tickInterval) {
                for (auto& [name, node] : m_nodes)
                    deliver(name, node->coordinator.tick(m_now));
            }
        }

        std::uint64_t bytes() const { return m_bytes; }
        std::uint64_t frames() const { return m_frames; }
        void resetCounts() { m_bytes = m_frames = 0; }

    private:
        void deliver(const InstanceId& from, const OutgoingFrames& out)
        {
            for (const auto& [to, frame] : out) {
                const auto bytes = encodeFrame(frame);
                m_bytes += bytes.size();
                ++m_frames;
                const auto decoded = decode(bytes);
                const auto it = m_nodes.find(to);
                if (it != m_nodes.end())
                    deliver(to, it->second->coordinator.receive(from, decoded, m_now));
                else if (decoded.__isset.heartbeat)
                    answerFrom(to, from, decoded);
            }
        }

        // Another region's speakers send about what this region's do.
        void answerFrom(const InstanceId& other, const InstanceId& to, wire::Frame frame)
        {
            const auto region = other.substr(0, other.find("-entry-"));
            auto& heartbeat = frame.heartbeat;
            heartbeat.sender.instance = other;
            heartbeat.sender.region = region;
            heartbeat.sequence = static_cast<std::int64_t>(++m_otherSequence);
            heartbeat.members.clear();
            for (auto& summary : heartbeat.summaries)
                summary.region = region;
            for (auto& demand : heartbeat.regionDemands)
                demand.region = region;
            deliver(to, m_nodes.at(to)->coordinator.receive(other, frame, m_now));
        }

        static wire::Frame decode(const std::string& bytes)
        {
            const auto* data = reinterpret_cast<const std::uint8_t*>(bytes.data());
            return *decodeFrame({ data + frameLengthBytes, bytes.size() - frameLengthBytes });
        }

        Instant m_now { seconds(1000) };
        std::map<InstanceId, std::unique_ptr<Node>> m_nodes;
        std::uint64_t m_bytes = 0;
        std::uint64_t m_frames = 0;
        std::uint64_t m_otherSequence = 0;
    };

} // namespace

ControlCost measureRegion(const FleetShape& shape)
{
    constexpr Duration settling = seconds(40);
    constexpr double measuredSeconds = 20;
    Mesh mesh(shape);
    mesh.run(settling);
    mesh.resetCounts();
    const double start = threadMicroseconds();
    mesh.run(std::chrono::duration_cast<Duration>(std::chrono::duration<double>(measuredSeconds)));
    const double perNode = measuredSeconds * static_cast<double>(shape.regionMembers);
    return {
        static_cast<double>(mesh.bytes()) / perNode,
        static_cast<double>(mesh.frames()) / perNode,
        (threadMicroseconds() - start) / perNode,
    };
}

} // namespace yuccashift::capacity
