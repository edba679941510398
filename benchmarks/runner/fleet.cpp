#include "benchmarks/runner/fleet.hpp"

#include "yuccashift/kernel/registry.hpp"

#include <algorithm>
#include <tuple>

namespace yuccashift::runner {
namespace {

    constexpr Duration regionOneWay = milliseconds(30);
    constexpr Duration reportInterval = milliseconds(200);
    constexpr Duration summaryInterval = milliseconds(500);
    constexpr Duration quarantineInterval = milliseconds(500);
    /** Delay until membership detects that a region is lost or has recovered. */
    constexpr Duration failureDetectionDelay = milliseconds(1500);
    /** Time after which a connection attempt to an instance that does not answer fails. */
    constexpr Duration connectTimeout = milliseconds(300);
    constexpr Duration drainTime = seconds(70);
    constexpr std::uint32_t maxSends = 4;
    constexpr std::uint32_t maxPoisonSends = 12;

    Duration fromSeconds(double value)
    {
        return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(value));
    }

    bool keyBefore(const BackendKey& left, const BackendKey& right)
    {
        return std::tie(left.service, left.backend) < std::tie(right.service, right.backend);
    }

    std::string serverName(const RegionName& region, bool plain, std::size_t number)
    {
        return region + (plain ? "-ledger-" : "-engine-") + std::to_string(number);
    }

    Document makeDocument(const Scenario& scenario, bool plain)
    {
        Document document;
        document.service = plain ? plainService : modelService;
        document.kind = plain ? ServiceKind::Plain : ServiceKind::Model;
        document.regions = scenario.workload.regions;
        document.prefixCache.blockTokens = modelServerSpec().blockTokens;
        if (!plain)
            document.models = { { "yucca", "1", {} } };
        if (plain) {
            document.spill.cost = milliseconds(50);
            document.hedge.after = milliseconds(250);
        } else {
            document.hedge.after = seconds(3);
        }
        for (std::size_t region = 0; region < scenario.regions.size(); ++region) {
            const auto& size = scenario.regions[region];
            for (std::uint32_t n = 0; n < (plain ? size.plainServers : size.modelServers); ++n) {
                BackendSpec backend;
                backend.name = serverName(document.regions[region], plain, n);
                backend.region = document.regions[region];
                backend.datacentre = backend.region;
                backend.slots = (plain ? plainServerSpec() : modelServerSpec()).slots;
                document.backends.push_back(backend);
            }
        }
        return document;
    }

} // namespace

Fleet::Fleet(const Scenario& scenario, const Contender& contender, std::uint64_t seed)
    : m_scenario(scenario)
    , m_seed(seed)
    , m_start(m_events.now())
    , m_random(seed + 1)
    , m_servers(keyBefore)
    , m_entryPolicy(Registry<EntryPolicy>::instance().create("capacity-locality"))
    , m_arrivals(makeArrivals(scenario.workload, m_start, seed))
{
    for (const bool plain : { true, false }) {
        const auto document = makeDocument(scenario, plain);
        m_documents.emplace(document.service, document);
        buildServers(document.service, plain);
    }
    buildInstances(contender, seed);
    m_offeredAndAnswered.resize(static_cast<std::size_t>(std::chrono::duration<double>(scenario.workload.length).count()) + 1);
}

Fleet::~Fleet() = default;

void Fleet::buildServers(const ServiceName& service, bool plain)
{
    for (const auto& backend : document(service).backends) {
        Server server;
        const auto& regions = m_scenario.workload.regions;
        server.region = static_cast<std::size_t>(std::find(regions.begin(), regions.end(), backend.region) - regions.begin());
        server.model = std::make_unique<ServerModel>(m_events, plain ? plainServerSpec() : modelServerSpec());
        const auto spread = m_scenario.maxReportLag - m_scenario.minReportLag;
        server.reportLag = m_scenario.minReportLag + std::chrono::duration_cast<Duration>(spread * m_random.uniformReal());
        const BackendKey key { service, backend.name };
        m_servers.emplace(key, std::move(server));
        m_events.after(std::chrono::duration_cast<Duration>(reportInterval * m_random.uniformReal()), [this, key] { sendReports(key); });
    }
}

