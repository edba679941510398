#pragma once

#include "yuccashift/dispatch/fleet_retry_budget.hpp"
#include "yuccashift/dispatch/prompt_demand.hpp"
#include "yuccashift/dispatch/server_tracker.hpp"
#include "yuccashift/entry/dispatch_planner.hpp"
#include "yuccashift/entry/entry_settings.hpp"
#include "yuccashift/entry/graceful_shutdown.hpp"
#include "yuccashift/entry/listener_limits.hpp"
#include "yuccashift/entry/protocol_codec.hpp"
#include "yuccashift/entry/region_acceptance.hpp"
#include "yuccashift/entry/region_demand_estimator.hpp"
#include "yuccashift/entry/request_recorder.hpp"
#include "yuccashift/entry/stream_origins.hpp"
#include "yuccashift/fleet/fleet_state.hpp"
#include "yuccashift/fleet/peer_table.hpp"
#include "yuccashift/http/memory_account.hpp"
#include "yuccashift/http/outbound.hpp"
#include "yuccashift/kernel/random.hpp"
#include "yuccashift/limits/fleet_limits.hpp"
#include "yuccashift/observe/metrics.hpp"
#include "yuccashift/resilience/crash_confirmation.hpp"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <unordered_set>

namespace yuccashift {

class RequestJob;

/** State shared by the components of one entry instance. Accessed only from its event loop. */
struct EntryCore {
    EntryCore(boost::asio::io_context&, const Clock&, EntrySettings, const ProtocolCodec&, const ItemDecoder&, std::unique_ptr<RandomSource>);

    boost::asio::io_context& io;
    const Clock& clock;
    EntrySettings settings;
    const ListenerLimits listenerLimits;
    /** What the connections of all listeners and to all servers hold. */
    MemoryAccount memory;
    const ProtocolCodec& protocol;
    std::unique_ptr<RandomSource> random;
    FleetState fleetState;
    PeerTable peerTable;
    ServerTracker serverTracker;
    FleetRetryBudget retryBudget;
    FleetLimits fleetLimits;
    /** Parts of prompts and whole requests under which servers crashed. */
    PromptQuarantine promptQuarantine;
    /** Broken requests that become evidence there once their servers are known to have crashed. */
    CrashConfirmation crashConfirmation;
    StreamOrigins streamOrigins;
    RegionDemandEstimator regionDemand;
    PromptDemand promptDemand;
    /** Connection pool for backend servers. */
    OutboundPool serverConnections;
    /** Connection pool for other instances. */
    OutboundPool peerConnections;
    DispatchPlanner planner;
    RegionAcceptance acceptance;
    Metrics metrics;
    RequestRecorder requestRecorder;

    bool draining() const { return shutdown.has_value(); }
    /** Set from the stop signal on. */
    std::optional<GracefulShutdown> shutdown;
    /** Requests in progress; this set keeps them alive until they have ended. */
    std::unordered_set<std::shared_ptr<RequestJob>> activeRequests;
    /** Requests an immediate health probe of a server whose connection was lost. */
    std::function<void(std::uint64_t server)> requestProbe;
};

} // namespace yuccashift
