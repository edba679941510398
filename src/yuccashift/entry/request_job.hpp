#pragma once

#include "yuccashift/answers/sse_event_filter.hpp"
#include "yuccashift/entry/entry_core.hpp"
#include "yuccashift/entry/hop.hpp"
#include "yuccashift/http/inbound.hpp"
#include "yuccashift/http/outbound.hpp"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <optional>
#include <set>

namespace yuccashift {

/**
 * Handles one request from its arrival to the end of its answer: resolves the
 * route, chooses a server of this region or an instance of another one, forwards
 * the answer, and retries if the route allows it.
 */
class RequestJob final : public OutboundListener, public std::enable_shared_from_this<RequestJob> {
public:
    /** Takes over the exchange and dispatches the request. `hop` is set if another instance forwarded the request. */
    static void start(EntryCore&, std::shared_ptr<InboundExchange>, std::optional<HopMetadata> hop);

    RequestJob(EntryCore&, std::shared_ptr<InboundExchange>, std::optional<HopMetadata>);
    ~RequestJob() override;

    void onAnswerHead(const AnswerHead&) override;
    void onAnswerBody(std::string_view) override;
    void onAnswerEnd() override;
    void onAnswerFailure(OutboundFailure, std::string_view reason) override;

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
    Result<void> resolveRoute();
    void armTimeLimit();
    Plan plan() const;
    void dispatch();
    void executePlan(const Plan&);
    void sendToServer(const LocalPlan&);
    void sendToInstance(const PeerState&, Duration predicted);
    std::string requestBytes(const std::string& extraHeaders) const;
    void forwardStreamData(std::string_view);
    void sendStreamHead();
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
    void failWith(const Error&);
    void finish(std::string_view outcome, std::string_view reason = {});
    /** Time left until the deadline, at least zero. */
    Duration timeLeft() const;
    /** Time left until the first byte is due under the latency objective, at least zero. */
    Duration firstByteTimeLeft() const;
    /** Id of the event after which the next server resumes the stream: the last one forwarded, or else the one that the request names. */
    std::optional<std::string> resumeAfter() const;
    /** Hash of the request's method, host, target and body, by which crashes are recorded. */
    std::uint64_t fingerprint() const;
    bool isQuarantined() const;

    EntryCore& m_core;
    std::shared_ptr<InboundExchange> m_exchange;
    std::optional<HopMetadata> m_hopMetadata;
    std::shared_ptr<const RouteIndex> m_routes;
    const Route* m_route = nullptr;
    ServiceName m_service;
    RequestMetadata m_metadata;
    Instant m_deadline {};
    Instant m_firstByteDueAt {};
    boost::asio::steady_timer m_timer;

    /** Attempts that may have reached a server. */
    std::uint32_t m_attempts = 0;
    std::set<std::uint64_t> m_triedServers;
    std::set<InstanceId> m_triedInstances;
    bool m_mayHaveRun = false;
    std::unique_ptr<OutboundExchange> m_outbound;
    RequestTicket m_requestTicket;
    std::string m_serverId;
    std::string m_serverPoolKey;
    InstanceId m_peerInstance;
    bool m_hopInProgress = false;
    Instant m_sentAt {};
    /** Time to first byte that was predicted for the current attempt. */
    Duration m_predictedFirstByte {};
    Instant m_firstByteAt {};
    Instant m_lastDataAt {};

    AnswerMode m_answerMode = AnswerMode::None;
    AnswerHead m_head;
    std::string m_body;
    std::optional<Error> m_hopError;
    SseEventFilter m_eventGate;
    bool m_done = false;
};

} // namespace yuccashift
