#pragma once

#include "yuccashift/routing/types.hpp"

#include <optional>
#include <span>

namespace yuccashift {

/** Cost model of transferring KV cache between two engines. */
struct KvTransferCost {
    /** Throughput of the link, in tokens of KV cache per second. */
    double tokensPerSecond = 40000;
    /** Fixed time of one export and import. */
    Duration setup = milliseconds(5);
};

/** How the decoding server obtains the KV cache of the prompt. */
enum class PrefillMode {
    /** The decoding server prefills the tokens that it has not cached. */
    Recompute,
    /** The decoding server imports the prefix that another server has cached and prefills the rest. */
    ImportCached,
    /** A prefill server prefills the prompt and the decoding server imports its KV cache. */
    RemotePrefill,
};

std::string_view toString(PrefillMode);

/** How to prefill a prompt, with the expected time until decoding can start. */
struct PrefillPlan {
    PrefillMode mode = PrefillMode::Recompute;
    /** Index of the exporting server; std::nullopt for Recompute. */
    std::optional<std::size_t> source;
    Duration expectedTime {};
    /** Expected time of Recompute, for comparison and explanation. */
    Duration recomputeTime {};
};

/**
 * Plans how the server with index `decoder` prefills the request: on its own or by
 * importing KV cache from one of the other servers. Importing must save a fixed share
 * of the time of recomputing, because it occupies the link.
 */
PrefillPlan planPrefill(const RequestTraits&, std::span<const BackendState>, std::size_t decoder, const KvTransferCost&, Instant now);

} // namespace yuccashift
