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

/** A number that only grows. Thread safe. */
class Counter {
public:
    void add(std::uint64_t count = 1) { m_value.fetch_add(count, std::memory_order_relaxed); }
    std::uint64_t value() const { return m_value.load(std::memory_order_relaxed); }

private:
    std::atomic<std::uint64_t> m_value { 0 };
};

/** A number that goes up and down. Thread safe. */
class Gauge {
public:
    void set(std::int64_t value) { m_value.store(value, std::memory_order_relaxed); }
    void add(std::int64_t difference) { m_value.fetch_add(difference, std::memory_order_relaxed); }
    std::int64_t value() const { return m_value.load(std::memory_order_relaxed); }

private:
    std::atomic<std::int64_t> m_value { 0 };
};

/** Distribution of durations in logarithmic bins from 0.1 ms to 100 s. Thread safe. */
class LatencyHistogram {
public:
    LatencyHistogram();
    ~LatencyHistogram();

    void record(Duration);
    std::uint64_t count() const;
    /** Upper edge of the bin that holds this quantile, in seconds; 0 while empty. */
    double quantile(double) const;
    /** Appends its lines in Prometheus' text format. */
    void render(std::string& out, std::string_view name, std::string_view labels) const;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

/**
 * All metrics of one instance, by name and labels. The series are in shards,
 * each under its own lock. References stay valid for the object's lifetime, so
 * hot paths look a series up once. The number of series is bounded: past the
 * bound a new one shares the series with the label overflow="true".
 */
class Metrics {
public:
    Metrics();
    ~Metrics();

    Counter& counter(std::string_view name, Labels = {});
    Gauge& gauge(std::string_view name, Labels = {});
    LatencyHistogram& latency(std::string_view name, Labels = {});

    /** All series in Prometheus' text format, sorted by name and labels. */
    std::string renderPrometheus() const;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace yuccashift
