#include "yuccashift/dispatch/server_sample.hpp"

#include <algorithm>
#include <cmath>
#include <limits>
#include <vector>

namespace yuccashift {

namespace {

    using Millis = std::chrono::duration<double, std::milli>;

    /** A server in the sample's draw: how far it is behind, and the work that it does in a millisecond, by the mean of all. */
    struct Draw {
        double behindMs = 0;
        double speed = 1;
        double weight = 0;
        ServerCandidate* server = nullptr;
    };

    bool isUsable(const ServerCandidate& it)
    {
        return !it.tried && !it.barred() && it.fullFor <= Duration::zero() && (!it.cold || it.warmUpAllowed);
    }

    /** The level to which the given work fills up the servers, the least behind first. */
    double fillLevel(std::vector<Draw>& draws, double work)
    {
        std::ranges::sort(draws, {}, &Draw::behindMs);
        double speed = 0;
        double level = 0;
        for (std::size_t i = 0; i < draws.size(); ++i) {
            const double next = draws[i].behindMs;
            if (speed > 0 && work <= speed * (next - level))
                break;
            work -= speed * (next - level);
            level = next;
            speed += draws[i].speed;
        }
        return level + (speed > 0 ? work / speed : 0);
    }

} // namespace

void sampleServers(std::span<ServerCandidate> candidates, const WorkSize& work, std::size_t sampleSize, const LoadKnowledge& knowledge, RandomSource& random)
{
    const auto sharedTokens = work.sharedTokens();
    std::vector<Draw> draws;
    draws.reserve(candidates.size());
    double speed = 0;
    for (auto& it : candidates) {
        it.sampled = it.prefixRank > 0 || (sharedTokens > 0 && it.cachedTokens >= sharedTokens);
        if (!isUsable(it))
            continue;
        const auto behind = Millis(predictTimeToFirstByte(it, work)).count();
        draws.push_back({ behind, 1 / it.slowness, 0, &it });
        speed += draws.back().speed;
    }
    const double level = fillLevel(draws, speed * knowledge.utilisation * Millis(knowledge.age).count());
    // The smallest of exponentially distributed numbers, each with its weight as the rate, are a weighted sample.
    for (auto& it : draws) {
        const double weight = it.speed * std::max(0.0, level - it.behindMs);
        it.weight = weight > 0 ? -std::log1p(-random.uniformReal()) / weight : std::numeric_limits<double>::infinity();
    }
    const auto n = std::min(sampleSize, draws.size());
    std::ranges::partial_sort(draws, draws.begin() + static_cast<std::ptrdiff_t>(n), {}, &Draw::weight);
    for (std::size_t i = 0; i < n; ++i)
        draws[i].server->sampled = true;
}

} // namespace yuccashift
