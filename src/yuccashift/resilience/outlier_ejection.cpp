#include "yuccashift/resilience/outlier_ejection.hpp"

#include <algorithm>
#include <cmath>

namespace yuccashift {
namespace {

    struct EjectedServer {
        std::size_t index = 0;
        Instant ejectedAt;
    };

} // namespace

OutlierEjection::OutlierEjection(EjectionSpec spec)
    : m_spec(spec)
{
}

void OutlierEjection::eject(Server& server, Instant now) const
{
    constexpr std::uint32_t maxDoublings = 16;
    const Duration duration = std::min<Duration>(m_spec.maxDuration, m_spec.baseDuration * (std::int64_t(1) << std::min(server.ejections, maxDoublings)));
    ++server.ejections;
    server.failures = 0;
    server.probation = true;
    server.ejectedAt = now;
    server.ejectedUntil = now + duration;
}

void OutlierEjection::onSuccess(const ServiceName& service, const BackendName& backend, Instant now)
{
    m_services.withShard(service, [&](auto& shard) {
        const auto servers = shard.find(service);
        if (servers == shard.end())
            return;
        const auto it = servers->second.find(backend);
        // The answer to a request from before the ejection says nothing about the present state of the server.
        if (it == servers->second.end() || now < it->second.ejectedUntil)
            return;
        it->second.failures = 0;
        it->second.probation = false;
        // The number of ejections is reset only after a period without one, so that a flapping server stays ejected longer.
        if (now - it->second.ejectedUntil >= m_spec.maxDuration)
            servers->second.erase(it);
    });
}

void OutlierEjection::onFailure(const ServiceName& service, const BackendName& backend, Instant now)
{
    m_services.withShard(service, [&](auto& shard) {
        auto& server = shard[service][backend];
        if (now < server.ejectedUntil)
            return;
        ++server.failures;
        if (server.probation || server.failures >= m_spec.consecutiveFailures)
            eject(server, now);
    });
}

void OutlierEjection::apply(const ServiceName& service, std::span<BackendState> states, Instant now)
{
    m_services.withShard(service, [&](auto& shard) {
        const auto servers = shard.find(service);
        if (servers == shard.end())
            return;
        std::vector<EjectedServer> ejected;
        for (std::size_t n = 0; n < states.size(); ++n) {
            const auto it = servers->second.find(states[n].name);
            if (it == servers->second.end())
                continue;
            if (now < it->second.ejectedUntil)
                ejected.push_back({ n, it->second.ejectedAt });
            else if (it->second.probation)
                states[n].availableSince = it->second.ejectedUntil;
        }
        constexpr double percent = 100;
        const auto minAvailable = static_cast<std::size_t>(std::ceil(static_cast<double>(states.size()) * m_spec.minAvailablePercent / percent));
        const std::size_t maxEjected = states.size() - std::min(minAvailable, states.size());
        std::sort(ejected.begin(), ejected.end(), [](const EjectedServer& left, const EjectedServer& right) { return left.ejectedAt > right.ejectedAt; });
        for (std::size_t n = 0; n < std::min(maxEjected, ejected.size()); ++n)
            states[ejected[n].index].ejected = true;
    });
}

} // namespace yuccashift
