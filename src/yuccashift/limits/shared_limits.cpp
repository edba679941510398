#include "yuccashift/limits/shared_limits.hpp"

#include "yuccashift/kernel/hash.hpp"

#include <algorithm>
#include <array>
#include <cmath>

namespace yuccashift {
namespace {

    /** Time over which rates are smoothed. */
    constexpr double rateWindow = 1.0;
    /** Seconds of its share that an instance may use at once. */
    constexpr double burstSeconds = 0.5;
    /** Share of an even split that each instance holds without any demand, so that its first requests pass. */
    constexpr double standbyShare = 0.1;
    /** Requests per second below which there is no demand. */
    constexpr double leastDemand = 0.01;
    /** Relative change of a demand that is told before others. */
    constexpr double notableChange = 0.25;
    /** Time after which a demand counts as ended that its instance, while heard, no longer names. */
    constexpr Duration unnamedLifetime = std::chrono::minutes(2);

} // namespace

std::int64_t demandKey(const ServiceName& service, const OrganisationName& organisation)
{
    const std::array<std::string_view, 2> names { service, organisation };
    return static_cast<std::int64_t>(hash64(names));
}

void SharedLimits::Rate::add(double amount, Instant now)
{
    perSecond = value(now) + amount / rateWindow;
    at = now;
}

double SharedLimits::Rate::value(Instant now) const
{
    if (perSecond == 0 || now <= at)
        return perSecond;
    return perSecond * std::exp(-std::chrono::duration<double>(now - at).count() / rateWindow);
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
    // A peer that is heard names all its demands by and by. Of one that is not
    // heard nothing is dropped: it may be running behind a partition.
    m_entries.forEachShard([&](auto& shard) {
        for (auto& [key, entry] : shard) {
            const auto it = entry.peers.find(peer);
            if (it != entry.peers.end() && now - it->second.heardAt > unnamedLifetime)
                entry.peers.erase(it);
        }
    });
}

std::vector<DemandRate> SharedLimits::largestDemands(std::size_t most, Instant now)
{
    std::vector<DemandRate> rates;
    m_entries.forEachShard([&](auto& shard) {
        for (const auto& [key, entry] : shard) {
            const double requests = entry.requests.value(now);
            if (requests >= leastDemand)
                rates.push_back({ key, requests, entry.tokens.value(now) });
        }
    });
    std::sort(rates.begin(), rates.end(), [](const DemandRate& left, const DemandRate& right) { return left.requestsPerSecond > right.requestsPerSecond; });
    rates.resize(std::min(most, rates.size()));
    return rates;
}

std::vector<SharedLimits::Untold> SharedLimits::untold(Instant now)
{
    std::vector<Untold> untold;
    m_entries.forEachShard([&](auto& shard) {
        for (const auto& [key, entry] : shard) {
            const double requests = entry.requests.value(now);
            const bool isIdle = requests < leastDemand;
            if (isIdle && entry.toldRequests == 0)
                continue;
            const DemandRate rate { key, isIdle ? 0 : requests, isIdle ? 0 : entry.tokens.value(now) };
            const double changed = std::abs(rate.requestsPerSecond - entry.toldRequests) / std::max(rate.requestsPerSecond, entry.toldRequests);
            untold.push_back({ rate, changed >= notableChange ? changed : 0, entry.toldAt });
        }
    });
    return untold;
}

std::vector<DemandRate> SharedLimits::takeDemands(std::size_t most, Instant now)
{
    auto candidates = untold(now);
    std::sort(candidates.begin(), candidates.end(), [](const Untold& left, const Untold& right) {
        return left.changed != right.changed ? left.changed > right.changed : left.toldAt < right.toldAt;
    });
    candidates.resize(std::min(most, candidates.size()));
    std::vector<DemandRate> taken;
    for (const auto& candidate : candidates) {
        taken.push_back(candidate.rate);
        m_entries.withShard(candidate.rate.key, [&](auto& shard) {
            auto& entry = shard[candidate.rate.key];
            entry.toldRequests = candidate.rate.requestsPerSecond;
            entry.toldAt = now;
        });
    }
    return taken;
}

double SharedLimits::shareOf(const Entry& entry, Instant now) const
{
    const double even = 1 / static_cast<double>(m_instances.load());
    const double own = entry.requests.value(now);
    double total = own;
    for (const auto& [peer, demand] : entry.peers)
        total += demand.requestsPerSecond;
    if (total <= 0)
        return even;
    // The standby shares of all are set aside; demand divides the rest.
    return even * standbyShare + (1 - standbyShare) * own / total;
}

void SharedLimits::refit(std::optional<TokenBucket>& bucket, double rate, Instant now)
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
        entry.requests.add(1, now);
        const double share = shareOf(entry, now);
        const auto refuse = [](const char* detail, Duration retryAfter) -> Result<void> {
            Error error { ErrorKind::LimitExceeded, detail, std::nullopt, retryAfter };
            return tl::unexpected<Error>(std::move(error));
        };
        if (limits.concurrency > 0 && entry.inProgress >= limits.concurrency)
            return refuse("requests in progress", seconds(1));
        if (limits.tokensPerSecond > 0) {
            refit(entry.tokenBucket, limits.tokensPerSecond * share, now);
            if (!entry.tokenBucket->tryTake(0, now))
                return refuse("tokens per second", entry.tokenBucket->timeUntilAvailable(0, now));
        }
        if (limits.requestsPerSecond > 0) {
            refit(entry.requestBucket, limits.requestsPerSecond * share, now);
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
        entry.tokens.add(tokens, now);
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
