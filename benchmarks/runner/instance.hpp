#pragma once

#include "benchmarks/runner/exchange.hpp"
#include "yuccashift/admission/admission_queue.hpp"
#include "yuccashift/limits/shared_limits.hpp"
#include "yuccashift/resilience/hedge_budget.hpp"
#include "yuccashift/resilience/outlier_ejection.hpp"
#include "yuccashift/resilience/quarantine.hpp"
#include "yuccashift/resilience/retry_budget.hpp"
#include "yuccashift/routing/backend_load_tracker.hpp"
#include "yuccashift/routing/policies.hpp"
#include "yuccashift/routing/prefix_cache_tracker.hpp"
#include "yuccashift/routing/region_load_tracker.hpp"

#include <unordered_map>

namespace yuccashift::runner {

class Fleet;

/** Which plug-ins decide in a run. */
struct Contender {
    std::string name;
    std::string backendPolicy = "expected-latency";
    std::string regionPolicy = "expected-latency";
};

/** One instance: the shipped decision modules, joined as the daemon joins them. */
class Instance {
public:
    Instance(Fleet&, InstanceId, std::size_t region, const Contender&, std::uint64_t seed);

    /** A request from its caller. */
    void receive(const ExchangePtr&);
    /** A request that another instance forwarded, or a local one once its region is chosen. */
    void execute(const ExchangePtr&);
    /** Stops all work on the exchange without an answer. */
    void abandon(Exchange&);

    RegionLoad summary(const Document&);
    std::size_t region() const { return m_region; }
    const InstanceId& id() const { return m_id; }

    BackendLoadTracker& loads() { return m_loads; }
    PrefixCacheTracker& caches() { return m_caches; }
    RegionLoadTracker& regions() { return m_regions; }
    Quarantine& quarantine() { return m_quarantine; }
    SharedLimits& limits() { return m_limits; }

    bool alive = true;

private:
    struct Waiting {
        AdmissionQueue queue;
        std::unordered_map<std::uint64_t, ExchangePtr> exchanges;
        bool pumping = false;
        explicit Waiting(std::size_t limit);
    };

    std::vector<BackendState> backendStates(const Exchange&);
    Duration localWait(const Exchange&, std::span<const BackendState>);
    bool forward(const ExchangePtr&, std::span<const BackendState>);
    void enqueue(const ExchangePtr&, std::span<const BackendState>);
    void reconsiderLater(const ExchangePtr&, Instant at);
    void pump(const ServiceName&);
    void keepPumping(const ServiceName&);
    void keepSuspectsApart(const Exchange&, std::span<BackendState>);
    void dispatch(const ExchangePtr&);
    void send(const ExchangePtr&, const BackendState&);
    void hedge(const ExchangePtr&);
    void onReply(const ExchangePtr&, std::uint64_t attempt, Reply);
    void onServerDeath(const BackendKey&);
    void retryOrFail(const ExchangePtr&, bool mayHaveRun);
    void refuse(const ExchangePtr&, const Error&);
    void finish(const ExchangePtr&, Ending, Duration retryAfter);
    Waiting& waiting(const ServiceName&);

    Fleet& m_fleet;
    InstanceId m_id;
    std::size_t m_region;
    SeededRandom m_random;
    std::unique_ptr<BackendPolicy> m_backendPolicy;
    std::unique_ptr<RegionPolicy> m_regionPolicy;
    BackendLoadTracker m_loads;
    PrefixCacheTracker m_caches;
    RegionLoadTracker m_regions;
    OutlierEjection m_ejection;
    RetryBudget m_retries;
    HedgeBudget m_hedges;
    Quarantine m_quarantine;
    SharedLimits m_limits;
    std::map<ServiceName, Waiting> m_waiting;
    std::unordered_map<std::uint64_t, std::pair<BackendKey, std::uint64_t>> m_inProgress;
    std::uint64_t m_lastId = 0;
};

} // namespace yuccashift::runner
