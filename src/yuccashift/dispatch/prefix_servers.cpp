#include "yuccashift/dispatch/prefix_servers.hpp"

#include "yuccashift/dispatch/prefix_home.hpp"

#include <algorithm>
#include <vector>

namespace yuccashift {

namespace {

    /** Servers that share a prefix while the first of them is busy. */
    constexpr std::size_t rankedServers = 3;

} // namespace

void assumePrefixCached(std::span<ServerCandidate> candidates, const WorkSize& work, bool isHomeRegion)
{
    const auto shared = work.sharedParts();
    if (shared.empty())
        return;
    std::vector<std::pair<std::uint64_t, ServerCandidate*>> weights;
    weights.reserve(candidates.size());
    for (auto& it : candidates) {
        if (!it.barred() && !it.cold)
            weights.emplace_back(prefixServerWeight(shared.back().id, it.key), &it);
    }
    const auto n = std::min(rankedServers, weights.size());
    std::ranges::partial_sort(weights, weights.begin() + static_cast<std::ptrdiff_t>(n), std::ranges::greater {}, &std::pair<std::uint64_t, ServerCandidate*>::first);
    for (std::size_t i = 0; i < n; ++i)
        weights[i].second->prefixRank = static_cast<std::uint32_t>(i + 1);
    if (n == 0)
        return;
    auto& home = *weights.front().second;
    home.cachedTokens = std::max(home.cachedTokens, work.sharedTokens());
    if (isHomeRegion)
        home.surelyCachedTokens = home.cachedTokens;
}

} // namespace yuccashift