void Fleet::buildInstances(const Contender& contender, std::uint64_t seed)
{
    for (std::size_t region = 0; region < m_scenario.regions.size(); ++region) {
        const auto count = m_scenario.regions[region].instances;
        for (std::uint32_t n = 0; n < count; ++n) {
            const auto id = regionName(region) + "-entry-" + std::to_string(n);
            m_instances.push_back(std::make_unique<Instance>(*this, id, region, contender, seed * 100 + m_instances.size()));
            m_instances.back()->loads().setSenderCount(count);
            m_instances.back()->regions().setObserverCount(count);
            EntryState entry;
            entry.instance = id;
            entry.region = regionName(region);
            entry.datacentre = entry.region;
            m_entries.push_back(entry);
        }
    }
}

Duration Fleet::expectedService(const Arrival& arrival) const
{
    if (arrival.traits.promptTokens == 0)
        return milliseconds(35);
    const auto spec = modelServerSpec();
    return fromSeconds(arrival.traits.expectedOutputTokens / spec.decodeTokensPerSecond * (1 + spec.batchPenalty));
}

void Fleet::sendReports(const BackendKey& key)
{
    auto& server = m_servers.at(key);
    m_events.after(reportInterval, [this, key] { sendReports(key); });
    if (!server.model->alive())
        return;
    auto events = server.model->takeEvents();
    std::erase_if(events, [&](const CacheEvent&) { return m_random.uniformReal() * 100 < m_scenario.eventGapPercent; });
    m_events.after(server.reportLag, [this, key, region = server.region, report = server.model->report(), taken = now(), events = std::move(events)] {
        for (auto& instance : m_instances) {
            if (instance->region() != region || !instance->alive)
                continue;
            instance->loads().onReport(key, report, taken);
            instance->caches().onEvents(key, events);
        }
    });
}

void Fleet::sendSummaries()
{
    m_events.after(summaryInterval, [this] { sendSummaries(); });
    for (std::size_t region = 0; region < m_scenario.regions.size(); ++region) {
        const auto from = std::find_if(m_instances.begin(), m_instances.end(), [&](const auto& instance) { return instance->region() == region && instance->alive; });
        if (from == m_instances.end())
            continue;
        for (const auto& [service, document] : m_documents) {
            const auto load = (*from)->summary(document);
            m_events.after(regionOneWay, [this, region, service = service, load, taken = now()] {
                for (auto& instance : m_instances) {
                    if (instance->region() != region && instance->alive)
                        instance->regions().onSummary(regionName(region), service, load, taken);
                }
            });
        }
    }
}

void Fleet::sendQuarantineRecords()
{
    constexpr std::size_t maxRecords = 8;
    m_events.after(quarantineInterval, [this] { sendQuarantineRecords(); });
    for (auto& from : m_instances) {
        const auto records = from->quarantine().takeRecordsForHeartbeat(now(), maxRecords);
        if (records.empty() || !from->alive)
            continue;
        m_events.after(regionOneWay, [this, records] {
            for (auto& instance : m_instances)
                instance->quarantine().merge(records, now());
        });
    }
}

void Fleet::scheduleFaults()
{
    for (const auto& fault : m_scenario.faults)
        m_events.at(m_start + fromSeconds(fault.at), [this, fault] { applyFault(fault); });
}

