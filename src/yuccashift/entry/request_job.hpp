#pragma once

#include "yuccashift/answers/sse_event_filter.hpp"
#include "yuccashift/answers/stream_software.hpp"
#include "yuccashift/entry/entry_core.hpp"
#include "yuccashift/entry/hop.hpp"
#include "yuccashift/entry/request_resolution.hpp"
#include "yuccashift/http/inbound.hpp"
#include "yuccashift/http/outbound.hpp"
#include "yuccashift/kernel/one_shot_timer.hpp"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <optional>
#include <set>

namespace yuccashift {

/**
 * Handles one request from its arrival to the end of its answer: resolves the
 * route, chooses a server of this region or an instance of another one, sends the
 * request there or to the server's owner, forwards the answer, and retries if the
 * route allows it.
 */
class RequestJob final : public OutboundListener, public Evictable, public std::enable_shared_from_this<RequestJob> {
public:
    /** Takes over the exchange and dispatches the request. `hop` is set if another instance forwarded the request. */
    static void start(EntryCore&, std::shared_ptr<InboundExchange>, std::optional<HopMetadata> hop);
    /** Answers all requests in progress with a failure, because the process ends. */
    static void endAll(EntryCore&);

    RequestJob(EntryCore&, std::shared_ptr<InboundExchange>, std::optional<HopMetadata>);
    ~RequestJob() override;

    void onAnswerHead(const AnswerHead&) override;
    void onAnswerBody(std::string_view) override;
    void onAnswerEnd() override;
    void onAnswerFailure(OutboundFailure, std::string_view reason) override;
    void evict() override;

private:
    /** How the answer to the current attempt is handled. */
    enum class AnswerMode {
        /** No head has arrived yet. */
        None,
        /** Buffered until complete, then forwarded or replaced by the answer of a retry. */
        Buffered,
        /** Forwarded as it arrives. */
        Stream,
        /** The server states that it has not run the request. */
        NotRun,
        /** The executing instance reports its own failure. */
        HopFailure,
    };

    /** The next destination, with the candidates that the decision is based on. */
    struct Plan {
        LocalPlan local;
        RemotePlan remote;
        Placement placement;
    };

    bool prepare();
    Result<void> resolve();
    /** The error for a caller whose credential the configuration in force does not hold. */
    Error credentialError(std::string_view credentialId) const;
    void armTimeLimit();
    /** Finds the software that began the stream, if the caller resumes one, and then dispatches the request. */
    void identifyStream();
    /**
     * Continues with the software that began the stream; 0 if no instance has recorded it.
     * @param heardSince the instance must have heard others since then to conclude the software from those that serve
     */
    void onStreamIdentified(SoftwareId, Instant heardSince);
    /** The software that must have begun the stream although no instance recorded it; 0 if that is not certain. */
    SoftwareId concludeSoftware(Instant heardSince) const;
    /** Counts the request of a caller and dispatches it. */
    void begin();
    /** Charges the request of a caller to its organisation's limit; returns LimitExceeded if that is used up. */
    Result<void> chargeLimit();
    /** Gives back what was charged, since the request never ran. */
    void giveLimitBack();
    Plan plan();
    /** Decides whether this region takes the request, and counts it as demand; to be called once. */
    bool acceptHere(const LocalPlan&);
    /** Removes regions that have refused the request or, by what they report, would do so. */
    void dropRegionsWithoutRoom(RemotePlan&);
    void dispatch();
    void executePlan(const Plan&);
    /** Plans again after a short time and returns true, if only full servers could take the request and it can still wait. */
    bool waitForSlot(const LocalPlan&);
    void sendToServer(const LocalPlan&);
    /** Sends the request to the instance that owns the chosen server. */
    void sendToOwner(const PeerState&, const LocalPlan&);
    /** Sends the request to an instance of another region. */
    void sendToRegion(const PeerState&, Duration predicted);
    /** Metadata of a hop whose answer needs `returnTime` for its way back. */
    HopMetadata hopMetadata(Duration returnTime) const;
    void startHop(const PeerState&, const HopMetadata&, Duration predicted);
    /** Excludes instances that would take this request for one of another instance. */
    void excludeInstancesByPath();
    /** Whether the instance that answers leaves open if a server or it itself gave the answer. */
    bool isOfUnknownSource(const AnswerHead&) const;
    /** The head as the sender of the request receives it. */
    AnswerHead answerHead() const;
    /** The server that the origin chose, if this instance executes the request as its owner; else 0. */
    std::uint64_t assignedServer() const { return m_hopMetadata ? m_hopMetadata->server : 0; }
    void forwardStreamData(std::string_view);
    void sendStreamHead();
    /** Records the software that began the stream, for callers that resume it at any instance. */
    void onFirstEvents();
    /** Counts the parts of the answer that are kept until they can be forwarded; ends the attempt if there is no memory for them. */
    void holdAnswer();
    void releaseAnswer();
    /** Records the time and size of received answer data. */
    void recordAnswerData(std::size_t bytes);
    void onBufferedAnswer();
    void onStreamEnd();
    void onNotRun();
    void onHopFailure();
    void onConnectionLost(OutboundFailure, std::string_view reason);
    /** Sends the request again and returns true, or returns false if no retry is allowed or possible. */
    bool retry(std::string_view why);
    /** Ends the current attempt and reports its outcome to the load tracking. */
    void endAttempt(ServerOutcome);
    void onTimeLimit();
    void onCallerGone();
    void onProcessEnds();
    /** Whether the attempt in progress, if there is one, may have run. */
    RunState runStateOfAttempt() const;
    void failWith(const Error&);
    void finish(std::string_view outcome, std::string_view reason = {});
    /** Counts whether a request for which there was room was served as promised. */
    void recordPromise(const RequestSummary&);
    /** Time left until the deadline, at least zero. */
    Duration timeLeft() const;
    /** Time left until the first byte is due under the latency objective, at least zero. */
    Duration firstByteTimeLeft() const;
    /** Id of the event after which the next server resumes the stream: the last one forwarded, or else the one that the request names. */
    std::optional<std::string> resumeAfter() const;
    /** Short hash of the request's method, host, target and body, by which crashes are recorded. */
    PartHash requestHash() const;
    /** What may be quarantined of this request: the shared parts of its prompt, and the whole request. */
    std::vector<PartHash> quarantineHashes() const;
    bool isQuarantined() const;
    Error quarantineError(PartHash found) const;
    /** Fails if the request is quarantined and is not the one that is let through. */
    Result<void> checkQuarantine();
    /** Tells the quarantine that a server of this region has served the request. */
    void recordServed();
    /** Records that the connection to a server of this region broke off, which may be a crash. */
    void recordServerLost();

