#pragma once

#include "yuccashift/kernel/clock.hpp"

#include <atomic>
#include <cstdint>
#include <initializer_list>
#include <memory>
#include <string>
#include <string_view>

namespace yuccashift {

/** One label of a metric, such as service="pass-ledger". */
struct Label {
    std::string_view name;
    std::string_view value;
};

using Labels = std::initializer_list<Label>;

/** Metric that only increases. Thread safe. */
class Counter {
public:
    void add(std::uint64_t count = 1) { m_value.fetch_add(count, std::memory_order_relaxed); }
    std::uint64_t value() const { return m_value.load(std::memory_order_relaxed); }

private:
    std::atomic<std::uint64_t> m_value { 0 };
};

/** Metric that can increase and decrease. Thread safe. */
class Gauge {
public:
    void set(std::int64_t value) { m_value.store(value, std::memory_order_relaxed); }
    void add(std::int64_t difference) { m_value.fetch_add(difference, std::memory_order_relaxed); }
    std::int64_t value() const { return m_value.load(std::memory_order_relaxed); }

private:
    std::atomic<std::int64_t> m_value { 0 };
};

/** Histogram of durations with logarithmic bins from 0.1 ms to 100 s. Thread safe. */
class LatencyHistogram {
public:
    LatencyHistogram();
    ~LatencyHistogram();

    void record(Duration);
    std::uint64_t count() const;
    /**
     * Upper edge in seconds of the bin that holds this quantile (0 to 1). 0 if
     * nothing is recorded; 100 s if the value lies beyond the last bin.
     */
    double quantile(double) const;
    /** Appends the buckets, the sum and the count in the Prometheus text format. */
    void render(std::string& out, std::string_view name, std::string_view labels) const;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

/**
 * All metrics of one instance, by name and labels. Series are distributed over
 * shards with one lock each. References stay valid for the object's lifetime, so
 * that hot paths look a series up only once. The number of series is limited:
 * beyond the limit a new one shares the series with the label overflow="true".
 */
class Metrics {
public:
    Metrics();
    ~Metrics();

    /** The series with this name and these labels, created at the first use. */
    Counter& counter(std::string_view name, Labels = {});
    Gauge& gauge(std::string_view name, Labels = {});
    LatencyHistogram& latency(std::string_view name, Labels = {});

    /** All series in the Prometheus text format, sorted by name and labels. */
    std::string renderPrometheus() const;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace yuccashift