void Fleet::applyFault(const Fault& fault)
{
    if (fault.kind == FaultKind::LoseRegion) {
        loseRegion(fault.region);
        return;
    }
    if (fault.kind == FaultKind::HealRegion) {
        healRegion(fault.region);
        return;
    }
    const BackendKey key { fault.plain ? plainService : modelService, serverName(regionName(fault.region), fault.plain, fault.server) };
    auto& model = server(key);
    if (fault.kind == FaultKind::Kill)
        model.kill();
    else if (fault.kind == FaultKind::Revive)
        model.revive();
    else if (fault.kind == FaultKind::Slow)
        model.setSlowdown(fault.factor);
    else
        model.setLeaving(true);
}

void Fleet::setReachable(std::size_t region, bool reachable)
{
    for (std::size_t n = 0; n < m_instances.size(); ++n) {
        if (m_instances[n]->region() == region)
            m_entries[n].suspect = !reachable;
        else
            m_instances[n]->regions().onReachable(regionName(region), reachable, now());
    }
}

void Fleet::loseRegion(std::size_t region)
{
    for (auto& instance : m_instances)
        instance->alive = instance->alive && instance->region() != region;
    for (auto& [key, server] : m_servers) {
        if (server.region == region)
            server.model->kill();
    }
    m_events.after(failureDetectionDelay, [this, region] { setReachable(region, false); });
    for (const auto& weak : m_activeExchanges) {
        const auto exchange = weak.lock();
        if (!exchange || exchange->done || (exchange->entry->alive && exchange->executor->alive))
            continue;
        exchange->done = true;
        if (exchange->executor->alive)
            exchange->executor->abandon(*exchange);
        exchange->running.clear();
        m_events.after(failureDetectionDelay, [this, exchange] { onAnswer(exchange, exchange->traits.idempotent ? Ending::Refused : Ending::Failed, {}); });
    }
}

void Fleet::healRegion(std::size_t region)
{
    for (auto& instance : m_instances)
        instance->alive = instance->alive || instance->region() == region;
    for (auto& [key, server] : m_servers) {
        if (server.region == region)
            server.model->revive();
    }
    m_events.after(failureDetectionDelay, [this, region] { setReachable(region, true); });
}

void Fleet::forward(const ExchangePtr& exchange, const RegionName& region)
{
    std::vector<Instance*> targets;
    for (auto& instance : m_instances) {
        if (instance->alive && regionName(instance->region()) == region)
            targets.push_back(instance.get());
    }
    exchange->request->away = true;
    if (targets.empty()) {
        exchange->done = true;
        m_events.after(connectTimeout, [this, exchange] { onAnswer(exchange, Ending::Refused, Duration::zero()); });
        return;
    }
    auto* target = targets[m_random.uniformBelow(targets.size())];
    exchange->executor = target;
    m_events.after(regionOneWay, [target, exchange] {
        if (target->alive)
            target->execute(exchange);
    });
}

void Fleet::deliver(const ExchangePtr& exchange, Ending ending, Duration retryAfter)
{
    const bool away = exchange->executor && exchange->executor != exchange->entry;
    m_events.after(away ? regionOneWay : Duration::zero(), [this, exchange, ending, retryAfter] { onAnswer(exchange, ending, retryAfter); });
}

Instance* Fleet::chooseEntry(const Request& request)
{
    EntryRequest entryRequest;
    entryRequest.callerKey = regionName(request.arrival->region) + std::to_string(request.arrival->caller);
    entryRequest.region = regionName(request.arrival->region);
    entryRequest.datacentre = entryRequest.region;
    const auto ranked = m_entryPolicy->rank(entryRequest, m_entries);
    if (ranked.empty())
        return nullptr;
    // On each retry the caller tries the next entry.
    return m_instances[ranked[request.sends % ranked.size()]].get();
}

