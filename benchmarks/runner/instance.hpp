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

/** Names of the policy plug-ins used in a run. */
struct Contender {
    std::string name;
    std::string backendPolicy = "expected-latency";
    std::string regionPolicy = "expected-latency";
};

/** One simulated instance: the shipped decision modules, connected as in the daemon. */
class Instance {
public:
    Instance(Fleet&, InstanceId, std::size_t region, const Contender&, std::uint64_t seed);

    /** Handles a request that arrives from its caller. */
    void receive(const ExchangePtr&);
    /** Runs or queues a request in this region: a forwarded one, or a local one whose region has been chosen. */
    void execute(const ExchangePtr&);
    /** Removes the exchange from the queue and cancels its running attempts without answering. */
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
    struct ServiceQueue {
        AdmissionQueue queue;
        std::unordered_map<std::uint64_t, ExchangePtr> exchanges;
        bool dispatchScheduled = false;
        explicit ServiceQueue(std::size_t limit);
    };

    std::vector<BackendState> backendStates(const Exchange&);
    Duration localWait(const Exchange&, std::span<const BackendState>);
    bool forward(const ExchangePtr&, std::span<const BackendState>);
    void enqueue(const ExchangePtr&, std::span<const BackendState>);
    void reconsiderLater(const ExchangePtr&, Instant at);
    void dispatchQueued(const ServiceName&);
    void scheduleDispatch(const ServiceName&);
    void ejectConflictingBackends(const Exchange&, std::span<BackendState>);
    void dispatch(const ExchangePtr&);
    void send(const ExchangePtr&, const BackendState&);
    void hedge(const ExchangePtr&);
    void onReply(const ExchangePtr&, std::uint64_t attempt, Reply);
    void onServerCrash(const BackendKey&);
    void retryOrFail(const ExchangePtr&, bool mayHaveRun);
    void refuse(const ExchangePtr&, const Error&);
    void finish(const ExchangePtr&, Ending, Duration retryAfter);
    ServiceQueue& serviceQueueOf(const ServiceName&);

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
    std::map<ServiceName, ServiceQueue> m_serviceQueues;
    std::unordered_map<std::uint64_t, std::pair<BackendKey, std::uint64_t>> m_attemptsInFlight;
    std::uint64_t m_lastId = 0;
};

} // namespace yuccashift::runner
