#include "yuccashift/resilience/outlier_ejection.hpp"

#include <algorithm>
#include <cmath>

namespace yuccashift {
namespace {

    struct Ejected {
        std::size_t index = 0;
        Instant at;
    };

} // namespace

OutlierEjection::OutlierEjection(EjectionSpec spec)
    : m_spec(spec)
{
}

void OutlierEjection::eject(Server& server, Instant now) const
{
    constexpr std::uint32_t mostDoublings = 16;
    const Duration length = std::min<Duration>(m_spec.maxDuration, m_spec.baseDuration * (std::int64_t(1) << std::min(server.ejections, mostDoublings)));
    ++server.ejections;
    server.failures = 0;
    server.probation = true;
    server.ejectedAt = now;
    server.until = now + length;
}

void OutlierEjection::onSuccess(const ServiceName& service, const BackendName& backend, Instant now)
{
    m_services.withShard(service, [&](auto& shard) {
        const auto servers = shard.find(service);
        if (servers == shard.end())
            return;
        const auto it = servers->second.find(backend);
        // An answer that was already on its way says nothing about the server now.
        if (it == servers->second.end() || now < it->second.until)
            return;
        it->second.failures = 0;
        it->second.probation = false;
        // Ejections are forgotten only after a quiet time, so that a flapping server stays out longer.
        if (now - it->second.until >= m_spec.maxDuration)
            servers->second.erase(it);
    });
}

void OutlierEjection::onFailure(const ServiceName& service, const BackendName& backend, Instant now)
{
    m_services.withShard(service, [&](auto& shard) {
        auto& server = shard[service][backend];
        if (now < server.until)
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
        std::vector<Ejected> ejected;
        for (std::size_t n = 0; n < states.size(); ++n) {
            const auto it = servers->second.find(states[n].name);
            if (it == servers->second.end())
                continue;
            if (now < it->second.until)
                ejected.push_back({ n, it->second.ejectedAt });
            else if (it->second.probation)
                states[n].availableSince = it->second.until;
        }
        constexpr double percent = 100;
        const auto kept = static_cast<std::size_t>(std::ceil(static_cast<double>(states.size()) * m_spec.minAvailablePercent / percent));
        const std::size_t most = states.size() - std::min(kept, states.size());
        std::sort(ejected.begin(), ejected.end(), [](const Ejected& left, const Ejected& right) { return left.at > right.at; });
        for (std::size_t n = 0; n < std::min(most, ejected.size()); ++n)
            states[ejected[n].index].ejected = true;
    });
}

} // namespace yuccashift
