#include "benchmarks/runner/instance.hpp"

#include "benchmarks/runner/fleet.hpp"
#include "yuccashift/admission/capacity_gate.hpp"
#include "yuccashift/kernel/registry.hpp"
#include "yuccashift/resilience/backoff.hpp"

#include <utility>

namespace yuccashift::runner {
namespace {

    constexpr Duration pumpInterval = milliseconds(10);
    constexpr std::size_t cacheBlocks = 2000;

} // namespace

Instance::Waiting::Waiting(std::size_t limit)
    : queue(limit)
{
}

Instance::Instance(Fleet& fleet, InstanceId id, std::size_t region, const Contender& contender, std::uint64_t seed)
    : m_fleet(fleet)
    , m_id(std::move(id))
    , m_region(region)
    , m_random(seed)
    , m_backendPolicy(Registry<BackendPolicy>::instance().create(contender.backendPolicy))
    , m_regionPolicy(Registry<RegionPolicy>::instance().create(contender.regionPolicy))
    , m_loads({ fleet.regionName(region), fleet.regionName(region) })
    , m_caches(cacheBlocks)
    , m_regions({ fleet.regionName(region) })
    , m_limits(m_id)
{
}

Instance::Waiting& Instance::waiting(const ServiceName& service)
{
    return m_waiting.try_emplace(service, m_fleet.document(service).queueLimit).first->second;
}

std::vector<BackendState> Instance::backendStates(const Exchange& exchange)
{
    const auto& service = exchange.traits.service;
    auto states = m_loads.states(m_fleet.document(service), exchange.traits, m_fleet.now(), &m_caches);
    m_ejection.apply(service, states, m_fleet.now());
    return states;
}

RegionLoad Instance::summary(const Document& document)
{
    RequestTraits traits;
    traits.service = document.service;
    traits.model = document.models.empty() ? "" : document.models.front().name;
    auto states = m_loads.states(document, traits, m_fleet.now());
    m_ejection.apply(document.service, states, m_fleet.now());
    return aggregateLoad(states, m_fleet.now());
}

void Instance::receive(const ExchangePtr& exchange)
{
    const auto& traits = exchange->traits;
    const auto& document = m_fleet.document(traits.service);
    m_retries.onRequest(traits.service, traits.organisation, document.retry);
    m_hedges.onRequest(traits.service, traits.organisation, document.hedge);
    if (m_quarantine.isQuarantined(exchange->request->fingerprint, m_fleet.now())) {
        refuse(exchange, { ErrorKind::Quarantined, {}, std::nullopt, std::nullopt });
        return;
    }
    OrganisationSpec organisation;
    organisation.name = traits.organisation;
    if (const auto admitted = m_limits.admit(traits.service, organisation, m_fleet.now()); !admitted) {
        refuse(exchange, admitted.error());
        return;
    }
    const auto states = backendStates(*exchange);
    if (!forward(exchange, states))
        execute(exchange);
}

/** Expected time in this instance's queue. */
Duration Instance::localWait(const Exchange& exchange, std::span<const BackendState> states)
{
    const auto& traits = exchange.traits;
    const WaitingRequest asked { 0, traits.organisation, 1, traits.priority, traits.deadline, {} };
    return waiting(traits.service).queue.expectedWait(asked, admissionInterval(traits, states, m_fleet.now()));
}

/** Whether the exchange is now another region's. */
bool Instance::forward(const ExchangePtr& exchange, std::span<const BackendState> states)
{
    const auto& document = m_fleet.document(exchange->traits.service);
    const auto now = m_fleet.now();
    auto here = aggregateLoad(states, now);
    here.queueWait = std::max(here.queueWait, localWait(*exchange, states));
    const auto regions = m_regions.states(document, exchange->traits, here, now);
    const auto decision = m_regionPolicy->choose(exchange->traits, document.spill, m_fleet.regionName(m_region), regions, now, m_random);
    if (!decision.chosen) {
        refuse(exchange, { ErrorKind::NoBackend, {}, std::nullopt, std::nullopt });
        return true;
    }
    const auto& chosen = regions[*decision.chosen].name;
    if (chosen == m_fleet.regionName(m_region))
        return false;
    m_regions.onSent(chosen, exchange->traits.service, now);
    m_fleet.forward(exchange, chosen);
    return true;
}

void Instance::execute(const ExchangePtr& exchange)
{
    if (exchange->done)
        return;
    exchange->executor = this;
    const auto states = backendStates(*exchange);
    const auto& queue = waiting(exchange->traits.service).queue;
    const auto next = queue.nextPriority();
    const bool first = !next || exchange->traits.priority < *next;
    if (first && hasFreeCapacity(exchange->traits, states, m_fleet.now()))
        dispatch(exchange);
    else
        enqueue(exchange, states);
}

void Instance::enqueue(const ExchangePtr& exchange, std::span<const BackendState> states)
{
    auto& line = waiting(exchange->traits.service);
    const auto& traits = exchange->traits;
    const auto interval = admissionInterval(traits, states, m_fleet.now());
    const auto expected = m_fleet.expectedService(*exchange->request->arrival);
    exchange->queueId = ++m_lastId;
    const WaitingRequest request { exchange->queueId, traits.organisation, 1, traits.priority, traits.deadline, expected };
    const auto outcome = line.queue.push(request, interval, m_fleet.now());
    if (!outcome) {
        refuse(exchange, outcome.error());
        return;
    }
    line.exchanges.emplace(exchange->queueId, exchange);
    if (outcome->displaced) {
        auto displaced = line.exchanges.extract(*outcome->displaced);
        refuse(displaced.mapped(), { ErrorKind::QueueFull, {}, std::nullopt, std::nullopt });
    }
    reconsiderLater(exchange, regionReselectionTime(request, m_fleet.now()));
    pump(traits.service);
    keepPumping(traits.service);
}

/** A request that still waits may leave the region after all. */
void Instance::reconsiderLater(const ExchangePtr& exchange, Instant at)
{
    if (exchange->entry != this || std::exchange(exchange->reconsidered, true))
        return;
    const auto id = exchange->queueId;
    m_fleet.after(at - m_fleet.now(), [this, exchange, id] {
        if (exchange->queueId != id || exchange->done || !alive)
            return;
        auto& line = waiting(exchange->traits.service);
        line.queue.cancel(id);
        line.exchanges.erase(id);
        exchange->queueId = 0;
        if (!forward(exchange, backendStates(*exchange)))
            execute(exchange);
    });
}

void Instance::pump(const ServiceName& service)
{
    auto& line = waiting(service);
    for (const auto id : line.queue.expire(m_fleet.now())) {
        auto expired = line.exchanges.extract(id);
        refuse(expired.mapped(), { ErrorKind::DeadlineUnreachable, {}, std::nullopt, std::nullopt });
    }
    while (const auto next = line.queue.nextPriority()) {
        Exchange probe;
        probe.traits.service = service;
        probe.traits.model = service == modelService ? "yucca" : "";
        probe.traits.priority = *next;
        probe.traits.allowedRegions = { m_fleet.regionName(m_region) };
        const auto states = backendStates(probe);
        if (!hasFreeCapacity(probe.traits, states, m_fleet.now()))
            return;
        const auto taken = line.queue.pop(m_fleet.now());
        if (!taken)
            return;
        auto exchange = line.exchanges.extract(taken->id);
        exchange.mapped()->queueId = 0;
        dispatch(exchange.mapped());
    }
}

void Instance::keepPumping(const ServiceName& service)
{
    auto& line = waiting(service);
    if (line.pumping || line.queue.size() == 0)
        return;
    line.pumping = true;
    m_fleet.after(pumpInterval, [this, service] {
        waiting(service).pumping = false;
        pump(service);
        keepPumping(service);
    });
}

/** A suspect of crashes stays apart from other suspects. */
void Instance::keepSuspectsApart(const Exchange& exchange, std::span<BackendState> states)
{
    const auto fingerprint = exchange.request->fingerprint;
    if (!m_quarantine.isSuspect(fingerprint, m_fleet.now()))
        return;
    for (auto& state : states) {
        std::vector<std::uint64_t> fingerprints;
        for (const auto& [attempt, entry] : m_inProgress) {
            if (entry.first.backend == state.name && entry.first.service == exchange.traits.service)
                fingerprints.push_back(entry.second);
        }
        if (!m_quarantine.mayRunAlongside(fingerprint, fingerprints, m_fleet.now()))
            state.ejected = true;
    }
}

void Instance::dispatch(const ExchangePtr& exchange)
{
    auto states = backendStates(*exchange);
    keepSuspectsApart(*exchange, states);
    const auto decision = m_backendPolicy->choose(exchange->traits, states, m_fleet.now(), m_random);
    if (!decision.chosen) {
        refuse(exchange, { ErrorKind::NoBackend, {}, std::nullopt, std::nullopt });
        return;
    }
    const bool first = exchange->attempts == 0;
    send(exchange, states[*decision.chosen]);
    const auto& spec = m_fleet.document(exchange->traits.service).hedge;
    if (const auto delay = HedgeBudget::delay(spec, exchange->traits, m_fleet.expectedService(*exchange->request->arrival)); first && delay)
        m_fleet.after(*delay, [this, exchange] { hedge(exchange); });
}

void Instance::send(const ExchangePtr& exchange, const BackendState& state)
{
    const auto& traits = exchange->traits;
    const BackendKey key { traits.service, state.name };
    const auto attempt = ++m_lastId;
    ++exchange->attempts;
    m_fleet.countAttempt();
    auto& running = exchange->running[attempt];
    running.server = &m_fleet.server(key);
    running.own = m_loads.onStart(key, traits.expectedOutputTokens, m_fleet.now());
    m_caches.onSent(key, traits.prefixBlocks);
    m_inProgress[attempt] = { key, exchange->request->fingerprint };
    exchange->traits.triedBackends.push_back(state.name);
    m_fleet.after(state.roundTrip / 2, [this, exchange, attempt] {
        const auto it = exchange->running.find(attempt);
        if (it == exchange->running.end())
            return;
        auto* server = it->second.server;
        const auto id = server->submit(*exchange->request->arrival, [this, exchange, attempt](Reply reply) { onReply(exchange, attempt, reply); });
        // The reply may have come already, and with it the end of this attempt.
        if (const auto still = exchange->running.find(attempt); still != exchange->running.end())
            still->second.serverAttempt = id;
    });
}

void Instance::hedge(const ExchangePtr& exchange)
{
    const auto& traits = exchange->traits;
    if (exchange->done || exchange->running.empty() || !alive)
        return;
    const auto states = backendStates(*exchange);
    const auto& spec = m_fleet.document(traits.service).hedge;
    if (!hasFreeCapacity(traits, states, m_fleet.now()))
        return;
    const auto decision = m_backendPolicy->choose(traits, states, m_fleet.now(), m_random);
    if (decision.chosen && m_hedges.tryHedge(traits, spec))
        send(exchange, states[*decision.chosen]);
}

void Instance::onServerDeath(const BackendKey& key)
{
    std::vector<std::uint64_t> fingerprints;
    for (const auto& [attempt, entry] : m_inProgress) {
        if (entry.first == key)
            fingerprints.push_back(entry.second);
    }
    m_quarantine.onBackendCrash(std::hash<BackendKey> {}(key), fingerprints, m_fleet.now());
    m_caches.onLost(key);
    m_loads.onLost(key, m_fleet.now());
}

void Instance::onReply(const ExchangePtr& exchange, std::uint64_t attempt, Reply reply)
{
    const auto node = exchange->running.extract(attempt);
    if (node.empty() || !alive)
        return;
    const auto& own = node.mapped().own;
    const auto now = m_fleet.now();
    const auto& service = exchange->traits.service;
    m_loads.onFinish(own, reply == Reply::Answered ? RequestOutcome::Answered : RequestOutcome::Failed, now);
    if (reply == Reply::Lost)
        onServerDeath(own.backend);
    m_inProgress.erase(attempt);
    if (reply == Reply::Answered) {
        m_ejection.onSuccess(service, own.backend.backend, now);
        m_quarantine.onSuccess(exchange->request->fingerprint, now);
        finish(exchange, Ending::Answered, {});
    } else if (reply == Reply::Refused) {
        if (node.mapped().server->leaving())
            m_loads.onLeaving(own.backend, true);
        retryOrFail(exchange, false);
    } else {
        m_ejection.onFailure(service, own.backend.backend, now);
        retryOrFail(exchange, reply == Reply::Lost);
    }
    pump(service);
}

void Instance::retryOrFail(const ExchangePtr& exchange, bool mayHaveRun)
{
    if (exchange->done || !exchange->running.empty())
        return;
    const auto& traits = exchange->traits;
    if (mayHaveRun && !traits.idempotent) {
        finish(exchange, Ending::Failed, {});
        return;
    }
    const bool quarantined = m_quarantine.isQuarantined(exchange->request->fingerprint, m_fleet.now());
    const auto& spec = m_fleet.document(traits.service).retry;
    if (quarantined || !m_retries.tryRetry(traits.service, traits.organisation, spec, exchange->attempts)) {
        refuse(exchange, { quarantined ? ErrorKind::Quarantined : ErrorKind::BackendRefused, {}, std::nullopt, std::nullopt });
        return;
    }
    execute(exchange);
}

void Instance::refuse(const ExchangePtr& exchange, const Error& error)
{
    const auto expected = error.retryAfter.value_or(seconds(1));
    finish(exchange, error.kind == ErrorKind::Quarantined ? Ending::Failed : Ending::Refused, jitteredRetryAfter(expected, m_random));
}

void Instance::finish(const ExchangePtr& exchange, Ending ending, Duration retryAfter)
{
    if (exchange->done)
        return;
    abandon(*exchange);
    exchange->done = true;
    m_fleet.deliver(exchange, ending, retryAfter);
}

void Instance::abandon(Exchange& exchange)
{
    if (exchange.queueId != 0) {
        auto& line = waiting(exchange.traits.service);
        line.queue.cancel(exchange.queueId);
        line.exchanges.erase(exchange.queueId);
        exchange.queueId = 0;
    }
    for (auto& [attempt, running] : std::exchange(exchange.running, {})) {
        if (running.serverAttempt)
            running.server->cancel(*running.serverAttempt);
        m_loads.onFinish(running.own, RequestOutcome::Cancelled, m_fleet.now());
        m_inProgress.erase(attempt);
    }
}

} // namespace yuccashift::runner
