#pragma once

#include "yuccashift/gateway/request_context.hpp"
#include "yuccashift/http/answer_sink.hpp"

#include <boost/asio/awaitable.hpp>
#include <functional>

namespace yuccashift {

struct Parts;

/** Chooses a backend server other than the first, or null where there is none or no budget. */
using ChooseSecond = std::function<const BackendSpec*()>;

/**
 * Sends an idempotent request for a whole answer to one backend server, and
 * after the delay to a second one. The first whole answer wins; the other
 * sending is cancelled and its connection closed. The failure of the last one
 * where both fail.
 */
boost::asio::awaitable<Result<void>> runHedged(Parts&, const RequestContext&, const BackendSpec& first, ChooseSecond, Duration delay, AnswerSink&);

} // namespace yuccashift
