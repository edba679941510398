#include "yuccashift/observe/trace.hpp"

#include "yuccashift/kernel/random.hpp"

#include <algorithm>
#include <mutex>
#include <span>

namespace yuccashift {

namespace {

    constexpr std::size_t shardCount = 16;
    constexpr std::size_t versionAt = 0;
    constexpr std::size_t traceIdAt = 3;
    constexpr std::size_t spanIdAt = 36;
    constexpr std::size_t flagsAt = 53;
    constexpr std::size_t traceparentLength = 55;
    constexpr std::uint8_t sampledFlag = 1;
    constexpr std::string_view hexDigits = "0123456789abcdef";

    bool readHex(std::string_view text, std::span<std::uint8_t> out)
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

    std::string writeHex(std::span<const std::uint8_t> bytes)
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

    // An all-zero identifier is invalid, so such a draw is repeated.
    void draw(std::span<std::uint8_t> out, RandomSource& random)
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

    // Later versions may append fields after another dash; version ff is invalid.
    bool hasTraceparentShape(std::string_view text)
    {
        if (text.size() < traceparentLength || text[traceIdAt - 1] != '-' || text[spanIdAt - 1] != '-' || text[flagsAt - 1] != '-')
            return false;
        const auto version = text.substr(versionAt, 2);
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
    const bool parsed = hasTraceparentShape(text) && readHex(text.substr(versionAt, 2), version)
        && readHex(text.substr(traceIdAt, 2 * context.traceId.size()), context.traceId)
        && readHex(text.substr(spanIdAt, 2 * context.spanId.size()), context.spanId) && readHex(text.substr(flagsAt, 2), flags);
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
    draw(context.traceId, random);
    draw(context.spanId, random);
    return context;
}

TraceContext childOf(const TraceContext& parent, RandomSource& random)
{
    TraceContext child = parent;
    draw(child.spanId, random);
    return child;
}

std::string toHex(const TraceId& id)
{
    return writeHex(id);
}

std::string toHex(const SpanId& id)
{
    return writeHex(id);
}

Result<TraceId> parseTraceId(std::string_view text)
{
    TraceId id {};
    if (!readHex(text, id) || isZero(id))
        return fail(ErrorKind::MalformedRequest, "trace id");
    return id;
}

struct SpanBuffer::Shard {
    mutable std::mutex mutex;
    std::vector<Span> ring;
    /** Spans ever added; the next slot is this modulo the ring's size. */
    std::uint64_t added = 0;
    /** Spans ever taken or overwritten untaken. */
    std::uint64_t taken = 0;
    std::uint64_t dropped = 0;
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
    if (shard.added - shard.taken == shard.ring.size()) {
        ++shard.taken;
        ++shard.dropped;
    }
    shard.ring[shard.added % shard.ring.size()] = std::move(span);
    ++shard.added;
}

std::vector<Span> SpanBuffer::find(const TraceId& traceId) const
{
    std::vector<Span> found;
    const auto& shard = m_shards[traceId.back() % shardCount];
    {
        const std::lock_guard lock(shard.mutex);
        const auto isSame = [&](const Span& span) { return span.context.traceId == traceId; };
        std::ranges::copy_if(shard.ring, std::back_inserter(found), isSame);
    }
    std::ranges::stable_sort(found, {}, &Span::start);
    return found;
}

std::vector<Span> SpanBuffer::takeForExport(std::size_t most)
{
    std::vector<Span> spans;
    for (auto& shard : std::span(m_shards.get(), shardCount)) {
        const std::lock_guard lock(shard.mutex);
        for (; shard.taken < shard.added && spans.size() < most; ++shard.taken)
            spans.push_back(shard.ring[shard.taken % shard.ring.size()]);
    }
    return spans;
}

std::uint64_t SpanBuffer::droppedSpanCount() const
{
    std::uint64_t sum = 0;
    for (const auto& shard : std::span(m_shards.get(), shardCount)) {
        const std::lock_guard lock(shard.mutex);
        sum += shard.dropped;
    }
    return sum;
}

} // namespace yuccashift
