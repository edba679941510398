#pragma once

#include "yuccashift/gateway/request_context.hpp"
#include "yuccashift/http/answer_sink.hpp"

#include <boost/asio/awaitable.hpp>
#include <functional>

namespace yuccashift {

struct GatewayComponents;

/** Chooses a backend server other than the first; returns nullptr if there is none or the hedge budget is used up. */
using ChooseHedgeBackend = std::function<const BackendSpec*()>;

/**
 * Sends an idempotent request that is not streamed to one backend server and,
 * after the delay, to a second one. The first complete answer is sent to the
 * caller; the other attempt is cancelled and its connection closed. If both
 * attempts fail, the error of the second one is returned; if the first fails
 * before the delay has passed, its error.
 */
boost::asio::awaitable<Result<void>> runHedged(GatewayComponents&, const RequestContext&, const BackendSpec& first, ChooseHedgeBackend, Duration delay, AnswerSink&);

} // namespace yuccashift
