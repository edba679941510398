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

    TEST(Metrics, AreRenderedSortedWithOneTypeLineForEachName)
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

    TEST(Metrics, PastTheBoundOfSeriesNewOnesShareAnOverflowSeries)
    {
        constexpr int more = 20000;
        Metrics metrics;
        for (int n = 0; n < more; ++n)
            metrics.counter("keys_total", { { "key", std::to_string(n) } }).add();
        const std::string text = metrics.renderPrometheus();
        EXPECT_LT(std::ranges::count(text, '\n'), more / 2);
        EXPECT_NE(text.find("keys_total{overflow=\"true\"}"), std::string::npos);
    }

    TEST(Metrics, CountsOfManyThreadsAddUp)
    {
        constexpr int threads = 4;
        constexpr int each = 5000;
        Metrics metrics;
        {
            std::vector<std::jthread> workers;
            workers.reserve(threads);
            for (int n = 0; n < threads; ++n) {
                workers.emplace_back([&metrics] {
                    for (int k = 0; k < each; ++k) {
                        metrics.counter("total").add();
                        metrics.latency("seconds").record(milliseconds(k));
                    }
                });
            }
        }
        EXPECT_EQ(metrics.counter("total").value(), static_cast<std::uint64_t>(threads * each));
        EXPECT_EQ(metrics.latency("seconds").count(), static_cast<std::uint64_t>(threads * each));
    }

    TEST(LatencyHistogram, AQuantileLiesInTheBinOfTheValueItStandsFor)
    {
        LatencyHistogram histogram;
        EXPECT_EQ(histogram.quantile(0.5), 0);
        for (int n = 1; n <= 1000; ++n)
            histogram.record(milliseconds(n));
        // Six bins to a decade: an upper edge is at most 1.47 times the value.
        constexpr double widest = 1.47;
        for (const double share : { 0.5, 0.9, 0.99 }) {
            EXPECT_GE(histogram.quantile(share), share);
            EXPECT_LE(histogram.quantile(share), share * widest);
        }
    }

    TEST(LatencyHistogram, BucketsAreCumulativeAndEndWithEverything)
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
