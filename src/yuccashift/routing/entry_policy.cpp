#include "yuccashift/routing/entry_policy.hpp"

#include "yuccashift/kernel/hash.hpp"
#include "yuccashift/kernel/registry.hpp"
#include "yuccashift/kernel/rendezvous.hpp"

#include <algorithm>
#include <cmath>

namespace yuccashift {

EntryPolicy::~EntryPolicy() = default;

namespace {

    /** Weighted rendezvous score; the largest wins, in proportion to capacity. */
    double rendezvousScore(const std::string& caller, const EntryState& state)
    {
        constexpr double range = 18446744073709551616.0;
        const double unit = (static_cast<double>(rendezvousWeight(hash64(caller), state.instance)) + 1) / (range + 2);
        return -std::max(state.capacity, 0.0) / std::log(unit);
    }

    enum class Nearness {
        Datacentre,
        Region,
        Elsewhere,
    };

    struct Ranked {
        std::size_t index = 0;
        bool allowed = true;
        Nearness nearness = Nearness::Elsewhere;
        double score = 0;
    };

    bool before(const Ranked& left, const Ranked& right)
    {
        if (left.allowed != right.allowed)
            return left.allowed;
        // Data centres of one region are close: capacity decides among them.
        const bool leftNear = left.nearness != Nearness::Elsewhere;
        const bool rightNear = right.nearness != Nearness::Elsewhere;
        if (leftNear != rightNear)
            return leftNear;
        return left.score > right.score;
    }

    /** Home regions first, then nearness, then a weighted rendezvous hash of the caller. */
    class CapacityLocalityEntryPolicy final : public EntryPolicy {
    public:
        std::vector<std::size_t> rank(const EntryRequest& request, std::span<const EntryState> states) const override
        {
            std::vector<Ranked> ranked;
            ranked.reserve(states.size());
            for (std::size_t n = 0; n < states.size(); ++n) {
                if (!states[n].draining && !states[n].suspect && states[n].capacity > 0)
                    ranked.push_back(judge(request, states[n], n));
            }
            std::sort(ranked.begin(), ranked.end(), before);
            keepRefuge(ranked, states, request.maxInstances);
            ranked.resize(std::min(ranked.size(), request.maxInstances));
            std::vector<std::size_t> indexes;
            indexes.reserve(ranked.size());
            for (const auto& entry : ranked)
                indexes.push_back(entry.index);
            return indexes;
        }

    private:
        /** Makes the last answer one of another region, for callers whose region is lost. */
        static void keepRefuge(std::vector<Ranked>& ranked, std::span<const EntryState> states, std::size_t count)
        {
            if (count < 2 || ranked.size() <= count)
                return;
            const auto& region = states[ranked.front().index].region;
            const auto elsewhere = [&](const Ranked& entry) { return states[entry.index].region != region; };
            const auto end = ranked.begin() + static_cast<std::ptrdiff_t>(count);
            const auto refuge = std::find_if(end, ranked.end(), elsewhere);
            if (refuge != ranked.end() && std::none_of(ranked.begin(), end, elsewhere))
                std::iter_swap(end - 1, refuge);
        }

        static Ranked judge(const EntryRequest& request, const EntryState& state, std::size_t index)
        {
            constexpr double datacentrePreference = 4;
            Ranked ranked { index, true, Nearness::Elsewhere, rendezvousScore(request.callerKey, state) };
            const auto& allowed = request.allowedRegions;
            ranked.allowed = allowed.empty() || std::find(allowed.begin(), allowed.end(), state.region) != allowed.end();
            if (state.region == request.region)
                ranked.nearness = Nearness::Region;
            if (ranked.nearness == Nearness::Region && state.datacentre == request.datacentre) {
                ranked.nearness = Nearness::Datacentre;
                ranked.score *= datacentrePreference;
            }
            return ranked;
        }
    };

    const Registrar<EntryPolicy, CapacityLocalityEntryPolicy> registrar("capacity-locality");

} // namespace
} // namespace yuccashift
