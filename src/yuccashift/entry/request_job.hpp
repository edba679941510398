#pragma once

#include "yuccashift/answers/event_gate.hpp"
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
 * One request from its arrival to the end of its answer: finds its route, picks
 * a server here or an instance elsewhere, passes the answer on, and repeats
 * only what may be repeated.
 */
class RequestJob final : public OutboundListener, public std::enable_shared_from_this<RequestJob> {
public:
    /** Takes over the exchange; `hop` where another instance holds the caller. */
    static void start(EntryCore&, std::shared_ptr<InboundExchange>, std::optional<HopMetadata> hop);

    RequestJob(EntryCore&, std::shared_ptr<InboundExchange>, std::optional<HopMetadata>);
    ~RequestJob() override;

    void onAnswerHead(const AnswerHead&) override;
    void onAnswerBody(std::string_view) override;
    void onAnswerEnd() override;
    void onAnswerFailure(OutboundFailure, std::string_view reason) override;

private:
    /** What is done with the answer that is coming in. */
    enum class Intake {
        None,
        /** Kept until it is whole, then passed on or replaced by another attempt. */
        Whole,
        /** Passed on as it comes. */
        Stream,
        /** Says that nothing ran. */
        NotRun,
        /** Another instance's own failure. */
        HopFailure,
    };

    /** Where the request goes next, with what the decision rests on. */
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
    void carryOut(const Plan&);
    void sendToServer(const LocalPlan&);
    void sendToInstance(const PeerState&, Duration predicted);
    std::string requestBytes(const std::string& extraHeaders) const;
    void passOn(std::string_view);
    void sendStreamHead();
    /** Notes when a part of the answer came. */
    void notePart(std::size_t bytes);
    void onWholeAnswer();
    void onStreamEnd();
    void onNotRun();
    void onHopFailure();
    void onSendLost(OutboundFailure, std::string_view reason);
    /** Sends the request once more where that is allowed; false where it is not. */
    bool repeat(std::string_view why);
    /** The newest send is over; tells what it says of the server. */
    void endSend(ServerOutcome);
    void onTimeLimit();
    void onCallerGone();
    void failWith(const Error&);
    void finish(std::string_view outcome, std::string_view reason = {});
    Duration timeLeft() const;
    Duration objectiveLeft() const;
    /** The event after which the next server goes on. */
    std::optional<std::string> resumeAfter() const;
    std::uint64_t fingerprint() const;
    bool crashesServers() const;

    EntryCore& m_core;
    std::shared_ptr<InboundExchange> m_exchange;
    std::optional<HopMetadata> m_hop;
    std::shared_ptr<const RouteIndex> m_routes;
    const Route* m_route = nullptr;
    ServiceName m_service;
    RequestMetadata m_facts;
    Instant m_deadline {};
    Instant m_objectiveAt {};
    boost::asio::steady_timer m_timer;

    /** Sends that may have reached a server. */
    std::uint32_t m_attempts = 0;
    std::set<std::uint64_t> m_triedServers;
    std::set<InstanceId> m_triedInstances;
    bool m_mayHaveRun = false;
    std::unique_ptr<OutboundExchange> m_outbound;
    RequestTicket m_ticket;
    std::string m_serverId;
    std::string m_serverPool;
    InstanceId m_viaInstance;
    bool m_hopInProgress = false;
    Instant m_sentAt {};
    /** Time to the first byte as the newest send was planned. */
    Duration m_predicted {};
    Instant m_firstByteAt {};
    Instant m_lastPartAt {};

    Intake m_intake = Intake::None;
    AnswerHead m_head;
    std::string m_body;
    std::optional<Error> m_hopError;
    EventGate m_gate;
    bool m_done = false;
};

} // namespace yuccashift
