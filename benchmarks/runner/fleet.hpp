#pragma once

#include "benchmarks/runner/instance.hpp"
#include "benchmarks/runner/scenario.hpp"
#include "yuccashift/routing/entry_policy.hpp"

namespace yuccashift::runner {

/** Simulates the callers, instances and servers of one run, with fixed network delays between them. */
class Fleet {
public:
    Fleet(const Scenario&, const Contender&, std::uint64_t seed);
    ~Fleet();

    RunResult run();

    Instant now() const { return m_events.now(); }
    void after(Duration wait, EventQueue::Action action) { m_events.after(wait, std::move(action)); }
    const RegionName& regionName(std::size_t region) const { return m_scenario.workload.regions[region]; }
    const Document& document(const ServiceName& service) const { return m_documents.at(service); }
    ServerModel& server(const BackendKey& key) { return *m_servers.at(key).model; }
    /** Expected service time: a constant for plain requests, derived from the expected output tokens for model requests. */
    Duration expectedService(const Arrival&) const;

    void countAttempt() { ++m_result.attempts; }
    /** Sends the exchange to a random live instance of the region; the caller gets a refusal if there is none. */
    void forward(const ExchangePtr&, const RegionName&);
    /** Returns the outcome from the executing instance to the caller. */
    void deliver(const ExchangePtr&, Ending, Duration retryAfter);

private:
    struct Server {
        std::size_t region = 0;
        std::unique_ptr<ServerModel> model;
        Duration reportLag {};
    };

    void buildServers(const ServiceName&, bool plain);
    void buildInstances(const Contender&, std::uint64_t seed);
    void scheduleFaults();
    void applyFault(const Fault&);
    void loseRegion(std::size_t region);
    void healRegion(std::size_t region);
    void setReachable(std::size_t region, bool reachable);
    void sendReports(const BackendKey&);
    void sendSummaries();
    void sendQuarantineRecords();

    void send(const std::shared_ptr<Request>&);
    Instance* chooseEntry(const Request&);
    void onAnswer(const ExchangePtr&, Ending, Duration retryAfter);
    void end(Request&, Ending);
    double recoverySeconds() const;

    const Scenario& m_scenario;
    std::uint64_t m_seed;
    EventQueue m_events;
    Instant m_start;
    SeededRandom m_random;
    std::map<ServiceName, Document> m_documents;
    std::map<BackendKey, Server, bool (*)(const BackendKey&, const BackendKey&)> m_servers;
    std::vector<std::unique_ptr<Instance>> m_instances;
    std::vector<EntryState> m_entries;
    std::unique_ptr<EntryPolicy> m_entryPolicy;
    std::vector<Arrival> m_arrivals;
    std::vector<std::weak_ptr<Exchange>> m_activeExchanges;
    std::vector<std::pair<double, double>> m_offeredAndAnswered;
    RunResult m_result;
};

} // namespace yuccashift::runner
