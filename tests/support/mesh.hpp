#pragma once

#include "yuccashift/config/document_store.hpp"
#include "yuccashift/kernel/random.hpp"
#include "yuccashift/membership/coordinator.hpp"
#include "yuccashift/peer/codec.hpp"
#include "yuccashift/ports/listing.hpp"
#include "yuccashift/resilience/prompt_quarantine.hpp"
#include "yuccashift/resilience/quarantine.hpp"

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <span>
#include <string>
#include <vector>

namespace yuccashift::testing {

/** Text of a configuration document of a plain service, padded to at least `bytes` bytes. */
inline std::string documentText(const std::string& service, Revision revision, std::size_t bytes = 0)
{
    auto text = "service: " + service + "\nowner: tests\nrevision: " + std::to_string(revision)
        + "\nkind: plain\npath_prefix: /" + service + "\nregions: [lagos, sofia]\n"
        + "routes:\n  - {name: all, method: \"*\", path: \"/*\"}\n";
    while (text.size() < bytes)
        text += "# padding of a document whose size matters\n";
    return text;
}

inline std::string tombstoneText(const std::string& service, Revision revision)
{
    return "service: " + service + "\nowner: tests\nrevision: " + std::to_string(revision) + "\ndeleted: true\n";
}

/** Bytes, frames and documents that one instance sent and received. */
struct Traffic {
    std::size_t sentBytes = 0;
    std::size_t receivedBytes = 0;
    std::size_t sentFrames = 0;
    std::size_t sentDocuments = 0;
    std::size_t receivedDocuments = 0;
};

/** Coordinators connected by in-memory links with configurable loss, partitions and delays, driven by a virtual clock. */
class Mesh {
public:
    struct Node {
        MemberInfo info;
        std::unique_ptr<DocumentStore> store;
        std::unique_ptr<Quarantine> quarantine;
        std::unique_ptr<PromptQuarantine> promptQuarantine;
        std::unique_ptr<Coordinator> coordinator;
        Traffic traffic;
        Instant nextTick;
        bool stopped = false;
        bool paused = false;
    };

    using Cut = std::function<bool(const Node& from, const Node& to)>;

    explicit Mesh(std::uint64_t seed = 1)
        : m_random(seed)
    {
    }

    void add(const InstanceId& instance, const RegionName& region, Incarnation incarnation = 1, CoordinatorHooks hooks = {})
    {
        auto& node = m_nodes[instance];
        node = {};
        const auto port = static_cast<std::uint16_t>(1000 + m_nodes.size());
        node.info = { instance, incarnation, region, region + "-hall", { "10.0.0.1", port }, { "10.0.0.2", port }, false };
        node.store = std::make_unique<DocumentStore>();
        node.quarantine = std::make_unique<Quarantine>();
        hooks.quarantine = node.quarantine.get();
        node.promptQuarantine = std::make_unique<PromptQuarantine>();
        hooks.promptQuarantine = node.promptQuarantine.get();
        node.coordinator = std::make_unique<Coordinator>(node.info, *node.store, hooks, std::make_unique<SeededRandom>(m_random.next()));
        node.nextTick = now() + milliseconds(static_cast<std::int64_t>(m_random.uniformBelow(100)));
    }

    void addRegion(const RegionName& region, std::size_t count)
    {
        for (std::size_t n = 0; n < count; ++n)
            add(region + "-" + std::to_string(n), region);
    }

    /** Gives every running instance a list of all instances but those that stopped. */
    void list()
    {
        InstanceListing listing;
        for (const auto& [instance, node] : m_nodes) {
            if (!node.stopped)
                listing.instances.push_back({ instance, node.info.region, node.info.datacentre, node.info.callers, node.info.peers, false });
        }
        for (auto& [instance, node] : m_nodes)
            node.coordinator->onListing(listing, now());
    }

