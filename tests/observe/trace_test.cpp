#include "yuccashift/observe/trace.hpp"

#include "yuccashift/kernel/random.hpp"
#include "yuccashift/observe/otlp.hpp"

#include <boost/json.hpp>
#include <gtest/gtest.h>
#include <thread>

namespace yuccashift {
namespace {

    constexpr std::string_view validTraceparent = "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01";

    TEST(Traceparent, SurvivesParsingAndFormatting)
    {
        const auto context = parseTraceparent(validTraceparent);
        ASSERT_TRUE(context);
        EXPECT_TRUE(context->sampled);
        EXPECT_EQ(toHex(context->spanId), "00f067aa0ba902b7");
        EXPECT_EQ(formatTraceparent(*context), validTraceparent);
    }

    TEST(Traceparent, ALaterVersionMayAppendFields)
    {
        const auto context = parseTraceparent("cc-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-00-more");
        ASSERT_TRUE(context);
        EXPECT_FALSE(context->sampled);
    }

    TEST(Traceparent, IsRejectedIfMalformed)
    {
        const auto malformed = std::to_array<std::string_view>({
            "",
            "00",
            "ff-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01",
            "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01-more",
            "00-4BF92F3577B34DA6A3CE929D0E0E4736-00f067aa0ba902b7-01",
            "00-00000000000000000000000000000000-00f067aa0ba902b7-01",
            "00-4bf92f3577b34da6a3ce929d0e0e4736-0000000000000000-01",
            "00_4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01",
            "zz-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01",
            "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-0g",
        });
        for (const auto text : malformed) {
            const auto context = parseTraceparent(text);
            ASSERT_FALSE(context) << text;
            EXPECT_EQ(context.error().kind, ErrorKind::MalformedRequest);
        }
    }

    TEST(Traceparent, AChildKeepsTheTraceIdAndGetsANewSpanId)
    {
        SeededRandom random(7);
        const auto root = startTrace(random, false);
        const auto child = childOf(root, random);
        EXPECT_EQ(child.traceId, root.traceId);
        EXPECT_NE(child.spanId, root.spanId);
        EXPECT_FALSE(child.sampled);
        EXPECT_EQ(parseTraceId(toHex(root.traceId)), root.traceId);
        EXPECT_FALSE(parseTraceId("12"));
    }

    /** Creates spans for the tests; trace and span identifiers come from a seeded random source. */
    class SpanBufferTest : public testing::Test {
    protected:
        Span makeSpan(const TraceContext& context, int start)
        {
            Span span;
            span.context = context;
            span.name = "span " + std::to_string(start);
            span.instance = "entry-1";
            span.start = WallTime(seconds(start));
            span.duration = milliseconds(250);
            return span;
        }

        SeededRandom m_random { 11 };
    };

    TEST_F(SpanBufferTest, FindsTheSpansOfOneTraceOrderedByStart)
    {
        SpanBuffer buffer(256);
        const auto trace = startTrace(m_random);
        for (const int start : { 3, 1, 2 })
            buffer.add(makeSpan(childOf(trace, m_random), start));
        buffer.add(makeSpan(startTrace(m_random), 4));
        const auto spans = buffer.find(trace.traceId);
        ASSERT_EQ(spans.size(), 3U);
        EXPECT_EQ(spans[0].name, "span 1");
        EXPECT_EQ(spans[2].name, "span 3");
    }

    TEST_F(SpanBufferTest, TakesEachSpanOnceAndStillFindsIt)
    {
        SpanBuffer buffer(256);
        const auto trace = startTrace(m_random);
        for (int n = 0; n < 5; ++n)
            buffer.add(makeSpan(childOf(trace, m_random), n));
        EXPECT_EQ(buffer.takeForExport(3).size(), 3U);
        EXPECT_EQ(buffer.takeForExport(3).size(), 2U);
        EXPECT_TRUE(buffer.takeForExport(3).empty());
        EXPECT_EQ(buffer.find(trace.traceId).size(), 5U);
    }

    TEST_F(SpanBufferTest, OverwritesTheOldestWhenFullAndCountsSpansNeverTaken)
    {
        SpanBuffer buffer(64);
        const auto trace = startTrace(m_random);
        for (int n = 0; n < 10; ++n)
            buffer.add(makeSpan(childOf(trace, m_random), n));
        const auto spans = buffer.takeForExport(100);
        ASSERT_EQ(spans.size(), 4U);
        EXPECT_EQ(spans.front().name, "span 6");
        EXPECT_EQ(buffer.droppedSpanCount(), 6U);
    }

    TEST_F(SpanBufferTest, LosesNoSpanUncountedWithConcurrentWriters)
    {
        constexpr std::size_t spansPerWriter = 500;
        SpanBuffer buffer(1 << 16);
        std::size_t taken = 0;
        {
            std::vector<std::jthread> writers;
            writers.reserve(3);
            for (std::uint64_t n = 0; n < 3; ++n) {
                writers.emplace_back([&buffer, n, this] {
                    SeededRandom random(n);
                    for (std::size_t k = 0; k < spansPerWriter; ++k)
                        buffer.add(makeSpan(startTrace(random), static_cast<int>(k)));
                });
            }
            for (int n = 0; n < 100; ++n)
                taken += buffer.takeForExport(10).size();
        }
        taken += buffer.takeForExport(1 << 20).size();
        EXPECT_EQ(taken + buffer.droppedSpanCount(), 3 * spansPerWriter);
    }

    TEST_F(SpanBufferTest, ExportsOtlpJsonWithOneResourcePerInstance)
    {
        const auto trace = startTrace(m_random);
        auto first = makeSpan(trace, 1);
        auto second = makeSpan(childOf(trace, m_random), 2);
        second.instance = "entry-2";
        second.parentId = trace.spanId;
        second.failed = true;
        second.attributes = { { "service", "pass-ledger" } };
        const auto parsed = boost::json::parse(otlpJson(std::vector { first, second }));
        const auto& resources = parsed.at("resourceSpans").as_array();
        ASSERT_EQ(resources.size(), 2U);
        const auto& span = resources[1].at("scopeSpans").at(0).at("spans").at(0);
        EXPECT_EQ(span.at("traceId").as_string(), toHex(trace.traceId));
        EXPECT_EQ(span.at("parentSpanId").as_string(), toHex(trace.spanId));
        EXPECT_EQ(span.at("startTimeUnixNano").as_string(), "2000000000");
        EXPECT_EQ(span.at("endTimeUnixNano").as_string(), "2250000000");
        EXPECT_EQ(span.at("attributes").at(0).at("value").at("stringValue").as_string(), "pass-ledger");
        EXPECT_EQ(span.at("status").at("code").as_int64(), 2);
        EXPECT_FALSE(resources[0].at("scopeSpans").at(0).at("spans").at(0).as_object().contains("parentSpanId"));
    }

} // namespace
} // namespace yuccashift
