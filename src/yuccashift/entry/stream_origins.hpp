#pragma once

#include "fleet_types.h"
#include "yuccashift/answers/stream_origin_table.hpp"
#include "yuccashift/entry/entry_settings.hpp"
#include "yuccashift/fleet/peer_table.hpp"

#include <array>
#include <cstddef>
#include <functional>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace yuccashift {

/** Sends datagrams to other instances. */
class DatagramSender {
public:
    virtual ~DatagramSender();
    /** Sends the datagram to the instance at this address; it may be lost. */
    virtual void sendDatagram(const std::string& ip, const fleetwire::Datagram&) = 0;
};

/**
 * Knows the software that began each resumable stream, so that callers can
 * resume a stream at any instance, also if the instance that began it is gone.
 * Every stream has holders in two regions, chosen by a hash that all instances
 * of a region compute alike. An instance tells the holders of the streams that
 * it begins, and asks them about those it does not know. Which instances of
 * another region are active is known there best, so that one of them passes on.
 */
class StreamOrigins {
public:
    /** Takes the software that began the stream; 0 if no instance knows it. */
    using OnFound = std::function<void(SoftwareId)>;

    StreamOrigins(const Clock&, const EntrySettings&, const PeerTable&);

    /** Nothing is sent or asked before the sender is set. */
    void setSender(DatagramSender* sender) { m_sender = sender; }

    /** Records a stream that began here on behalf of another instance, which tells the holders itself. */
    void record(std::string_view attemptId, SoftwareId);
    /** Records a stream that began here; the next tick() tells its holders. */
    void publish(std::string_view attemptId, SoftwareId);
    /** The software that began the stream, as far as this instance knows itself; 0 if it does not. */
    SoftwareId findHere(std::string_view attemptId) const;
    /** Finds the software that began the stream and passes it on: at once if it is known here, otherwise within lookupTimeout. */
    void find(std::string_view attemptId, OnFound);

    /** Handles a datagram of another instance; other kinds of datagrams have no effect. */
    void onDatagram(const fleetwire::Datagram&);
    /** Sends what is due and ends searches that found nothing; to be called about every 50 ms. */
    void tick();
    /** Number of streams whose software is known here. */
    std::size_t size() const { return m_table.size(); }

    /** A round trip to the farthest region and one repetition fit into this time. */
    static constexpr Duration lookupTimeout = milliseconds(400);

private:
    /** Attempts are spread over this many groups, each with holders of its own. */
    static constexpr std::size_t groupCount = 128;

    struct Holders {
        /** Addresses of instances of the own region. */
        std::vector<std::string> ownRegion;
        /** Addresses of one instance each of the other regions, in the order of the regions' weights for the group. */
        std::vector<std::string> otherRegions;
        Instant chosenAt {};
    };
    /** Active instances of a region. */
    struct Region {
        std::vector<InstanceId> instances;
        std::map<InstanceId, std::string> addresses;
    };
    struct Search {
        Instant startedAt {};
        Instant askedAt {};
        std::vector<OnFound> waiting;
    };
    /** Attempts to tell of, by the software that began their streams. */
    using News = std::map<SoftwareId, std::vector<AttemptHash>>;

    const Holders& holdersOf(AttemptHash);
    Holders chooseHolders(std::uint64_t group);
    void updateRegions();
    void add(AttemptHash, SoftwareId);
    void ask(AttemptHash);
    void sendNews();
    void send(const std::string& ip, const News&, bool passOn);
    void onNews(const fleetwire::StreamOriginNews&);
    void onQuestion(const fleetwire::StreamOriginQuestion&);

    const Clock& m_clock;
    const EntrySettings& m_settings;
    const PeerTable& m_peerTable;
    DatagramSender* m_sender = nullptr;
    StreamOriginTable m_table;
    std::map<RegionName, Region> m_regions;
    Instant m_regionsUpdatedAt {};
    std::array<Holders, groupCount> m_holders;
    /** By the address of the receiver. */
    std::map<std::string, News> m_newsForOwnRegion;
    std::map<std::string, News> m_newsForOtherRegions;
    std::map<AttemptHash, Search> m_searches;
};

} // namespace yuccashift
