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

/** Place of a span in its trace, as W3C traceparent carries it. */
struct TraceContext {
    TraceId traceId {};
    SpanId spanId {};
    bool sampled = true;

    bool operator==(const TraceContext&) const = default;
};

/** Parses a traceparent of any version that keeps the fields of 00; MalformedRequest otherwise. */
Result<TraceContext> parseTraceparent(std::string_view);
/** `00-<trace id>-<span id>-<flags>`. */
std::string formatTraceparent(const TraceContext&);

/** A new trace with its first span. */
TraceContext startTrace(RandomSource&, bool sampled = true);
/** A new span in the trace of this one. */
TraceContext childOf(const TraceContext&, RandomSource&);

/** Lower-case hex of an identifier. */
std::string toHex(const TraceId&);
std::string toHex(const SpanId&);
/** The trace identifier in 32 hex digits; MalformedRequest otherwise. */
Result<TraceId> parseTraceId(std::string_view);

using SpanAttribute = std::pair<std::string, std::string>;

/** One finished step of a request in one instance. Attributes never hold secrets. */
struct Span {
    TraceContext context;
    /** Zero for the first span of a trace. */
    SpanId parentId {};
    std::string name;
    InstanceId instance;
    WallTime start;
    Duration duration {};
    std::vector<SpanAttribute> attributes;
    bool failed = false;
};

/**
 * The most recent finished spans in rings, sharded by trace, each shard under
 * its own lock. A full ring overwrites its oldest span, so adding never waits
 * for a reader longer than one copy.
 */
class SpanBuffer {
public:
    /** Holds about this many spans. */
    explicit SpanBuffer(std::size_t capacity);
    ~SpanBuffer();

    void add(Span);
    /** All held spans of one trace, by start. */
    std::vector<Span> find(const TraceId&) const;
    /** At most this many spans not taken before, oldest of each shard first. They stay findable. */
    std::vector<Span> takeForExport(std::size_t most);
    /** Spans overwritten before they were taken. */
    std::uint64_t droppedSpanCount() const;

private:
    struct Shard;
    std::unique_ptr<Shard[]> m_shards;
};

} // namespace yuccashift
