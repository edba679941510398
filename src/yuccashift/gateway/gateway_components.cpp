#include "yuccashift/gateway/gateway_components.hpp"

#include "yuccashift/kernel/registry.hpp"
#include "yuccashift/routing/entry_policy.hpp"

namespace yuccashift {

namespace {

    constexpr std::size_t maxStoredSpans = 16384;

    template <typename Interface>
    Result<std::unique_ptr<Interface>> createPolicy(const char* kind, const std::string& name)
    {
        auto policy = Registry<Interface>::instance().create(name);
        if (policy)
            return policy;
        std::string registered;
        for (const auto& it : Registry<Interface>::instance().names())
            registered += " " + it;
        return fail(ErrorKind::BadSettings, std::string("policies.") + kind + ": no such policy '" + name + "'; known:" + registered);
    }

    KeyOwner ownerOf(const PeerIdentity& self, const Settings& settings, Instant startedAt)
    {
        return { self.instance, self.incarnation, startedAt, settings.bounds.keyLifetime };
    }

    KeyTableLimits keyBounds(const Settings& settings)
    {
        KeyTableLimits bounds;
        bounds.maxKeys = settings.bounds.maxKeys;
        return bounds;
    }

    BackendLoadTrackerSettings loadSettings(const Settings& settings)
    {
        BackendLoadTrackerSettings load;
        load.localRegion = settings.region;
        load.datacentre = settings.datacentre;
        return load;
    }

    RegionLoadTrackerSettings regionSettings(const Settings& settings)
    {
        RegionLoadTrackerSettings region;
        region.localRegion = settings.region;
        return region;
    }

} // namespace

RandomSource& threadRandom()
{
    thread_local const auto random = makeSystemRandom();
    return *random;
}

Result<Policies> makePolicies(const PolicySettings& settings)
{
    auto backend = createPolicy<BackendPolicy>("backend", settings.backend);
    if (!backend)
        return tl::unexpected(backend.error());
    auto region = createPolicy<RegionPolicy>("region", settings.region);
    if (!region)
        return tl::unexpected(region.error());
    auto entry = createPolicy<EntryPolicy>("entry", settings.entry);
    if (!entry)
        return tl::unexpected(entry.error());
    return Policies { std::move(*backend), std::move(*region), std::move(*entry) };
}

GatewayComponents::GatewayComponents(Settings instanceSettings, Policies instancePolicies, const Clock& instanceClock)
    : settings(std::move(instanceSettings))
    , clock(instanceClock)
    , policies(std::move(instancePolicies))
    , self { settings.instance, makeIncarnation(clock.wallNow(), threadRandom()) }
    , startedAt(clock.now())
    , minter(self.instance, self.incarnation, startedAt, settings.peerKey)
    , keys(ownerOf(self, settings, startedAt), keyBounds(settings))
    , loadTracker(loadSettings(settings))
    , regionLoadTracker(regionSettings(settings))
    , limits(self.instance)
    , memory(MemoryAccount::limitFor(std::size_t { settings.bounds.memoryMb } << 20), clock)
    , spans(maxStoredSpans)
    , backends(makeHttpBackendClient(clock))
    , m_routes(std::make_shared<RouteTable>(documents.snapshot()))
{
}

GatewayComponents::~GatewayComponents() = default;

std::shared_ptr<const RouteTable> GatewayComponents::routes()
{
    const auto current = documents.snapshot();
    const std::lock_guard lock(m_routesMutex);
    if (m_routes->documents()->generation != current->generation)
        m_routes = std::make_shared<RouteTable>(current);
    return m_routes;
}

AdmissionGate& GatewayComponents::gate(const ServiceName& service)
{
    const std::lock_guard lock(m_gatesMutex);
    auto& gate = m_gates[service];
    if (!gate)
        gate = std::make_unique<AdmissionGate>(clock, service, [this, service](const RequestTraits& traits) { return gateStates(service, traits); });
    return *gate;
}

void GatewayComponents::pollGates()
{
    const std::lock_guard lock(m_gatesMutex);
    for (auto& [service, gate] : m_gates)
        gate->poll();
}

std::vector<BackendState> GatewayComponents::gateStates(const ServiceName& service, const RequestTraits& traits)
{
    const auto document = documents.find(service);
    if (!document || document->deleted)
        return {};
    return backendStates(*document, traits);
}

std::vector<BackendState> GatewayComponents::backendStates(const Document& document, const RequestTraits& traits)
{
    const auto now = clock.now();
    auto states = loadTracker.states(document, traits, now, &prefixCacheTracker);
    ejection.apply(document.service, states, now);
    return states;
}

Span GatewayComponents::startSpan(const TraceContext& parent, std::string name) const
{
    Span span;
    span.context = childOf(parent, threadRandom());
    span.parentId = parent.spanId;
    span.name = std::move(name);
    span.instance = self.instance;
    span.start = clock.wallNow();
    return span;
}

void GatewayComponents::endSpan(Span span, bool failed)
{
    span.duration = std::chrono::duration_cast<Duration>(clock.wallNow() - span.start);
    span.failed = failed;
    spans.add(std::move(span));
}

} // namespace yuccashift
