#include "benchmarks/runner/scenario.hpp"

#include <cmath>
#include <numbers>

namespace yuccashift::runner {
namespace {

    Scenario base(std::string name, std::string description)
    {
        Scenario scenario;
        scenario.name = std::move(name);
        scenario.description = std::move(description);
        scenario.regions = { {}, {}, { 2, 4, 2 } };
        scenario.workload.regions = { "sofia", "plovdiv", "varna" };
        scenario.workload.regionShares = { 0.4, 0.35, 0.25 };
        return scenario;
    }

    Scenario surge()
    {
        auto scenario = base("surge", "one minute at five times the mean rate");
        scenario.workload.shape = [](double time, std::size_t) { return time >= 15 && time < 75 ? 5.0 : 1.0; };
        scenario.workload.length = seconds(100);
        return scenario;
    }

    Scenario mixedPriorities()
    {
        auto scenario = base("mixed-priorities", "85% load of the model service with all priorities mixed");
        scenario.workload.modelRate = 34;
        return scenario;
    }

    Scenario shiftedPeaks()
    {
        auto scenario = base("shifted-peaks", "regions peak one after another");
        scenario.workload.modelRate = 24;
        scenario.workload.plainRate = 90;
        scenario.workload.regionShares = { 1.0 / 3, 1.0 / 3, 1.0 / 3 };
        scenario.workload.shape = [](double time, std::size_t region) {
            constexpr double period = 60;
            const double phase = 2 * std::numbers::pi * (time / period + static_cast<double>(region) / 3);
            return 1 + 0.8 * std::sin(phase);
        };
        return scenario;
    }

    Scenario capacitySkew()
    {
        auto scenario = base("capacity-skew", "one region has ten times the servers of another");
        scenario.regions = { { 5, 10, 4 }, { 2, 3, 2 }, { 1, 1, 2 } };
        scenario.workload.modelRate = 24;
        scenario.workload.plainRate = 80;
        scenario.workload.regionShares = { 0.5, 0.3, 0.2 };
        return scenario;
    }

    Scenario manyInstances()
    {
        auto scenario = base("many-instances", "fourteen instances per region before 24 engines and 12 ledger servers, at 75% load");
        scenario.regions = { { 4, 8, 14 }, { 4, 8, 14 }, { 4, 8, 14 } };
        scenario.workload.regionShares = { 0.36, 0.34, 0.3 };
        scenario.workload.length = seconds(60);
        scenario.workload.modelRate = 60;
        scenario.workload.plainRate = 400;
        return scenario;
    }

    Scenario lateReports()
    {
        auto scenario = base("late-reports", "reports lag 0.2 to 5 s at 75% load");
        scenario.minReportLag = milliseconds(200);
        scenario.maxReportLag = seconds(5);
        scenario.workload.modelRate = 30;
        scenario.workload.plainRate = 120;
        return scenario;
    }

    Scenario cacheGaps()
    {
        auto scenario = base("cache-gaps", "5% of the cache events are lost");
        scenario.eventGapPercent = 5;
        scenario.workload.modelRate = 28;
        return scenario;
    }

    Scenario slowBackend()
    {
        auto scenario = base("slow-backend", "one server of each service turns five times slower");
        scenario.workload.modelRate = 20;
        scenario.workload.plainRate = 80;
        scenario.faults = { { 20, FaultKind::Slow, 0, false, 0, 5 }, { 20, FaultKind::Slow, 0, true, 0, 5 } };
        return scenario;
    }

    Scenario deadBackend()
    {
        auto scenario = base("dead-backend", "one server of each service dies for good");
        scenario.workload.modelRate = 20;
        scenario.workload.plainRate = 80;
        scenario.faults = { { 20, FaultKind::Kill, 0, false, 0, 1 }, { 20, FaultKind::Kill, 0, true, 0, 1 } };
        return scenario;
    }

    Scenario flappingBackend()
    {
        auto scenario = base("flapping-backend", "one server of each service is down 2 s of every 5 s");
        scenario.workload.modelRate = 20;
        scenario.workload.plainRate = 80;
        for (double time = 10; time < 80; time += 5) {
            for (const bool plain : { true, false }) {
                scenario.faults.push_back({ time, FaultKind::Kill, 0, plain, 0, 1 });
                scenario.faults.push_back({ time + 2, FaultKind::Revive, 0, plain, 0, 1 });
            }
        }
        return scenario;
    }

    Scenario regionLost()
    {
        auto scenario = base("region-lost", "a region is lost for 30 s and comes back with cold caches");
        scenario.workload.length = seconds(100);
        scenario.workload.modelRate = 20;
        scenario.workload.plainRate = 80;
        scenario.faults = { { 25, FaultKind::LoseRegion, 0, false, 0, 1 }, { 55, FaultKind::HealRegion, 0, false, 0, 1 } };
        scenario.faultEndsAt = 55;
        return scenario;
    }

    Scenario configDown()
    {
        auto scenario = base("config-down", "the platform's lists stand still while servers leave");
        scenario.workload.modelRate = 20;
        scenario.workload.plainRate = 80;
        scenario.listFrozen = true;
        scenario.faults = { { 20, FaultKind::Leave, 0, false, 0, 1 }, { 30, FaultKind::Leave, 1, false, 0, 1 }, { 40, FaultKind::Leave, 0, true, 0, 1 } };
        return scenario;
    }

    Scenario crashingRequest()
    {
        auto scenario = base("crashing-request", "requests that crash their server, sent again and again");
        scenario.workload.modelRate = 20;
        scenario.workload.poisonAt = { 20, 35, 50 };
        return scenario;
    }

    Scenario noisyOrganisation()
    {
        auto scenario = base("noisy-organisation", "one organisation sends five times what all others send");
        scenario.workload.modelRate = 8;
        scenario.workload.plainRate = 50;
        scenario.workload.noisy = [](double time) { return time >= 20 && time < 70 ? 5.0 : 0.0; };
        return scenario;
    }

    Scenario retryStorm()
    {
        auto scenario = base("retry-storm", "half of the servers die for 20 s and callers send again at once");
        scenario.workload.modelRate = 24;
        scenario.workload.plainRate = 130;
        scenario.retriesImmediately = true;
        for (std::size_t region = 0; region < 3; ++region) {
            for (const bool plain : { true, false }) {
                for (std::size_t server = 0; server < (plain ? 1U : 2U); ++server) {
                    scenario.faults.push_back({ 30, FaultKind::Kill, region, plain, server, 1 });
                    scenario.faults.push_back({ 50, FaultKind::Revive, region, plain, server, 1 });
                }
            }
        }
        scenario.faultEndsAt = 50;
        return scenario;
    }

} // namespace

ServerSpec plainServerSpec()
{
    ServerSpec spec;
    spec.slots = 2;
    return spec;
}

ServerSpec modelServerSpec()
{
    return {};
}

std::vector<Scenario> allScenarios()
{
    return { surge(), mixedPriorities(), shiftedPeaks(), capacitySkew(), manyInstances(), lateReports(), cacheGaps(), slowBackend(), deadBackend(), flappingBackend(),
        regionLost(), configDown(), crashingRequest(), noisyOrganisation(), retryStorm() };
}

} // namespace yuccashift::runner
