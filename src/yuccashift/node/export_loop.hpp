#pragma once

#include "yuccashift/node/loop_context.hpp"

namespace yuccashift {

/** Exports finished spans to the trace collector in the settings. Returns immediately if none is configured. */
boost::asio::awaitable<void> runSpanExport(LoopContext);

} // namespace yuccashift
