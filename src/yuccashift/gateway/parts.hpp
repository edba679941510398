#pragma once

#include "yuccashift/config/document_store.hpp"
#include "yuccashift/config/route_table.hpp"
#include "yuccashift/gateway/admission_gate.hpp"
#include "yuccashift/gateway/in_progress_book.hpp"
#include "yuccashift/gateway/lifecycle.hpp"
#include "yuccashift/http/backend_client.hpp"
#include "yuccashift/kernel/settings.hpp"
#include "yuccashift/keys/key_table.hpp"
#include "yuccashift/limits/shared_limits.hpp"
#include "yuccashift/observe/metrics.hpp"
#include "yuccashift/observe/trace.hpp"
#include "yuccashift/peer/handshake.hpp"
#include "yuccashift/resilience/hedge_budget.hpp"
#include "yuccashift/resilience/outlier_ejection.hpp"
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

/** The plug-ins that the settings name. */
struct Policies {
    std::unique_ptr<BackendPolicy> backend;
    std::unique_ptr<RegionPolicy> region;
    std::unique_ptr<EntryPolicy> entry;
};

/** BadSettings where a name is not registered; the detail lists those that are. */
Result<Policies> makePolicies(const PolicySettings&);

/** State that the parts of one instance share. Each member is thread safe by itself. */
struct Parts {
    Parts(Settings, Policies, const Clock&);
    ~Parts();
    Parts(const Parts&) = delete;
    Parts& operator=(const Parts&) = delete;

    /** Routes of the documents in force, made anew when they change. */
    std::shared_ptr<const RouteTable> routes();
    /** Gate of one service. */
    AdmissionGate& gate(const ServiceName&);
    void pollGates();
    /** Backend servers of this region as they are believed to be, ejected ones marked. */
    std::vector<BackendState> backendStates(const Document&, const RequestTraits&);
    Span startSpan(const TraceContext& parent, std::string name) const;
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
    BackendLoadTracker loads;
    PrefixCacheTracker caches;
    RegionLoadTracker regions;
    SharedLimits limits;
    RetryBudget retries;
    HedgeBudget hedges;
    OutlierEjection ejection;
    Quarantine quarantine;
    InProgressBook inProgress;
    Metrics metrics;
    SpanBuffer spans;
    std::unique_ptr<BackendClient> backends;
    /** Instances that send to the backend servers of this region. */
    std::atomic<std::uint32_t> senders { 1 };

private:
    std::vector<BackendState> gateStates(const ServiceName&, const RequestTraits&);

    std::mutex m_routesMutex;
    std::shared_ptr<const RouteTable> m_routes;
    std::mutex m_gatesMutex;
    std::map<ServiceName, std::unique_ptr<AdmissionGate>> m_gates;
};

/** A generator of the calling thread. */
RandomSource& threadRandom();

} // namespace yuccashift
