#include "yuccashift/routing/eligibility.hpp"

#include <algorithm>

namespace yuccashift {
namespace {

    template <typename Range, typename Value>
    bool contains(const Range& range, const Value& value)
    {
        return std::find(range.begin(), range.end(), value) != range.end();
    }

    std::vector<std::size_t> indexesWithReason(std::span<const Candidate> candidates, RejectReason reason)
    {
        std::vector<std::size_t> indexes;
        for (std::size_t n = 0; n < candidates.size(); ++n) {
            if (candidates[n].reason == reason)
                indexes.push_back(n);
        }
        return indexes;
    }

} // namespace

bool residencyAllows(const RequestTraits& request, const RegionName& region)
{
    return contains(request.allowedRegions, region);
}

RejectReason backendRejection(const RequestTraits& request, const BackendState& state)
{
    if (!residencyAllows(request, state.region))
        return RejectReason::Residency;
    if (state.leaving)
        return RejectReason::Leaving;
    if (contains(request.triedBackends, state.name))
        return RejectReason::AlreadyTried;
    if (!state.modelLoaded || !state.adapterLoaded)
        return RejectReason::ModelMissing;
    // A decode server can also prefill, only later; a prefill server cannot generate the answer.
    if (state.role == BackendRole::Prefill)
        return RejectReason::RoleMismatch;
    return state.ejected ? RejectReason::Ejected : RejectReason::None;
}

RejectReason regionRejection(const RequestTraits& request, const RegionState& state)
{
    if (!residencyAllows(request, state.name))
        return RejectReason::Residency;
    return state.reachable ? RejectReason::None : RejectReason::Unreachable;
}

EligibleBackends eligibleBackends(const RequestTraits& request, std::span<const BackendState> states)
{
    EligibleBackends eligible;
    eligible.candidates.reserve(states.size());
    for (const auto& state : states)
        eligible.candidates.push_back({ state.name, backendRejection(request, state), std::nullopt });
    eligible.indexes = indexesWithReason(eligible.candidates, RejectReason::None);
    if (eligible.indexes.empty())
        eligible.indexes = indexesWithReason(eligible.candidates, RejectReason::Ejected);
    for (const auto n : eligible.indexes)
        eligible.candidates[n].reason = RejectReason::NotSampled;
    return eligible;
}

} // namespace yuccashift
