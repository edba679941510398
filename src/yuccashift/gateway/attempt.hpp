#pragma once

#include "yuccashift/gateway/answer_relay.hpp"
#include "yuccashift/gateway/request_context.hpp"
#include "yuccashift/http/backend_client.hpp"

#include <boost/asio/awaitable.hpp>

namespace yuccashift {

struct Parts;

/** One sending of a request to one backend server. */
class Attempt {
public:
    /** @param fresh opens a new connection where a pooled one would do */
    Attempt(Parts&, const RequestContext&, const BackendSpec&, AnswerRelay&, bool fresh);

    /** Sends the request and relays its answer; keeps the books of load, outliers and crashes. */
    boost::asio::awaitable<Result<void>> run();

private:
    boost::asio::awaitable<Result<void>> exchange(const TraceContext&);
    BackendCall makeCall(const TraceContext&) const;
    boost::asio::awaitable<void> noteLoss(const Error&);
    void noteOutcome(const Result<void>&);
    std::uint64_t expectedTokens() const;

    Parts& m_parts;
    const RequestContext& m_context;
    const BackendSpec& m_backend;
    AnswerRelay& m_relay;
    bool m_fresh;
};

/**
 * Whether requests of this kind may use pooled connections. Plain idempotent
 * ones may: their answers are quick, so that silence means a dead connection.
 */
bool mayReuseConnection(const RequestContext&);

} // namespace yuccashift
