#include "yuccashift/routing/disaggregation.hpp"

#include "yuccashift/routing/eligibility.hpp"
#include "yuccashift/routing/latency_model.hpp"

#include <algorithm>

namespace yuccashift {
namespace {

    /** Upper bound of the time of importing, as a share of the time of recomputing. */
    constexpr double maxImportTimeRatio = 0.8;

    Duration transferTime(std::uint32_t tokens, const KvTransfer& transfer)
    {
        return transfer.setup + tokensToDuration(tokens, transfer.tokensPerSecond);
    }

    bool canExport(const RequestTraits& request, const BackendState& state)
    {
        return residencyAllows(request, state.region) && state.modelLoaded && state.adapterLoaded && !state.ejected;
    }

    std::optional<PrefillPlan> planFromSource(const RequestTraits& request, const BackendState& decoder, const BackendState& source, const KvTransfer& transfer, Instant now)
    {
        const std::uint32_t decoderCachedTokens = std::min(decoder.cachedTokens, request.promptTokens);
        const std::uint32_t sourceCachedTokens = std::min(source.cachedTokens, request.promptTokens);
        PrefillPlan plan;
        if (source.role == BackendRole::Prefill && !source.leaving) {
            const auto estimate = estimateLatency(request, source, now);
            plan.mode = PrefillMode::PrefillElsewhere;
            plan.expected = estimate.queueWait + estimate.prefill + transferTime(request.promptTokens - decoderCachedTokens, transfer);
            return plan;
        }
        if (sourceCachedTokens <= decoderCachedTokens)
            return std::nullopt;
        plan.mode = PrefillMode::ImportCached;
        plan.expected = transferTime(sourceCachedTokens - decoderCachedTokens, transfer) + tokensToDuration(request.promptTokens - sourceCachedTokens, decoder.prefillTokensPerSecond);
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
    case PrefillMode::PrefillElsewhere:
        break;
    }
    return "prefill elsewhere";
}

PrefillPlan planPrefill(const RequestTraits& request, std::span<const BackendState> states, std::size_t decoder, const KvTransfer& transfer, Instant now)
{
    const auto& target = states[decoder];
    const std::uint32_t decoderCachedTokens = std::min(target.cachedTokens, request.promptTokens);
    PrefillPlan best;
    best.recompute = tokensToDuration(request.promptTokens - decoderCachedTokens, target.prefillTokensPerSecond);
    best.expected = best.recompute;
    for (std::size_t n = 0; n < states.size(); ++n) {
        if (n == decoder || !canExport(request, states[n]))
            continue;
        auto plan = planFromSource(request, target, states[n], transfer, now);
        if (!plan || plan->expected >= best.expected || plan->expected > best.recompute * maxImportTimeRatio)
            continue;
        plan->source = n;
        plan->recompute = best.recompute;
        best = *plan;
    }
    return best;
}

} // namespace yuccashift
