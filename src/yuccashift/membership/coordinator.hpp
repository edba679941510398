#pragma once

#include "yuccashift/config/config_distributor.hpp"
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
class PromptQuarantine;
class Quarantine;
class SummaryExchange;
enum class SenderSelection;

/** Modules whose data heartbeats carry; null for a module that exchanges nothing. All must outlive the coordinator. */
struct CoordinatorHooks {
    LoadExchange* loads = nullptr;
    SummaryExchange* summaries = nullptr;
    DemandExchange* demands = nullptr;
    Quarantine* quarantine = nullptr;
    PromptQuarantine* promptQuarantine = nullptr;
};

struct CoordinatorTiming {
    /** Time between two heartbeats to another region. */
    Duration crossRegionInterval = seconds(2);
    /** Minimum time between two notifications of other regions about new documents. */
    Duration noticeInterval = milliseconds(500);
    MembershipTiming membership;
    ConfigDistributionTiming configDistribution;
};

/** Snapshot of what this instance knows about all instances. Immutable. */
struct MemberView {
    std::map<InstanceId, MemberState> members;
    /** Alive members of the own region, and this instance unless it drains. */
    std::vector<InstanceId> liveInRegion;
    /** False after a pause of the process until another instance is heard again. */
    bool confirmed = false;
    /** Number of process pauses detected so far. */
    std::uint64_t pauseGeneration = 0;
};

using MemberViewPtr = std::shared_ptr<const MemberView>;

/**
 * Exchanges membership, documents, loads, summaries, demands and quarantine
 * records with other instances. Performs no I/O: the caller delivers the frames
 * that it returns, any of which may be lost without harm. Thread safe under one
 * lock, which is not held while decisions about requests read a view.
 */
class Coordinator {
public:
    Coordinator(MemberInfo self, DocumentStore&, CoordinatorHooks, std::unique_ptr<RandomSource>, CoordinatorTiming = {});
    ~Coordinator();

    /** Returns the frames that are due. To be called about every 100 ms; a much longer gap counts as a pause of the process. */
    OutgoingFrames tick(Instant now);
    /** Processes a control frame of an authenticated instance. The frames returned answer it or pass it on. */
    OutgoingFrames receive(const InstanceId& from, const wire::Frame&, Instant now);
    /** Processes the platform's list of instances. */
    void onListing(const InstanceListing&, Instant now);
    /**
     * Processes a document's text from the configuration service. All texts must be
     * passed here and none directly to the store.
     * The frames that pass the document on are appended to the last argument.
     */
    Result<Acceptance> offer(std::string text, const ServiceName& publishedAs, Instant now, OutgoingFrames&);
    /** Marks this instance as draining. The next tick sends heartbeats that say so, whether or not they are due. */
    void setDraining();

    MemberViewPtr view() const;
    /** This instance as its heartbeats describe it. */
    MemberInfo self() const;
    /** The incarnation of a key's minter, for routeKey(). The caller fills in reachability and residency. */
    MinterState minterState(const InstanceId&) const;
    /** Whether the peers have been asked for their documents, or none of them answered in time. */
    bool ready() const;
    /** Whether a later start of this instance is running, in which case this one accepts no more work. */
    bool superseded() const;
    /** Creation time of the newest summary received from another region, directly or relayed; std::nullopt if there is none. */
    std::optional<Instant> regionHeardAt(const RegionName&) const;

private:
    const ConfigPeers& configPeers();
    void onHeartbeat(const InstanceId& from, const wire::Heartbeat&, Instant now, OutgoingFrames&);
    void answerEarlierIncarnation(const MemberState&, Instant now, OutgoingFrames&);
    void applyExchanges(const InstanceId& from, const wire::Heartbeat&, bool sameRegion, Instant now);
    void sendRegionHeartbeats(Instant now, OutgoingFrames&);
    void sendLoads(Instant now, OutgoingFrames&);
    void sendCrossRegionHeartbeats(Instant now, OutgoingFrames&);
    void notifyOtherRegions(Instant now, OutgoingFrames&);
    void sendToOtherRegions(const wire::Heartbeat&, SenderSelection, OutgoingFrames&);
    wire::Heartbeat makeHeartbeat(std::size_t revisions, Instant now);
    wire::Heartbeat makeRegionHeartbeat(const HeartbeatBudget&, Instant now);
    wire::Heartbeat makeCrossRegionHeartbeat(const HeartbeatBudget&, Instant now);
    void onPauseEnd(Instant now);
    void publishView();

    mutable std::mutex m_mutex;
    CoordinatorHooks m_hooks;
    std::unique_ptr<RandomSource> m_random;
    CoordinatorTiming m_timing;
    MemberTable m_table;
    ConfigDistributor m_configDistributor;
    SummaryRelay m_relay;
    PauseDetector m_pauses;
    std::uint64_t m_sequence = 0;
    std::uint64_t m_crossRegionRound = 0;
    /** Heartbeats up to this sequence number carry this instance's addresses. */
    std::uint64_t m_introduceUntil = 0;
    Instant m_nextRegionHeartbeat {};
    Instant m_nextLoadReport {};
    Instant m_nextCrossRegionHeartbeat {};
    Instant m_lastNotification {};
    /** ConfigDistributor::changeCount() at the last notification of other regions. */
    std::uint64_t m_notifiedChanges = 0;
    bool m_confirmed = true;
    MemberViewPtr m_view;
    ConfigPeers m_peers;
    /** Generation of the member table from which m_peers was made. */
    std::optional<std::uint64_t> m_peersGeneration;
    /** Generation of the member table from which m_view was made. */
    std::uint64_t m_viewGeneration = 0;
};

} // namespace yuccashift
