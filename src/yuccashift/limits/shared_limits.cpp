#include "yuccashift/limits/shared_limits.hpp"

#include "yuccashift/kernel/hash.hpp"

#include <algorithm>
#include <array>
#include <cmath>

namespace yuccashift {
namespace {

    /** Time constant of the decay of rates, in seconds. */
    constexpr double rateWindow = 1.0;
    /** Burst of an instance, in seconds of its share of the limit. */
    constexpr double burstSeconds = 0.5;
    /** Part of an even split that each instance keeps without any demand, so that its first requests are admitted. */
    constexpr double idleShare = 0.1;
    /** Requests per second below which a demand counts as zero. */
    constexpr double minDemand = 0.01;
    /** Relative change from which a demand is sent before others. */
    constexpr double significantChange = 0.25;
    /** Age from which a peer's demand is dropped when the peer reports without it. */
    constexpr Duration omittedDemandLifetime = std::chrono::minutes(2);

} // namespace

std::int64_t demandKey(const ServiceName& service, const OrganisationName& organisation)
{
    const std::array<std::string_view, 2> names { service, organisation };
    return static_cast<std::int64_t>(hash64(names));
}

void SharedLimits::Rate::add(double amount, Instant now)
{
    perSecond = value(now) + amount / rateWindow;
    updatedAt = now;
}

double SharedLimits::Rate::value(Instant now) const
{
    if (perSecond == 0 || now <= updatedAt)
        return perSecond;
    return perSecond * std::exp(-std::chrono::duration<double>(now - updatedAt).count() / rateWindow);
}

SharedLimits::SharedLimits(InstanceId self)
    : m_self(std::move(self))
{
}

void SharedLimits::setInstances(std::span<const InstanceId> instances)
{
    m_instances = std::max<std::size_t>(1, instances.size());
    m_entries.forEachShard([&](auto& shard) {
        for (auto& [key, entry] : shard) {
            std::erase_if(entry.peers, [&](const auto& peer) {
                return std::find(instances.begin(), instances.end(), peer.first) == instances.end();
            });
        }
    });
}

void SharedLimits::onPeerDemand(const InstanceId& peer, std::span<const DemandRate> demands, Instant now)
{
    for (const auto& demand : demands) {
        m_entries.withShard(demand.key, [&](auto& shard) {
            if (demand.requestsPerSecond > 0)
                shard[demand.key].peers[peer] = { demand.requestsPerSecond, now };
            else if (const auto it = shard.find(demand.key); it != shard.end())
                it->second.peers.erase(peer);
        });
    }
    // A reachable peer reports all its demands over successive heartbeats, so one that it
    // no longer reports has ended. The demands of an unreachable peer are kept: it may
    // still admit requests on the other side of a network partition.
    m_entries.forEachShard([&](auto& shard) {
        for (auto& [key, entry] : shard) {
            const auto it = entry.peers.find(peer);
            if (it != entry.peers.end() && now - it->second.reportedAt > omittedDemandLifetime)
                entry.peers.erase(it);
        }
    });
}

std::vector<DemandRate> SharedLimits::largestDemands(std::size_t maxCount, Instant now)
{
    std::vector<DemandRate> rates;
    m_entries.forEachShard([&](auto& shard) {
        for (const auto& [key, entry] : shard) {
            const double requests = entry.requestRate.value(now);
            if (requests >= minDemand)
                rates.push_back({ key, requests, entry.tokenRate.value(now) });
        }
    });
    std::sort(rates.begin(), rates.end(), [](const DemandRate& left, const DemandRate& right) { return left.requestsPerSecond > right.requestsPerSecond; });
    rates.resize(std::min(maxCount, rates.size()));
    return rates;
}

std::vector<SharedLimits::HeartbeatCandidate> SharedLimits::heartbeatCandidates(Instant now)
{
    std::vector<HeartbeatCandidate> candidates;
    m_entries.forEachShard([&](auto& shard) {
        for (const auto& [key, entry] : shard) {
            const double requests = entry.requestRate.value(now);
            const bool isIdle = requests < minDemand;
            if (isIdle && entry.sentRequestsPerSecond == 0)
                continue;
            const DemandRate rate { key, isIdle ? 0 : requests, isIdle ? 0 : entry.tokenRate.value(now) };
            const double relativeChange = std::abs(rate.requestsPerSecond - entry.sentRequestsPerSecond) / std::max(rate.requestsPerSecond, entry.sentRequestsPerSecond);
            candidates.push_back({ rate, relativeChange >= significantChange ? relativeChange : 0, entry.sentAt });
        }
    });
    return candidates;
}

std::vector<DemandRate> SharedLimits::takeDemands(std::size_t maxCount, Instant now)
{
    auto candidates = heartbeatCandidates(now);
    std::sort(candidates.begin(), candidates.end(), [](const HeartbeatCandidate& left, const HeartbeatCandidate& right) {
        return left.relativeChange != right.relativeChange ? left.relativeChange > right.relativeChange : left.sentAt < right.sentAt;
    });
    candidates.resize(std::min(maxCount, candidates.size()));
    std::vector<DemandRate> taken;
    for (const auto& candidate : candidates) {
        taken.push_back(candidate.rate);
        m_entries.withShard(candidate.rate.key, [&](auto& shard) {
            auto& entry = shard[candidate.rate.key];
            entry.sentRequestsPerSecond = candidate.rate.requestsPerSecond;
            entry.sentAt = now;
        });
    }
    return taken;
}

double SharedLimits::shareOf(const Entry& entry, Instant now) const
{
    const double evenShare = 1 / static_cast<double>(m_instances.load());
    const double ownDemand = entry.requestRate.value(now);
    double totalDemand = ownDemand;
    for (const auto& [peer, demand] : entry.peers)
        totalDemand += demand.requestsPerSecond;
    if (totalDemand <= 0)
        return evenShare;
    // The idle shares of all instances are reserved; the rest is divided by demand.
    return evenShare * idleShare + (1 - idleShare) * ownDemand / totalDemand;
}

void SharedLimits::updateBucket(std::optional<TokenBucket>& bucket, double rate, Instant now)
{
    const double burst = std::max(1.0, rate * burstSeconds);
    if (bucket)
        bucket->setRate(rate, burst, now);
    else
        bucket.emplace(rate, burst, now);
}

Result<void> SharedLimits::admit(const ServiceName& service, const OrganisationSpec& organisation, Instant now)
{
    const auto& limits = organisation.limits;
    const auto key = demandKey(service, organisation.name);
    return m_entries.withShard(key, [&](auto& shard) -> Result<void> {
        auto& entry = shard[key];
        entry.requestRate.add(1, now);
        const double share = shareOf(entry, now);
        const auto refuse = [](const char* detail, Duration retryAfter) -> Result<void> {
            Error error { ErrorKind::LimitExceeded, detail, std::nullopt, retryAfter };
            return tl::unexpected<Error>(std::move(error));
        };
        if (limits.concurrency > 0 && entry.inProgress >= limits.concurrency)
            return refuse("requests in progress", seconds(1));
        if (limits.tokensPerSecond > 0) {
            updateBucket(entry.tokenBucket, limits.tokensPerSecond * share, now);
            if (!entry.tokenBucket->tryTake(0, now))
                return refuse("tokens per second", entry.tokenBucket->timeUntilAvailable(0, now));
        }
        if (limits.requestsPerSecond > 0) {
            updateBucket(entry.requestBucket, limits.requestsPerSecond * share, now);
            if (!entry.requestBucket->tryTake(1, now))
                return refuse("requests per second", entry.requestBucket->timeUntilAvailable(1, now));
        }
        ++entry.inProgress;
        return {};
    });
}

void SharedLimits::chargeTokens(const ServiceName& service, const OrganisationSpec& organisation, double tokens, Instant now)
{
    const auto key = demandKey(service, organisation.name);
    m_entries.withShard(key, [&](auto& shard) {
        auto& entry = shard[key];
        entry.tokenRate.add(tokens, now);
        if (entry.tokenBucket)
            entry.tokenBucket->charge(tokens, now);
    });
}

void SharedLimits::onFinish(const ServiceName& service, const OrganisationSpec& organisation)
{
    const auto key = demandKey(service, organisation.name);
    m_entries.withShard(key, [&](auto& shard) {
        auto& entry = shard[key];
        if (entry.inProgress > 0)
            --entry.inProgress;
    });
}

double SharedLimits::share(const ServiceName& service, const OrganisationName& organisation, Instant now)
{
    const auto key = demandKey(service, organisation);
    return m_entries.withShard(key, [&](auto& shard) { return shareOf(shard[key], now); });
}

} // namespace yuccashift
