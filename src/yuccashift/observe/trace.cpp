#include "yuccashift/observe/trace.hpp"

#include "yuccashift/kernel/random.hpp"

#include <algorithm>
#include <mutex>
#include <span>

namespace yuccashift {

namespace {

    constexpr std::size_t shardCount = 16;
    constexpr std::size_t versionOffset = 0;
    constexpr std::size_t traceIdOffset = 3;
    constexpr std::size_t spanIdOffset = 36;
    constexpr std::size_t flagsOffset = 53;
    constexpr std::size_t traceparentLength = 55;
    constexpr std::uint8_t sampledFlag = 1;
    constexpr std::string_view hexDigits = "0123456789abcdef";

    bool decodeHex(std::string_view text, std::span<std::uint8_t> out)
    {
        if (text.size() != 2 * out.size())
            return false;
        for (std::size_t n = 0; n < out.size(); ++n) {
            const auto high = hexDigits.find(text[2 * n]);
            const auto low = hexDigits.find(text[2 * n + 1]);
            if (high == std::string_view::npos || low == std::string_view::npos)
                return false;
            out[n] = static_cast<std::uint8_t>((high << 4) | low);
        }
        return true;
    }

    std::string encodeHex(std::span<const std::uint8_t> bytes)
    {
        std::string text;
        text.reserve(2 * bytes.size());
        for (const auto byte : bytes) {
            text += hexDigits[byte >> 4];
            text += hexDigits[byte & 0xf];
        }
        return text;
    }

    bool isZero(std::span<const std::uint8_t> bytes)
    {
        return std::ranges::all_of(bytes, [](std::uint8_t byte) { return byte == 0; });
    }

    // Fills an identifier with random bytes. W3C trace context forbids all zeros, so that result is drawn again.
    void fillRandom(std::span<std::uint8_t> out, RandomSource& random)
    {
        constexpr std::size_t wordBytes = 8;
        do {
            std::uint64_t word = 0;
            for (std::size_t n = 0; n < out.size(); ++n) {
                if (n % wordBytes == 0)
                    word = random.next();
                out[n] = static_cast<std::uint8_t>(word >> (8 * (n % wordBytes)));
            }
        } while (isZero(out));
    }

    // Later versions may append further fields after another dash; version ff is invalid.
    bool hasTraceparentLayout(std::string_view text)
    {
        if (text.size() < traceparentLength || text[traceIdOffset - 1] != '-' || text[spanIdOffset - 1] != '-' || text[flagsOffset - 1] != '-')
            return false;
        const auto version = text.substr(versionOffset, 2);
        if (version == "ff")
            return false;
        return text.size() == traceparentLength || (version != "00" && text[traceparentLength] == '-');
    }

} // namespace

Result<TraceContext> parseTraceparent(std::string_view text)
{
    TraceContext context;
    std::array<std::uint8_t, 1> version {};
    std::array<std::uint8_t, 1> flags {};
    const bool parsed = hasTraceparentLayout(text) && decodeHex(text.substr(versionOffset, 2), version)
        && decodeHex(text.substr(traceIdOffset, 2 * context.traceId.size()), context.traceId)
        && decodeHex(text.substr(spanIdOffset, 2 * context.spanId.size()), context.spanId) && decodeHex(text.substr(flagsOffset, 2), flags);
    if (!parsed || isZero(context.traceId) || isZero(context.spanId))
        return fail(ErrorKind::MalformedRequest, "traceparent");
    context.sampled = (flags[0] & sampledFlag) != 0;
    return context;
}

std::string formatTraceparent(const TraceContext& context)
{
    return "00-" + toHex(context.traceId) + "-" + toHex(context.spanId) + (context.sampled ? "-01" : "-00");
}

TraceContext startTrace(RandomSource& random, bool sampled)
{
    TraceContext context;
    context.sampled = sampled;
    fillRandom(context.traceId, random);
    fillRandom(context.spanId, random);
    return context;
}

TraceContext childOf(const TraceContext& parent, RandomSource& random)
{
    TraceContext child = parent;
    fillRandom(child.spanId, random);
    return child;
}

std::string toHex(const TraceId& id)
{
    return encodeHex(id);
}

std::string toHex(const SpanId& id)
{
    return encodeHex(id);
}

Result<TraceId> parseTraceId(std::string_view text)
{
    TraceId id {};
    if (!decodeHex(text, id) || isZero(id))
        return fail(ErrorKind::MalformedRequest, "trace id");
    return id;
}

struct SpanBuffer::Shard {
    mutable std::mutex mutex;
    std::vector<Span> ring;
    /** Number of spans added so far; modulo the ring's size it is the index of the next slot. */
    std::uint64_t addedCount = 0;
    /** Number of spans that were taken, or overwritten before they were taken. */
    std::uint64_t takenCount = 0;
    std::uint64_t droppedCount = 0;
};

SpanBuffer::SpanBuffer(std::size_t capacity)
    : m_shards(std::make_unique<Shard[]>(shardCount))
{
    const std::size_t perShard = std::max<std::size_t>(1, capacity / shardCount);
    for (auto& shard : std::span(m_shards.get(), shardCount))
        shard.ring.resize(perShard);
}

SpanBuffer::~SpanBuffer() = default;

void SpanBuffer::add(Span span)
{
    auto& shard = m_shards[span.context.traceId.back() % shardCount];
    const std::lock_guard lock(shard.mutex);
    if (shard.addedCount - shard.takenCount == shard.ring.size()) {
        ++shard.takenCount;
        ++shard.droppedCount;
    }
    shard.ring[shard.addedCount % shard.ring.size()] = std::move(span);
    ++shard.addedCount;
}

std::vector<Span> SpanBuffer::find(const TraceId& traceId) const
{
    std::vector<Span> found;
    const auto& shard = m_shards[traceId.back() % shardCount];
    {
        const std::lock_guard lock(shard.mutex);
        const auto inTrace = [&](const Span& span) { return span.context.traceId == traceId; };
        std::ranges::copy_if(shard.ring, std::back_inserter(found), inTrace);
    }
    std::ranges::stable_sort(found, {}, &Span::start);
    return found;
}

std::vector<Span> SpanBuffer::takeForExport(std::size_t limit)
{
    std::vector<Span> spans;
    for (auto& shard : std::span(m_shards.get(), shardCount)) {
        const std::lock_guard lock(shard.mutex);
        for (; shard.takenCount < shard.addedCount && spans.size() < limit; ++shard.takenCount)
            spans.push_back(shard.ring[shard.takenCount % shard.ring.size()]);
    }
    return spans;
}

std::uint64_t SpanBuffer::droppedSpanCount() const
{
    std::uint64_t sum = 0;
    for (const auto& shard : std::span(m_shards.get(), shardCount)) {
        const std::lock_guard lock(shard.mutex);
        sum += shard.droppedCount;
    }
    return sum;
}

} // namespace yuccashift
