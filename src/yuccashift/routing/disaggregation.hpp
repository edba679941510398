#pragma once

#include "yuccashift/routing/types.hpp"

#include <optional>
#include <span>

namespace yuccashift {

/** What moving KV cache between two engines costs. */
struct KvTransferCost {
    /** Tokens of KV cache per second over the link. */
    double tokensPerSecond = 40000;
    /** Fixed cost of one export and import. */
    Duration setup = milliseconds(5);
};

/** How a prompt gets into the decoding server's cache. */
enum class PrefillMode {
    /** The decoding server prefills what it has not cached. */
    Recompute,
    /** Another server's cache of the prefix is exported and imported, the rest is prefilled. */
    ImportCached,
    /** A prefill server computes the prompt; its cache is exported and imported. */
    RemotePrefill,
};

std::string_view toString(PrefillMode);

/** A way to prefill, with its expected time until decoding can begin. */
struct PrefillPlan {
    PrefillMode mode = PrefillMode::Recompute;
    /** Index of the server that exports; nothing for Recompute. */
    std::optional<std::size_t> source;
    Duration expectedTime {};
    /** Expected time of recomputing, for comparison and explanation. */
    Duration recomputeTime {};
};

/**
 * Decides whether the decoding server should import KV cache from one of the
 * others. Importing must save a clear part of the time, since it uses the link.
 */
PrefillPlan planPrefill(const RequestTraits&, std::span<const BackendState>, std::size_t decoder, const KvTransferCost&, Instant now);

} // namespace yuccashift
