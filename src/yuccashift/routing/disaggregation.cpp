#include "yuccashift/routing/disaggregation.hpp"

#include "yuccashift/routing/eligibility.hpp"
#include "yuccashift/routing/latency_model.hpp"

#include <algorithm>

namespace yuccashift {
namespace {

    /** Upper bound of the time of importing, as a share of the time of recomputing. */
    constexpr double maxImportTimeRatio = 0.8;

    Duration transferTime(std::uint32_t tokens, const KvTransferCost& transfer)
    {
        return transfer.setup + tokensToDuration(tokens, transfer.tokensPerSecond);
    }

    bool canExport(const RequestTraits& request, const BackendState& state)
    {
        return residencyAllows(request, state.region) && state.modelLoaded && state.adapterLoaded && !state.ejected;
    }

    std::optional<PrefillPlan> planFromSource(const RequestTraits& request, const BackendState& decoder, const BackendState& source, const KvTransferCost& transfer, Instant now)
    {
        const std::uint32_t decoderCachedTokens = std::min(decoder.cachedTokens, request.promptTokens);
        const std::uint32_t sourceCachedTokens = std::min(source.cachedTokens, request.promptTokens);
        PrefillPlan plan;
        if (source.role == BackendRole::Prefill && !source.leaving) {
            const auto estimate = estimateLatency(request, source, now);
            plan.mode = PrefillMode::RemotePrefill;
            plan.expectedTime = estimate.queueWait + estimate.prefill + transferTime(request.promptTokens - decoderCachedTokens, transfer);
            return plan;
        }
        if (sourceCachedTokens <= decoderCachedTokens)
            return std::nullopt;
        plan.mode = PrefillMode::ImportCached;
        plan.expectedTime = transferTime(sourceCachedTokens - decoderCachedTokens, transfer) + tokensToDuration(request.promptTokens - sourceCachedTokens, decoder.prefillTokensPerSecond);
        return plan;
    }

} // namespace

std::string_view toString(PrefillMode mode)
{
    switch (mode) {
    case PrefillMode::Recompute:
        return "recompute";
    case PrefillMode::ImportCached:
        return "import cached";
    case PrefillMode::RemotePrefill:
        break;
    }
    return "prefill elsewhere";
}

PrefillPlan planPrefill(const RequestTraits& request, std::span<const BackendState> states, std::size_t decoder, const KvTransferCost& transfer, Instant now)
{
    const auto& target = states[decoder];
    const std::uint32_t decoderCachedTokens = std::min(target.cachedTokens, request.promptTokens);
    PrefillPlan best;
    best.recomputeTime = tokensToDuration(request.promptTokens - decoderCachedTokens, target.prefillTokensPerSecond);
    best.expectedTime = best.recomputeTime;
    for (std::size_t n = 0; n < states.size(); ++n) {
        if (n == decoder || !canExport(request, states[n]))
            continue;
        auto plan = planFromSource(request, target, states[n], transfer, now);
        if (!plan || plan->expectedTime >= best.expectedTime || plan->expectedTime > best.recomputeTime * maxImportTimeRatio)
            continue;
        plan->source = n;
        plan->recomputeTime = best.recomputeTime;
        best = *plan;
    }
    return best;
}

} // namespace yuccashift
