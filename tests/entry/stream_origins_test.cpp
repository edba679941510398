#include "yuccashift/entry/stream_origins.hpp"

#include "yuccashift/fleet/datagram.hpp"
#include "yuccashift/kernel/random.hpp"

#include <deque>
#include <gtest/gtest.h>
#include <memory>
#include <optional>
#include <set>

namespace yuccashift {
namespace {

    constexpr SoftwareId software = 77;
    constexpr Duration tickInterval = milliseconds(50);

    /** Instances that exchange datagrams with delays and losses, on a virtual clock. */
    class Fleet {
    public:
        Fleet(int regionCount, int instancesPerRegion)
        {
            for (int region = 0; region < regionCount; ++region) {
                for (int n = 0; n < instancesPerRegion; ++n)
                    add(region, n, regionCount);
            }
            exchangeHeartbeats();
        }

        StreamOrigins& at(const std::string& instance) { return *m_nodes.at(instance)->origins; }
        void kill(const std::string& instance) { m_nodes.erase(instance); }
        void setLossPercent(std::uint64_t percent) { m_lossPercent = percent; }
        std::size_t datagrams() const { return m_sent; }
        std::size_t bytes() const { return m_bytes; }
        std::size_t mostBytesReceived() const
        {
            std::size_t most = 0;
            for (const auto& [name, node] : m_nodes)
                most = std::max(most, node->received);
            return most;
        }

        void run(Duration time)
        {
            const auto end = m_clock.now() + time;
            auto nextTick = m_clock.now();
            while (m_clock.now() < end) {
                if (m_clock.now() >= nextTick) {
                    nextTick += tickInterval;
                    for (auto& [name, node] : m_nodes)
                        node->origins->tick();
                }
                m_clock.advance(milliseconds(1));
                deliver();
                if (m_clock.now() - m_lastHeartbeat >= seconds(1))
                    exchangeHeartbeats();
            }
        }

        /** The software that the instance finds, and 0 if it finds that none is known; std::nullopt if it gives no result. */
        std::optional<SoftwareId> search(const std::string& instance, const std::string& attempt)
        {
            std::optional<SoftwareId> result;
            at(instance).find(attempt, [&](SoftwareId found) { result = found; });
            for (int n = 0; n < 100 && !result; ++n)
                run(milliseconds(10));
            return result;
        }

    private:
        struct Node : DatagramSender {
            Node(Fleet& owner, const Clock& clock, EntrySettings it)
                : fleet(owner)
                , settings(std::move(it))
                , peers(clock, settings.instance)
                , origins(std::make_unique<StreamOrigins>(clock, settings, peers))
            {
                origins->setSender(this);
            }
            void sendDatagram(const std::string& ip, const fleetwire::Datagram& datagram) override { fleet.send(settings.region, ip, encodeDatagram(datagram)); }

            Fleet& fleet;
            EntrySettings settings;
            PeerTable peers;
            std::unique_ptr<StreamOrigins> origins;
            std::size_t received = 0;
        };

        struct Message {
            Instant due;
            std::string ip;
            std::string bytes;
        };

        static std::string nameOf(int region, int n) { return "r" + std::to_string(region) + "-" + std::to_string(n); }

        void add(int region, int n, int regionCount)
        {
            EntrySettings settings;
            settings.instance = nameOf(region, n);
            settings.region = "r" + std::to_string(region);
            settings.ip = "10." + std::to_string(region) + "." + std::to_string(n / 200) + "." + std::to_string(n % 200 + 1);
            for (int it = 0; it < regionCount; ++it)
                settings.regions["hall-" + std::to_string(it)] = "r" + std::to_string(it);
            const auto name = settings.instance;
            m_nodes[name] = std::make_unique<Node>(*this, m_clock, std::move(settings));
        }

        void send(const RegionName& region, const std::string& ip, std::string bytes)
        {
            ++m_sent;
            m_bytes += bytes.size();
            if (m_random.uniformBelow(100) < m_lossPercent)
                return;
            const bool near = ip.starts_with("10." + region.substr(1) + ".");
            m_messages.push_back({ m_clock.now() + (near ? milliseconds(2) : milliseconds(57)), ip, std::move(bytes) });
        }

        void deliver()
        {
            std::deque<Message> due;
            std::erase_if(m_messages, [&](const Message& it) {
                if (it.due <= m_clock.now())
                    due.push_back(it);
                return it.due <= m_clock.now();
            });
            for (const auto& message : due) {
                for (auto& [name, node] : m_nodes) {
                    if (node->settings.ip != message.ip)
                        continue;
                    node->received += message.bytes.size();
                    node->origins->onDatagram(decodeDatagram(message.bytes).value());
                }
            }
        }

        /** Instances of one region hear all of each other, and of the others' a part that differs. */
        void exchangeHeartbeats()
        {
            m_lastHeartbeat = m_clock.now();
            ++m_sequence;
            for (const auto& [from, sender] : m_nodes) {
                fleetwire::Heartbeat heartbeat;
                fleetwire::Profile profile;
                profile.instance = from;
                profile.region = sender->settings.region;
                profile.ip = sender->settings.ip;
                heartbeat.__set_profile(profile);
                heartbeat.sender = hashOfInstance(from);
                heartbeat.incarnation = 1;
                heartbeat.sequence = m_sequence;
                for (const auto& [to, receiver] : m_nodes) {
                    const bool near = receiver->settings.region == sender->settings.region;
                    if (to != from && (near || m_nodes.size() < 20 || m_random.uniformBelow(10) == 0))
                        receiver->peers.onHeartbeat(heartbeat);
                }
            }
        }

