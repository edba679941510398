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
 * Sends and takes heartbeats. Addresses of other instances come from the
 * settings' seeds and from the heartbeats of those already known.
 */
class Gossip {
public:
    explicit Gossip(EntryCore&);

    /** Binds the datagram socket. BadSettings where the port cannot be had. */
    Result<void> start();
    /** Tells all others at once, for instance that this instance drains. */
    void sendHeartbeats();
    /** Passes changes of the published items on to the instances of the own region. */
    void forwardChanges(std::int64_t after);
    /** Replaces the seeds after a change of the settings. */
    void setSeeds(const std::vector<std::string>& addresses);

private:
    using Udp = boost::asio::ip::udp;
    using Address = boost::asio::ip::address_v4;

    void receive();
    void takeDatagram(std::string_view);
    void onBeat(const fleetwire::Heartbeat&);
    void onNews(const fleetwire::Snapshot&);
    void noteAddresses(const fleetwire::Heartbeat&, const std::optional<InstanceId>& sender);
    std::vector<Address> nearAddresses() const;
    std::vector<Address> someFarAddresses();
    void tick();
    void sendTo(std::span<const Address>, const std::string& bytes);
    fleetwire::Heartbeat ownBeat(bool withProfile);
    void addLoads(fleetwire::Heartbeat&) const;
    void addRooms(fleetwire::Heartbeat&) const;
    Duration interval() const;

    EntryCore& m_core;
    Udp::socket m_socket;
    boost::asio::steady_timer m_timer;
    Udp::endpoint m_sender;
    Address m_self;
    /** Bytes of heartbeats sent, without the headers of the network. */
    Counter& m_bytesNear;
    Counter& m_bytesFar;
    std::set<Address> m_seeds;
    /** Addresses of other instances and when they were last named or heard. */
    std::map<Address, Instant> m_known;
    std::map<Address, InstanceId> m_names;
    std::int64_t m_incarnation;
    std::int64_t m_sequence = 0;
    std::uint64_t m_round = 0;
};

} // namespace yuccashift
