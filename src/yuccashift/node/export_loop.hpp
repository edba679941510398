#pragma once

#include "yuccashift/node/loop_context.hpp"

namespace yuccashift {

/** Sends finished spans to the collector that the settings name; ends at once where they name none. */
boost::asio::awaitable<void> runSpanExport(LoopContext);

} // namespace yuccashift
