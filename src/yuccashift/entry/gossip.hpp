#pragma once

#include "yuccashift/entry/entry_core.hpp"

#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <set>
#include <span>
#include <vector>

namespace yuccashift {

/**
 * Sends and receives heartbeats. Learns the addresses of other instances from
 * the seed addresses in the settings and from received heartbeats.
 */
class Gossip final : public DatagramSender {
public:
    explicit Gossip(EntryCore&);
    ~Gossip() override;
    Gossip(const Gossip&) = delete;
    Gossip& operator=(const Gossip&) = delete;

    /** Binds the UDP socket and starts the heartbeats. Returns BadSettings if the port cannot be bound. */
    Result<void> start();
    /** Sends heartbeats immediately, for example when this instance starts to drain. */
    void sendHeartbeats();
    /** Sends the changes of the published items after the given revision to the instances of this region. */
    void forwardChanges(std::int64_t after);
    /** Replaces the seed addresses. Those that are not IPv4 addresses are logged and ignored. */
    void setSeeds(const std::vector<std::string>& addresses);
    void sendDatagram(const std::string& ip, const fleetwire::Datagram&) override;

private:
    using Udp = boost::asio::ip::udp;
    using Address = boost::asio::ip::address_v4;

    void receive();
    void onDatagram(std::string_view);
    void onHeartbeat(const fleetwire::Heartbeat&);
    void takeSoftwareReport(const fleetwire::Heartbeat&, const PeerState&);
    void onSnapshot(const fleetwire::Snapshot&);
    void learnAddresses(const fleetwire::Heartbeat&, const std::optional<InstanceId>& sender);
    std::vector<Address> ownRegionAddresses() const;
    std::vector<Address> sampleOtherRegions();
    void tick();
    void sendTo(std::span<const Address>, const std::string& bytes);
    fleetwire::Heartbeat makeHeartbeat(bool withProfile);
    void addLoads(fleetwire::Heartbeat&) const;
    /** Adds what this instance observed of servers since its last heartbeat, for the instances that share them. */
    void addObservations(fleetwire::Heartbeat&) const;
    void addCapacity(fleetwire::Heartbeat&) const;
    Duration heartbeatInterval() const;

    EntryCore& m_core;
    Udp::socket m_socket;
    boost::asio::steady_timer m_timer;
    Udp::endpoint m_sender;
    Address m_self;
    /** Bytes of heartbeats sent, without network headers. */
    Counter& m_ownRegionBytes;
    Counter& m_otherRegionBytes;
    /** Datagrams with changes that could not be applied because earlier changes are missing. */
    Counter& m_skippedChanges;
    std::set<Address> m_seeds;
    /** When an instance was last heard at an address, or first named in a heartbeat. */
    std::map<Address, Instant> m_lastSeen;
    std::map<Address, InstanceId> m_instanceByAddress;
    std::int64_t m_incarnation;
    std::int64_t m_sequence = 0;
    std::uint64_t m_round = 0;
    /** What the last heartbeat to the own region said. */
    bool m_reportedReachesNoServer = false;
};

} // namespace yuccashift
