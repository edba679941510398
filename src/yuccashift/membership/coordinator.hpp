#pragma once

#include "yuccashift/config/config_spread.hpp"
#include "yuccashift/kernel/error.hpp"
#include "yuccashift/keys/key_routing.hpp"
#include "yuccashift/membership/heartbeat_budget.hpp"
#include "yuccashift/membership/member_table.hpp"
#include "yuccashift/membership/outgoing.hpp"
#include "yuccashift/membership/summary_relay.hpp"
#include "yuccashift/resilience/pause_detector.hpp"

#include <memory>
#include <mutex>

namespace yuccashift {

class DemandExchange;
class LoadExchange;
class Quarantine;
class SummaryExchange;
enum class SenderSelection;

/** What heartbeats carry for other modules; null where nothing is exchanged. All outlive the coordinator. */
struct CoordinatorHooks {
    LoadExchange* loads = nullptr;
    SummaryExchange* summaries = nullptr;
    DemandExchange* demands = nullptr;
    Quarantine* quarantine = nullptr;
};

struct CoordinatorTiming {
    /** Between two heartbeats to another region. */
    Duration crossRegionInterval = seconds(2);
    /** Least time between a new document and its notice to other regions. */
    Duration noticeInterval = milliseconds(500);
    MembershipTiming membership;
    SpreadTiming spread;
};

/** All instances as this one believes them to be at one moment. Immutable. */
struct MemberView {
    std::map<InstanceId, MemberState> members;
    /** Alive members of the own region, this instance included unless it drains. */
    std::vector<InstanceId> liveInRegion;
    /** Whether this view was formed or confirmed since the last pause of the process. */
    bool confirmed = false;
    /** Pauses noticed so far. */
    std::uint64_t pauseGeneration = 0;
};

using MemberViewPtr = std::shared_ptr<const MemberView>;

/**
 * What an instance tells others and learns from them: membership, documents,
 * loads, summaries, demands and quarantine. Knows no sockets: the caller
 * delivers the frames it returns, losing any of them does no harm. Thread safe
 * under one lock, which is never held while decisions about requests read a
 * view.
 */
class Coordinator {
public:
    Coordinator(MemberInfo self, DocumentStore&, CoordinatorHooks, std::unique_ptr<RandomSource>, CoordinatorTiming = {});
    ~Coordinator();

    /** To be called every 100 ms or so; a longer gap counts as a pause of the process. */
    OutgoingFrames tick(Instant now);
    /** A control frame of an authenticated instance; the frames returned answer it or pass it on. */
    OutgoingFrames receive(const InstanceId& from, const wire::Frame&, Instant now);
    void onListing(const Listing&, Instant now);
    /** A document's text from the configuration service. All texts go through here, none straight to the store. */
    Result<Acceptance> offer(std::string text, const ServiceName& publishedAs, Instant now, OutgoingFrames&);
    /** Heartbeats say so from the next tick on, which then is due at once. */
    void setDraining();

    MemberViewPtr view() const;
    /** This instance as it tells others of itself. */
    MemberInfo self() const;
    /** What routeKey() needs to know of a key's minter; reachability and residency are the caller's to add. */
    MinterBelief minterState(const InstanceId&) const;
    /** Whether the peers were asked for their documents, or none of them answered in time. */
    bool ready() const;
    /** A later start of this instance is running: this one takes no more work. */
    bool superseded() const;
    /** When another region was last heard of. */
    std::optional<Instant> regionHeardAt(const RegionName&) const;

private:
    const SpreadPeers& spreadPeers();
    void onHeartbeat(const InstanceId& from, const wire::Heartbeat&, Instant now, OutgoingFrames&);
    void answerReplaced(const MemberState&, Instant now, OutgoingFrames&);
    void takeExchanges(const InstanceId& from, const wire::Heartbeat&, bool sameRegion, Instant now);
    void beatRegion(Instant now, OutgoingFrames&);
    void beatLoads(Instant now, OutgoingFrames&);
    void beatOtherRegions(Instant now, OutgoingFrames&);
    void noticeOtherRegions(Instant now, OutgoingFrames&);
    void sendAcross(const wire::Heartbeat&, SenderSelection, OutgoingFrames&);
    wire::Heartbeat makeHeartbeat(std::size_t revisions, Instant now);
    wire::Heartbeat makeRegionHeartbeat(const HeartbeatBudget&, Instant now);
    wire::Heartbeat makeCrossHeartbeat(const HeartbeatBudget&, Instant now);
    void onPauseEnd(Instant now);
    void publishView();

    mutable std::mutex m_mutex;
    CoordinatorHooks m_hooks;
    std::unique_ptr<RandomSource> m_random;
    CoordinatorTiming m_timing;
    MemberTable m_table;
    ConfigSpread m_spread;
    SummaryRelay m_relay;
    PauseDetector m_pauses;
    std::uint64_t m_sequence = 0;
    std::uint64_t m_crossRound = 0;
    /** Heartbeats up to this one name the sender's addresses. */
    std::uint64_t m_introduceUntil = 0;
    Instant m_nextRegion {};
    Instant m_nextLoads {};
    Instant m_nextCross {};
    Instant m_lastNotice {};
    /** ConfigSpread::changes() that other regions were told of. */
    std::uint64_t m_noticedChanges = 0;
    bool m_confirmed = true;
    MemberViewPtr m_view;
    SpreadPeers m_peers;
    /** Of the member table, when m_peers was made. */
    std::optional<std::uint64_t> m_peersGeneration;
    /** Of the member table, when m_view was made. */
    std::uint64_t m_viewGeneration = 0;
};

} // namespace yuccashift