        VirtualClock m_clock;
        SeededRandom m_random { 5 };
        std::map<std::string, std::unique_ptr<Node>> m_nodes;
        std::deque<Message> m_messages;
        std::uint64_t m_lossPercent = 0;
        std::size_t m_sent = 0;
        std::size_t m_bytes = 0;
        std::int64_t m_sequence = 0;
        Instant m_lastHeartbeat {};
    };

    TEST(TheSoftwareOfAStream, IsKnownAtOnceWhereTheStreamBegan)
    {
        Fleet fleet(3, 3);
        fleet.at("r0-0").publish("a", software);
        EXPECT_EQ(fleet.at("r0-0").findHere("a"), software);
        EXPECT_EQ(fleet.search("r0-0", "a"), software);
        EXPECT_EQ(fleet.datagrams(), 0u);
    }

    TEST(TheSoftwareOfAStream, IsFoundAtEveryInstanceThoughTheOneThatBeganItIsGone)
    {
        for (const int instances : { 2, 3, 40 }) {
            Fleet fleet(3, instances);
            std::vector<std::string> attempts;
            for (int n = 0; n < 40; ++n) {
                attempts.push_back("a" + std::to_string(n));
                fleet.at("r0-0").publish(attempts.back(), software);
            }
            fleet.run(milliseconds(200));
            fleet.kill("r0-0");
            fleet.run(milliseconds(600));
            for (const auto& it : attempts) {
                EXPECT_EQ(fleet.search("r0-1", it), software) << it << " of " << instances;
                EXPECT_EQ(fleet.search("r1-0", it), software) << it << " of " << instances;
                EXPECT_EQ(fleet.search("r2-1", it), software) << it << " of " << instances;
            }
        }
    }

    TEST(TheSoftwareOfAStream, IsFoundInOtherRegionsAfterItsOwnOneIsLost)
    {
        Fleet fleet(3, 4);
        for (int n = 0; n < 20; ++n)
            fleet.at("r0-2").publish("a" + std::to_string(n), software);
        fleet.run(milliseconds(200));
        for (int n = 0; n < 4; ++n)
            fleet.kill("r0-" + std::to_string(n));
        for (int n = 0; n < 20; ++n)
            EXPECT_EQ(fleet.search("r1-3", "a" + std::to_string(n)), software) << n;
    }

    TEST(TheSoftwareOfAStream, IsNotFoundWithinTheTimeOfASearchIfNoneKnowsIt)
    {
        Fleet fleet(3, 3);
        EXPECT_EQ(fleet.search("r1-0", "never"), 0u);
        EXPECT_EQ(fleet.search("r1-0", "never"), 0u);
    }

    TEST(TheSoftwareOfAStream, IsFoundByAllWhoSearchForItAtOnce)
    {
        Fleet fleet(2, 3);
        fleet.at("r0-0").publish("a", software);
        fleet.run(milliseconds(100));
        int found = 0;
        for (int n = 0; n < 3; ++n)
            fleet.at("r1-2").find("a", [&](SoftwareId it) { found += it == software ? 1 : 0; });
        fleet.run(milliseconds(300));
        EXPECT_EQ(found, 3);
    }

    TEST(TheSoftwareOfAStream, IsMostlyFoundThoughDatagramsAreLost)
    {
        Fleet fleet(3, 3);
        fleet.setLossPercent(10);
        int found = 0;
        for (int n = 0; n < 100; ++n)
            fleet.at("r0-0").publish("a" + std::to_string(n), software);
        fleet.run(milliseconds(300));
        fleet.kill("r0-0");
        for (int n = 0; n < 100; ++n)
            found += fleet.search("r1-0", "a" + std::to_string(n)) == software ? 1 : 0;
        EXPECT_GE(found, 80);
    }

    // The control traffic of an instance is limited to 16 KB/s; a region of 120 instances begins 11,000 streams per second.
    TEST(TheSoftwareOfAStream, CostsLittleTrafficAtTheSizeToDesignFor)
    {
        constexpr int streamsPerSecond = 92;
        Fleet fleet(3, 40);
        constexpr int instances = 3 * 40;
        for (int slice = 0; slice < 20; ++slice) {
            for (int region = 0; region < 3; ++region) {
                for (int n = 0; n < 40; ++n) {
                    const auto instance = "r" + std::to_string(region) + "-" + std::to_string(n);
                    for (int i = 0; i < streamsPerSecond / 20; ++i)
                        fleet.at(instance).publish(instance + "." + std::to_string(slice) + "." + std::to_string(i), software);
                }
            }
            fleet.run(tickInterval);
        }
        EXPECT_LE(fleet.bytes() / instances, 16000u);
        EXPECT_LE(fleet.mostBytesReceived(), 16000u);
    }

} // namespace
} // namespace yuccashift
