#include "yuccashift/dispatch/prefix_home.hpp"

#include "yuccashift/kernel/hash.hpp"
#include "yuccashift/kernel/rendezvous.hpp"

#include <cmath>

namespace yuccashift {

namespace {

    /** Maps a hash to a number above 0 and below 1. */
    double toUnitInterval(std::uint64_t bits)
    {
        constexpr int mantissaBits = 53;
        return (static_cast<double>(bits >> (64 - mantissaBits)) + 0.5) / std::pow(2.0, mantissaBits);
    }

} // namespace

// Weighted rendezvous hashing: a region that gains a server takes prefixes from all others
// in proportion, and no prefix moves between two regions whose servers did not change.
std::optional<RegionName> prefixHomeRegion(std::uint64_t prefix, std::span<const RegionCapacity> regions)
{
    const RegionCapacity* home = nullptr;
    double best = 0;
    for (const auto& it : regions) {
        if (it.serverCount == 0)
            continue;
        const double score = -static_cast<double>(it.serverCount) / std::log(toUnitInterval(rendezvousWeight(prefix, it.region)));
        if (!home || score > best) {
            home = &it;
            best = score;
        }
    }
    return home ? std::optional(home->region) : std::nullopt;
}

std::uint64_t prefixServerWeight(std::uint64_t prefix, std::uint64_t server)
{
    return mix64(prefix ^ mix64(server));
}

} // namespace yuccashift