void Fleet::send(const std::shared_ptr<Request>& request)
{
    auto* entry = chooseEntry(*request);
    if (!entry) {
        end(*request, Ending::Refused);
        return;
    }
    ++request->sends;
    ++m_result.sends;
    auto exchange = std::make_shared<Exchange>();
    exchange->request = request;
    exchange->traits = request->arrival->traits;
    exchange->entry = entry;
    exchange->executor = entry;
    if (!entry->alive) {
        m_events.after(connectTimeout, [this, exchange] { onAnswer(exchange, Ending::Refused, Duration::zero()); });
        return;
    }
    m_activeExchanges.push_back(exchange);
    constexpr std::size_t pruneEvery = 4096;
    if (m_activeExchanges.size() % pruneEvery == 0)
        std::erase_if(m_activeExchanges, [](const auto& weak) { return weak.expired(); });
    m_events.at(exchange->traits.deadline, [this, weak = std::weak_ptr(exchange)] {
        const auto late = weak.lock();
        if (!late || late->done)
            return;
        late->executor->abandon(*late);
        late->done = true;
        end(*late->request, Ending::Late);
    });
    entry->receive(exchange);
}

void Fleet::onAnswer(const ExchangePtr& exchange, Ending ending, Duration retryAfter)
{
    auto& request = *exchange->request;
    if (ending == Ending::Answered && now() > exchange->traits.deadline)
        ending = Ending::Late;
    if (ending == Ending::Answered && exchange->executor->region() != request.arrival->region)
        request.away = true;
    const bool poison = request.arrival->poison;
    const Duration wait = m_scenario.retriesImmediately ? Duration(milliseconds(20)) : retryAfter;
    const bool shouldRetry = poison ? request.sends < maxPoisonSends : ending == Ending::Refused && request.sends < maxSends;
    if (!shouldRetry || (!poison && now() + wait + expectedService(*request.arrival) > exchange->traits.deadline)) {
        end(request, ending);
        return;
    }
    m_events.after(wait, [this, request = exchange->request] { send(request); });
}

void Fleet::end(Request& request, Ending ending)
{
    if (request.ended)
        return;
    request.ended = true;
    m_result.sentAway += request.away ? 1 : 0;
    m_result.count(*request.arrival, ending, std::chrono::duration<double>(now() - request.arrival->at).count());
    const auto second = static_cast<std::size_t>(std::chrono::duration<double>(request.arrival->at - m_start).count());
    m_offeredAndAnswered[second].first += 1;
    m_offeredAndAnswered[second].second += ending == Ending::Answered ? 1 : 0;
}

double Fleet::recoverySeconds() const
{
    constexpr std::size_t window = 3;
    constexpr double recoveredShare = 0.95;
    if (!m_scenario.faultEndsAt)
        return 0;
    const auto faultEnd = static_cast<std::size_t>(*m_scenario.faultEndsAt);
    for (std::size_t second = faultEnd; second + window < m_offeredAndAnswered.size(); ++second) {
        double offered = 0;
        double answered = 0;
        for (std::size_t n = second; n < second + window; ++n) {
            offered += m_offeredAndAnswered[n].first;
            answered += m_offeredAndAnswered[n].second;
        }
        if (answered >= offered * recoveredShare)
            return static_cast<double>(second - faultEnd);
    }
    return static_cast<double>(m_offeredAndAnswered.size() - faultEnd);
}

RunResult Fleet::run()
{
    scheduleFaults();
    sendSummaries();
    sendQuarantineRecords();
    std::uint64_t serial = 0;
    for (const auto& arrival : m_arrivals) {
        auto request = std::make_shared<Request>();
        request->arrival = &arrival;
        request->fingerprint = ++serial;
        m_events.at(arrival.at, [this, request] { send(request); });
    }
    m_events.runUntil(m_start + m_scenario.workload.length + drainTime);
    for (const auto& [key, server] : m_servers) {
        m_result.acceleratorSeconds += server.model->acceleratorSeconds();
        m_result.cachedTokens += server.model->cachedTokens();
        m_result.promptTokens += server.model->promptTokens();
    }
    m_result.recoverySeconds = recoverySeconds();
    m_result.length = std::chrono::duration<double>(m_scenario.workload.length).count();
    return std::move(m_result);
}

} // namespace yuccashift::runner
