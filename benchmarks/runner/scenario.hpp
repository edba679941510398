#pragma once

#include "benchmarks/runner/server_model.hpp"
#include "benchmarks/runner/workload.hpp"

#include <optional>
#include <string>
#include <vector>

namespace yuccashift::runner {

enum class FaultKind {
    Kill,
    Revive,
    Slow,
    Leave,
    LoseRegion,
    HealRegion,
};

/** Something that goes wrong, or is mended, at a time since the start. */
struct Fault {
    double at = 0;
    FaultKind kind = FaultKind::Kill;
    std::size_t region = 0;
    bool plain = false;
    /** Server among those of the region and service. */
    std::size_t server = 0;
    /** For Slow: how many times slower; 1 mends it. */
    double factor = 1;
};

/** Servers of one region. */
struct RegionSize {
    std::uint32_t plainServers = 2;
    std::uint32_t modelServers = 4;
    std::uint32_t instances = 3;
};

/** One fixed situation. */
struct Scenario {
    std::string name;
    std::string description;
    WorkloadSpec workload;
    std::vector<RegionSize> regions;
    Duration leastReportLag = milliseconds(300);
    Duration mostReportLag = milliseconds(700);
    /** Share of cache events lost, in percent. */
    double eventGapPercent = 0;
    std::vector<Fault> faults;
    /** When the fault is over, for the recovery time. */
    std::optional<double> mendedAt;
    /** Callers send again at once instead of when they are told to. */
    bool impatient = false;
    /** The platform's list does not change: leaving is seen by refusals and reports only. */
    bool listFrozen = false;
};

ServerSpec plainServerSpec();
ServerSpec modelServerSpec();

/** All scenarios, in the order of the tables. */
std::vector<Scenario> allScenarios();

} // namespace yuccashift::runner