    EntryCore& m_core;
    std::shared_ptr<InboundExchange> m_exchange;
    std::optional<HopMetadata> m_hopMetadata;
    ResolvedRequest m_request;
    boost::asio::steady_timer m_timer;
    OneShotTimer m_slotTimer;
    /** When the request stops waiting for a slot; std::nullopt before it waits. */
    std::optional<Instant> m_slotWaitEndsAt;

    /** The shared parts of the prompt. */
    std::vector<PartHash> m_sharedParts;
    /** Whether it is the single request that is let through though it is quarantined. */
    bool m_probesQuarantine = false;
    /** Computed when it is first needed, which is rare: the body may be large. */
    mutable std::optional<PartHash> m_requestHash;

    /** Attempts that may have reached a server. */
    std::uint32_t m_attempts = 0;
    std::set<std::uint64_t> m_triedServers;
    std::set<InstanceId> m_triedInstances;
    /** Whether this region takes the request, once that is decided. */
    std::optional<bool> m_acceptedHere;
    /** What that was based on, for the log; std::nullopt if the service is not limited. */
    struct AcceptanceLog {
        double share = 1;
        double shareOfReturning = 1;
        /** Demand of this level and of those before it, and the room for all, in engines. */
        double demand = 0;
        double room = 0;
    };
    std::optional<AcceptanceLog> m_acceptance;
    /** Uniform in [0, 1): sends the request to regions that take at least this share of what is offered. */
    std::optional<double> m_remoteDraw;
    std::set<RegionName> m_refusedRegions;
    /** Whether a region was left out for want of room. */
    bool m_regionsWithoutRoom = false;
    bool m_mayHaveRun = false;
    std::unique_ptr<OutboundExchange> m_outbound;
    RequestTicket m_requestTicket;
    std::string m_serverId;
    std::string m_serverPoolKey;
    InstanceId m_peerInstance;
    /** Whether the receiver of the hop in progress marks the answers of servers. */
    bool m_hopMarksAnswers = false;
    /** The server that the hop in progress names; 0 if there is none or the receiver chooses. */
    std::uint64_t m_serverOfHop = 0;
    bool m_regionHopInProgress = false;
    /** Hops after which the receiver had not sent the request to a server. */
    std::uint32_t m_refusedHops = 0;
    Instant m_sentAt {};
    /** Time to first byte that was predicted for the current attempt. */
    Duration m_predictedFirstByte {};
    Instant m_firstByteAt {};
    Instant m_lastDataAt {};

    AnswerMode m_answerMode = AnswerMode::None;
    AnswerHead m_head;
    /** Framing of the attempt's answer, for the log; empty before its head. */
    std::string_view m_framing;
    /** Bytes of the body of the attempt's answer so far, and when the first ones arrived. */
    std::size_t m_answerBytes = 0;
    Instant m_answerBeganAt {};
    /** Bytes of the body of a refusal so far. */
    std::size_t m_refusalBytes = 0;
    std::string m_body;
    /** Set while a large part of an answer is kept. */
    std::optional<MemoryHolder> m_answerMemory;
    std::optional<HopFailure> m_hopFailure;
    SseEventFilter m_eventGate;
    /** The software that began the stream. */
    StreamSoftware m_streamSoftware;
    /** Software of the current attempt's server; 0 if it is not known. */
    SoftwareId m_attemptSoftware = 0;
    bool m_chargedLimit = false;
    bool m_done = false;
};

} // namespace yuccashift
