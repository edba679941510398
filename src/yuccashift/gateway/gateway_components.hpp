#pragma once

#include "yuccashift/config/document_store.hpp"
#include "yuccashift/config/route_table.hpp"
#include "yuccashift/gateway/admission_gate.hpp"
#include "yuccashift/gateway/in_flight_request_tracker.hpp"
#include "yuccashift/gateway/lifecycle.hpp"
#include "yuccashift/http/backend_client.hpp"
#include "yuccashift/http/memory_account.hpp"
#include "yuccashift/kernel/settings.hpp"
#include "yuccashift/keys/key_table.hpp"
#include "yuccashift/limits/shared_limits.hpp"
#include "yuccashift/observe/metrics.hpp"
#include "yuccashift/observe/trace.hpp"
#include "yuccashift/peer/handshake.hpp"
#include "yuccashift/resilience/hedge_budget.hpp"
#include "yuccashift/resilience/outlier_ejection.hpp"
#include "yuccashift/resilience/prompt_quarantine.hpp"
#include "yuccashift/resilience/quarantine.hpp"
#include "yuccashift/resilience/retry_budget.hpp"
#include "yuccashift/routing/backend_load_tracker.hpp"
#include "yuccashift/routing/policies.hpp"
#include "yuccashift/routing/prefix_cache_tracker.hpp"
#include "yuccashift/routing/region_load_tracker.hpp"

#include <memory>
#include <mutex>

namespace yuccashift {

class EntryPolicy;

/** The policies that the settings name. */
struct Policies {
    std::unique_ptr<BackendPolicy> backend;
    std::unique_ptr<RegionPolicy> region;
    std::unique_ptr<EntryPolicy> entry;
};

/** Creates the policies. Fails with BadSettings if a name is not registered; the detail lists the registered names. */
Result<Policies> makePolicies(const PolicySettings&);

/** Settings, state and services that the components of one gateway instance share. Each member is thread safe by itself. */
struct GatewayComponents {
    GatewayComponents(Settings, Policies, const Clock&);
    ~GatewayComponents();
    GatewayComponents(const GatewayComponents&) = delete;
    GatewayComponents& operator=(const GatewayComponents&) = delete;

    /** Routes of the current documents; rebuilt when the documents have changed. */
    std::shared_ptr<const RouteTable> routes();
    /** Admission gate of the service; created on first use. */
    AdmissionGate& gate(const ServiceName&);
    /** Polls the admission gate of every service. */
    void pollGates();
    /** Known states of the document's backend servers for a request of these traits, with ejected ones marked. */
    std::vector<BackendState> backendStates(const Document&, const RequestTraits&);
    /** Starts a span as a child of `parent`. */
    Span startSpan(const TraceContext& parent, std::string name) const;
    /** Sets the span's duration and outcome and stores it. */
    void endSpan(Span, bool failed);

    const Settings settings;
    const Clock& clock;
    const Policies policies;
    const PeerIdentity self;
    const Instant startedAt;

    Lifecycle lifecycle;
    DocumentStore documents;
    KeyMinter minter;
    KeyTable keys;
    BackendLoadTracker loadTracker;
    PrefixCacheTracker prefixCacheTracker;
    RegionLoadTracker regionLoadTracker;
    SharedLimits limits;
    RetryBudget retryBudget;
    HedgeBudget hedgeBudget;
    OutlierEjection ejection;
    Quarantine quarantine;
    PromptQuarantine promptQuarantine;
    InFlightRequestTracker inFlightRequests;
    Metrics metrics;
    /** What the connections of all listeners hold. */
    MemoryAccount memory;
    SpanBuffer spans;
    std::unique_ptr<BackendClient> backends;
    /** Number of instances that send requests to the backend servers of this region. */
    std::atomic<std::uint32_t> senderCount { 1 };

private:
    std::vector<BackendState> gateStates(const ServiceName&, const RequestTraits&);

    std::mutex m_routesMutex;
    std::shared_ptr<const RouteTable> m_routes;
    std::mutex m_gatesMutex;
    std::map<ServiceName, std::unique_ptr<AdmissionGate>> m_gates;
};

/** Random number generator of the calling thread. */
RandomSource& threadRandom();

} // namespace yuccashift
