#include "yuccashift/routing/entry_policy.hpp"

#include "yuccashift/kernel/hash.hpp"
#include "yuccashift/kernel/registry.hpp"
#include "yuccashift/kernel/rendezvous.hpp"

#include <algorithm>
#include <cmath>

namespace yuccashift {

EntryPolicy::~EntryPolicy() = default;

namespace {

    /** Weighted rendezvous hash: the probability that an instance has the largest score is proportional to its capacity. */
    double rendezvousScore(const std::string& caller, const EntryState& state)
    {
        constexpr double range = 18446744073709551616.0;
        const double unit = (static_cast<double>(rendezvousWeight(hash64(caller), state.instance)) + 1) / (range + 2);
        return -std::max(state.capacity, 0.0) / std::log(unit);
    }

    enum class Locality {
        Datacentre,
        Region,
        Remote,
    };

    struct RankedEntry {
        std::size_t index = 0;
        bool allowed = true;
        Locality locality = Locality::Remote;
        double score = 0;
    };

    bool ranksBefore(const RankedEntry& left, const RankedEntry& right)
    {
        if (left.allowed != right.allowed)
            return left.allowed;
        // The data centres of a region are close to each other, so the score decides among them.
        const bool leftLocal = left.locality != Locality::Remote;
        const bool rightLocal = right.locality != Locality::Remote;
        if (leftLocal != rightLocal)
            return leftLocal;
        return left.score > right.score;
    }

    /** Orders instances by allowed region, then the region of the request, then a weighted rendezvous hash of the caller. */
    class CapacityLocalityEntryPolicy final : public EntryPolicy {
    public:
        std::vector<std::size_t> rank(const EntryRequest& request, std::span<const EntryState> states) const override
        {
            std::vector<RankedEntry> ranked;
            ranked.reserve(states.size());
            for (std::size_t n = 0; n < states.size(); ++n) {
                if (!states[n].draining && !states[n].suspect && states[n].capacity > 0)
                    ranked.push_back(evaluate(request, states[n], n));
            }
            std::sort(ranked.begin(), ranked.end(), ranksBefore);
            ensureFallbackRegion(ranked, states, request.maxInstances);
            ranked.resize(std::min(ranked.size(), request.maxInstances));
            std::vector<std::size_t> indexes;
            indexes.reserve(ranked.size());
            for (const auto& entry : ranked)
                indexes.push_back(entry.index);
            return indexes;
        }

    private:
        /**
         * Makes the last of the first `count` entries one of another region, so that
         * callers have a fallback if their region is lost.
         */
        static void ensureFallbackRegion(std::vector<RankedEntry>& ranked, std::span<const EntryState> states, std::size_t count)
        {
            if (count < 2 || ranked.size() <= count)
                return;
            const auto& region = states[ranked.front().index].region;
            const auto inOtherRegion = [&](const RankedEntry& entry) { return states[entry.index].region != region; };
            const auto end = ranked.begin() + static_cast<std::ptrdiff_t>(count);
            const auto fallback = std::find_if(end, ranked.end(), inOtherRegion);
            if (fallback != ranked.end() && std::none_of(ranked.begin(), end, inOtherRegion))
                std::iter_swap(end - 1, fallback);
        }

        static RankedEntry evaluate(const EntryRequest& request, const EntryState& state, std::size_t index)
        {
            constexpr double datacentrePreference = 4;
            RankedEntry ranked { index, true, Locality::Remote, rendezvousScore(request.callerKey, state) };
            const auto& allowed = request.allowedRegions;
            ranked.allowed = allowed.empty() || std::find(allowed.begin(), allowed.end(), state.region) != allowed.end();
            if (state.region == request.region)
                ranked.locality = Locality::Region;
            if (ranked.locality == Locality::Region && state.datacentre == request.datacentre) {
                ranked.locality = Locality::Datacentre;
                ranked.score *= datacentrePreference;
            }
            return ranked;
        }
    };

    const Registrar<EntryPolicy, CapacityLocalityEntryPolicy> registrar("capacity-locality");

} // namespace
} // namespace yuccashift
