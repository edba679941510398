#pragma once

#include "yuccashift/gateway/answer_relay.hpp"
#include "yuccashift/gateway/request_context.hpp"
#include "yuccashift/http/backend_client.hpp"

#include <boost/asio/awaitable.hpp>

namespace yuccashift {

struct GatewayComponents;

/** One attempt to have a backend server answer a request. */
class Attempt {
public:
    /** @param newConnection opens a new connection even if a pooled one may be used */
    Attempt(GatewayComponents&, const RequestContext&, const BackendSpec&, AnswerRelay&, bool newConnection);

    /** Sends the request and relays its answer; updates the load tracker, outlier ejection and the quarantine. */
    boost::asio::awaitable<Result<void>> run();

private:
    boost::asio::awaitable<Result<void>> exchange(const TraceContext&);
    BackendCall makeCall(const TraceContext&) const;
    boost::asio::awaitable<void> handleConnectionLoss(const Error&);
    void recordOutcome(const Result<void>&);
    std::uint64_t expectedTokens() const;

    GatewayComponents& m_components;
    const RequestContext& m_context;
    const BackendSpec& m_backend;
    AnswerRelay& m_relay;
    bool m_newConnection;
    Instant m_sentAt {};
};

/**
 * Whether the request may use a pooled connection. Idempotent requests of plain
 * services may: their answers are quick, so that silence means a dead connection.
 */
bool mayReuseConnection(const RequestContext&);

} // namespace yuccashift
