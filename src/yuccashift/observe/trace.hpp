#pragma once

#include "yuccashift/kernel/clock.hpp"
#include "yuccashift/kernel/error.hpp"
#include "yuccashift/kernel/ids.hpp"

#include <array>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace yuccashift {

class RandomSource;

using TraceId = std::array<std::uint8_t, 16>;
using SpanId = std::array<std::uint8_t, 8>;

/** Identity of a span and of its trace, as the W3C traceparent header carries it. */
struct TraceContext {
    TraceId traceId {};
    SpanId spanId {};
    bool sampled = true;

    bool operator==(const TraceContext&) const = default;
};

/** Parses a traceparent header of version 00, or of a later version that starts with the same fields. Fails with MalformedRequest otherwise. */
Result<TraceContext> parseTraceparent(std::string_view);
/** The header as `00-<trace id>-<span id>-<flags>`. */
std::string formatTraceparent(const TraceContext&);

/** Context of the root span of a new trace. */
TraceContext startTrace(RandomSource&, bool sampled = true);
/** Context of a new span in the same trace, which inherits the sampling decision. */
TraceContext childOf(const TraceContext&, RandomSource&);

/** The identifier in lower-case hexadecimal digits. */
std::string toHex(const TraceId&);
std::string toHex(const SpanId&);
/** Parses 32 lower-case hexadecimal digits. Fails with MalformedRequest if the text is anything else or all zeros. */
Result<TraceId> parseTraceId(std::string_view);

using SpanAttribute = std::pair<std::string, std::string>;

/** A finished operation of one instance within a request. Attributes must not contain secrets. */
struct Span {
    TraceContext context;
    /** All zeros for the root span of a trace. */
    SpanId parentId {};
    std::string name;
    InstanceId instance;
    WallTime start;
    Duration duration {};
    std::vector<SpanAttribute> attributes;
    bool failed = false;
};

/**
 * Keeps the most recent finished spans in ring buffers. They are sharded by trace,
 * with one lock per shard. A full ring buffer overwrites its oldest span, so that
 * add() waits for a reader no longer than one copy takes.
 */
class SpanBuffer {
public:
    /** The capacity is divided evenly among the shards and rounded down, but each shard holds at least one span. */
    explicit SpanBuffer(std::size_t capacity);
    ~SpanBuffer();

    void add(Span);
    /** All buffered spans of one trace, ordered by start time. */
    std::vector<Span> find(const TraceId&) const;
    /** Up to `limit` spans that were not taken before, oldest first within each shard. find() still returns them. */
    std::vector<Span> takeForExport(std::size_t limit);
    /** Number of spans that were overwritten before they were taken. */
    std::uint64_t droppedSpanCount() const;

private:
    struct Shard;
    std::unique_ptr<Shard[]> m_shards;
};

} // namespace yuccashift
