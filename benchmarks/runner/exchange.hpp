#pragma once

#include "benchmarks/runner/result.hpp"
#include "benchmarks/runner/server_model.hpp"
#include "yuccashift/kernel/error.hpp"
#include "yuccashift/routing/backend_load_tracker.hpp"

#include <map>
#include <memory>

namespace yuccashift::runner {

class Instance;

/** What one caller wants answered; lives over all its sendings. */
struct Request {
    const Arrival* arrival = nullptr;
    std::uint64_t fingerprint = 0;
    std::uint32_t sends = 0;
    bool ended = false;
    bool away = false;
};

/** An attempt on a server, as the instance that made it sees it. */
struct RunningAttempt {
    ServerModel* server = nullptr;
    InFlightRequest own;
    /** Identifier at the server; nothing until it has arrived there. */
    std::optional<std::uint64_t> serverAttempt;
};

/** One sending of a request on its way through the instances. */
struct Exchange {
    std::shared_ptr<Request> request;
    RequestTraits traits;
    Instance* entry = nullptr;
    Instance* executor = nullptr;
    std::uint32_t attempts = 0;
    std::map<std::uint64_t, RunningAttempt> running;
    std::uint64_t queueId = 0;
    bool reconsidered = false;
    bool done = false;
};

using ExchangePtr = std::shared_ptr<Exchange>;

} // namespace yuccashift::runner
