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

/** A fault or a recovery, at a time in seconds since the start. */
struct Fault {
    double at = 0;
    FaultKind kind = FaultKind::Kill;
    std::size_t region = 0;
    bool plain = false;
    /** Index among the servers of the region and service. */
    std::size_t server = 0;
    /** For Slow: factor on service times; 1 restores normal speed. */
    double factor = 1;
};

/** Number of servers and instances in one region. */
struct RegionSize {
    std::uint32_t plainServers = 2;
    std::uint32_t modelServers = 4;
    std::uint32_t instances = 3;
};

/** A fixed workload and set of faults. */
struct Scenario {
    std::string name;
    std::string description;
    WorkloadSpec workload;
    std::vector<RegionSize> regions;
    Duration minReportLag = milliseconds(300);
    Duration maxReportLag = milliseconds(700);
    /** Share of cache events lost, in percent. */
    double eventGapPercent = 0;
    std::vector<Fault> faults;
    /** End of the fault in seconds since the start, from which the recovery time is measured; std::nullopt if it is not measured. */
    std::optional<double> faultEndsAt;
    /** Callers retry after 20 ms instead of after the Retry-After time. */
    bool retriesImmediately = false;
    /** The platform's list does not change: a leaving server is noticed only through refusals and reports. */
    bool listFrozen = false;
};

ServerSpec plainServerSpec();
ServerSpec modelServerSpec();

/** All scenarios, in the order of the tables. */
std::vector<Scenario> allScenarios();

} // namespace yuccashift::runner
