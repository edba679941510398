#include "yuccashift/observe/metrics.hpp"

#include <algorithm>
#include <gtest/gtest.h>
#include <thread>
#include <vector>

namespace yuccashift {
namespace {

    TEST(Metrics, ASeriesIsTheSameObjectForTheSameNameAndLabels)
    {
        Metrics metrics;
        metrics.counter("requests_total", { { "service", "a" } }).add(2);
        metrics.counter("requests_total", { { "service", "a" } }).add();
        metrics.counter("requests_total", { { "service", "b" } }).add();
        EXPECT_EQ(metrics.counter("requests_total", { { "service", "a" } }).value(), 3U);
        EXPECT_EQ(metrics.counter("requests_total", { { "service", "b" } }).value(), 1U);
    }

    TEST(Metrics, AreRenderedInSortedOrderWithOneTypeLinePerName)
    {
        Metrics metrics;
        metrics.gauge("b_open").set(-4);
        metrics.counter("a_total", { { "service", "y" } }).add(7);
        metrics.counter("a_total", { { "service", "x\"\\\n" } }).add();
        EXPECT_EQ(metrics.renderPrometheus(),
            "# TYPE a_total counter\n"
            "a_total{service=\"x\\\"\\\\\\n\"} 1\n"
            "a_total{service=\"y\"} 7\n"
            "# TYPE b_open gauge\n"
            "b_open -4\n");
    }

    TEST(Metrics, BeyondTheSeriesLimitNewOnesShareAnOverflowSeries)
    {
        constexpr int seriesCount = 20000;
        Metrics metrics;
        for (int n = 0; n < seriesCount; ++n)
            metrics.counter("keys_total", { { "key", std::to_string(n) } }).add();
        const std::string text = metrics.renderPrometheus();
        EXPECT_LT(std::ranges::count(text, '\n'), seriesCount / 2);
        EXPECT_NE(text.find("keys_total{overflow=\"true\"}"), std::string::npos);
    }

    TEST(Metrics, CountsFromConcurrentThreadsAddUp)
    {
        constexpr int threads = 4;
        constexpr int valuesPerThread = 5000;
        Metrics metrics;
        {
            std::vector<std::jthread> workers;
            workers.reserve(threads);
            for (int n = 0; n < threads; ++n) {
                workers.emplace_back([&metrics] {
                    for (int value = 0; value < valuesPerThread; ++value) {
                        metrics.counter("total").add();
                        metrics.latency("seconds").record(milliseconds(value));
                    }
                });
            }
        }
        EXPECT_EQ(metrics.counter("total").value(), static_cast<std::uint64_t>(threads * valuesPerThread));
        EXPECT_EQ(metrics.latency("seconds").count(), static_cast<std::uint64_t>(threads * valuesPerThread));
    }

    TEST(LatencyHistogram, AQuantileIsTheUpperEdgeOfTheBinThatHoldsTheValue)
    {
        LatencyHistogram histogram;
        EXPECT_EQ(histogram.quantile(0.5), 0);
        for (int n = 1; n <= 1000; ++n)
            histogram.record(milliseconds(n));
        // With six bins per decade the upper edge of a bin is at most 1.47 times any value in it.
        constexpr double maxBinRatio = 1.47;
        for (const double fraction : { 0.5, 0.9, 0.99 }) {
            EXPECT_GE(histogram.quantile(fraction), fraction);
            EXPECT_LE(histogram.quantile(fraction), fraction * maxBinRatio);
        }
    }

    TEST(LatencyHistogram, BucketsAreCumulativeAndTheLastOneCountsAllValues)
    {
        LatencyHistogram histogram;
        histogram.record(microseconds(1));
        histogram.record(milliseconds(50));
        histogram.record(seconds(1000));
        std::string text;
        histogram.render(text, "t", "service=\"a\"");
        EXPECT_NE(text.find("t_bucket{service=\"a\",le=\"0.0001\"} 1\n"), std::string::npos);
        EXPECT_NE(text.find("t_bucket{service=\"a\",le=\"0.1\"} 2\n"), std::string::npos);
        EXPECT_NE(text.find("t_bucket{service=\"a\",le=\"100\"} 2\n"), std::string::npos);
        EXPECT_NE(text.find("t_bucket{service=\"a\",le=\"+Inf\"} 3\n"), std::string::npos);
        EXPECT_NE(text.find("t_count{service=\"a\"} 3\n"), std::string::npos);
    }

} // namespace
} // namespace yuccashift
