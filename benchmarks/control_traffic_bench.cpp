#include "benchmarks/support/control_traffic.hpp"

#include <benchmark/benchmark.h>

namespace yuccashift::benchmarks {
namespace {

    void measure(benchmark::State& state)
    {
        ControlFleet fleet;
        fleet.regionMembers = static_cast<std::size_t>(state.range(0));
        fleet.otherRegions = static_cast<std::size_t>(state.range(1));
        fleet.documentBytes = static_cast<std::size_t>(state.range(2));
        fleet.allRegionsWatch = state.range(3) != 0;
        ControlTraffic traffic;
        for (auto _ : state)
            traffic = measureControlTraffic(fleet);
        state.counters["sent_B_per_s"] = traffic.sentPerSecond;
        state.counters["received_B_per_s"] = traffic.receivedPerSecond;
        state.counters["busiest_B_per_s"] = traffic.busiestPerSecond;
        state.counters["frames_per_s"] = traffic.framesSentPerSecond;
        state.counters["loads_per_s"] = traffic.loadsReceivedPerSecond;
        state.counters["summaries_per_s"] = traffic.summariesReceivedPerSecond;
        state.counters["cpu_us_per_s"] = traffic.processorMicroseconds;
        state.counters["slowest_change_ms"] = traffic.slowestChangeMs;
    }

    // Arguments: instances of the region, other regions, bytes of a changed document, whether all regions watch.
    BENCHMARK(measure)
        ->Args({ 3, 23, 4096, 1 })
        ->Args({ 9, 2, 4096, 1 })
        ->Args({ 15, 23, 4096, 1 })
        ->Args({ 30, 23, 4096, 1 })
        ->Args({ 50, 23, 4096, 1 })
        ->Args({ 50, 23, 16384, 1 })
        ->Args({ 50, 23, 4096, 0 })
        ->Args({ 100, 23, 4096, 1 })
        ->Iterations(1)
        ->Unit(benchmark::kMillisecond);

} // namespace
} // namespace yuccashift::benchmarks

BENCHMARK_MAIN();