    Node& at(const InstanceId& instance) { return m_nodes.at(instance); }
    std::map<InstanceId, Node>& nodes() { return m_nodes; }
    Instant now() const { return m_clock.now(); }
    void setCut(Cut cut) { m_cut = std::move(cut); }
    void setLossPercent(std::uint64_t percent) { m_lossPercent = percent; }

    void offer(const InstanceId& instance, const std::string& text)
    {
        OutgoingFrames out;
        const auto acceptance = at(instance).coordinator->offer(text, {}, now(), out);
        static_cast<void>(acceptance);
        send(at(instance), out);
    }

    void run(Duration duration)
    {
        constexpr Duration step = milliseconds(10);
        const auto end = now() + duration;
        while (now() < end) {
            m_clock.advance(step);
            deliver();
            tick();
        }
    }

    /** Runs until the condition holds or `atMost` of virtual time has passed; returns the virtual time taken. */
    Duration runUntil(const std::function<bool()>& condition, Duration atMost)
    {
        const auto start = now();
        while (!condition() && now() - start < atMost)
            run(milliseconds(10));
        return now() - start;
    }

    /** Whether every instance that is not stopped holds this revision of the service's document. */
    bool allHold(const ServiceName& service, Revision revision) const
    {
        for (const auto& [instance, node] : m_nodes) {
            const auto document = node.store->find(service);
            if (!node.stopped && (!document || document->revision != revision))
                return false;
        }
        return true;
    }

    void resetTraffic()
    {
        for (auto& [instance, node] : m_nodes)
            node.traffic = {};
    }

private:
    struct Message {
        Instant due;
        std::uint64_t order;
        InstanceId from;
        InstanceId to;
        std::string bytes;

        bool operator<(const Message& other) const
        {
            return due != other.due ? due > other.due : order > other.order;
        }
    };

    void tick()
    {
        for (auto& [instance, node] : m_nodes) {
            if (node.stopped || node.paused || now() < node.nextTick)
                continue;
            node.nextTick = now() + milliseconds(100);
            send(node, node.coordinator->tick(now()));
        }
    }

    void send(Node& from, const OutgoingFrames& frames)
    {
        for (const auto& outgoing : frames) {
            auto bytes = encodeFrame(outgoing.frame);
            from.traffic.sentBytes += bytes.size();
            ++from.traffic.sentFrames;
            from.traffic.sentDocuments += outgoing.frame.documentPush.documents.size();
            const auto to = m_nodes.find(outgoing.to);
            const bool lost = to == m_nodes.end() || (m_cut && m_cut(from, to->second)) || m_random.uniformBelow(100) < m_lossPercent;
            if (lost)
                continue;
            const Duration delay = from.info.region == to->second.info.region ? milliseconds(2) : milliseconds(40);
            m_messages.push({ now() + delay, ++m_order, from.info.instance, outgoing.to, std::move(bytes) });
        }
    }

    void deliver()
    {
        while (!m_messages.empty() && m_messages.top().due <= now()) {
            const auto message = m_messages.top();
            m_messages.pop();
            auto& to = at(message.to);
            // Frames for a paused process wait in its socket buffers until it resumes, so delivery is retried later.
            if (to.paused)
                m_messages.push({ now() + milliseconds(10), ++m_order, message.from, message.to, message.bytes });
            if (to.paused || to.stopped)
                continue;
            to.traffic.receivedBytes += message.bytes.size();
            const auto* data = reinterpret_cast<const std::uint8_t*>(message.bytes.data());
            const auto frame = decodeFrame(std::span(data, message.bytes.size()).subspan(frameLengthBytes));
            if (!frame)
                continue;
            to.traffic.receivedDocuments += frame->documentPush.documents.size();
            send(to, to.coordinator->receive(message.from, *frame, now()));
        }
    }

    VirtualClock m_clock;
    SeededRandom m_random;
    std::map<InstanceId, Node> m_nodes;
    std::priority_queue<Message> m_messages;
    std::uint64_t m_order = 0;
    std::uint64_t m_lossPercent = 0;
    Cut m_cut;
};

} // namespace yuccashift::testing
