#pragma once

#include "yuccashift/limits/fleet_limits.hpp"

#include <algorithm>
#include <cmath>
#include <limits>

namespace yuccashift {

/** Most organisations that one heartbeat reports, of 14 to 16 bytes each. */
constexpr std::size_t maxReportedUsage = 24;

/** Reads the use of organisations' limits from a heartbeat. */
template <typename Heartbeat>
std::vector<UsageRate> usageRatesOf(const Heartbeat& heartbeat)
{
    const auto count = std::min({ heartbeat.usageOrganisations.size(), heartbeat.usageDemanded.size(), heartbeat.usageAdmitted.size(), maxReportedUsage });
    std::vector<UsageRate> rates;
    for (std::size_t n = 0; n < count; ++n)
        rates.push_back({ static_cast<OrganisationKey>(heartbeat.usageOrganisations[n]), static_cast<double>(heartbeat.usageDemanded[n]), static_cast<double>(heartbeat.usageAdmitted[n]) });
    return rates;
}

/** Adds the use of organisations' limits to a heartbeat. @param sources instances that the rates are sums of; 0 if they are the sender's own */
template <typename Heartbeat>
void addUsageRates(Heartbeat& heartbeat, std::span<const UsageRate> rates, std::size_t sources)
{
    const auto encode = [](double rate) {
        return static_cast<std::int32_t>(std::lround(std::clamp<double>(rate, 0, std::numeric_limits<std::int32_t>::max())));
    };
    for (const auto& it : rates) {
        heartbeat.usageOrganisations.push_back(static_cast<std::int64_t>(it.organisation));
        heartbeat.usageDemanded.push_back(encode(it.demanded));
        heartbeat.usageAdmitted.push_back(encode(it.admitted));
    }
    heartbeat.usageSources = static_cast<std::int32_t>(sources);
}

/** The sender of a heartbeat. */
struct ReportingPeer {
    InstanceId instance;
    Incarnation incarnation = 0;
    RegionName region;
    bool inOwnRegion = false;
};

/**
 * Takes what a heartbeat's sender, or its region, used of the limits. Sums of the own region are left out: an instance
 * that does not know yet in which region an address lies sends them there too.
 */
template <typename Heartbeat>
void takeUsageReport(FleetLimits& limits, const Heartbeat& heartbeat, const ReportingPeer& peer, Instant now)
{
    const auto sources = static_cast<std::size_t>(std::max(0, heartbeat.usageSources));
    if (peer.inOwnRegion && sources == 0)
        limits.onInstanceReport(peer.instance, peer.incarnation, usageRatesOf(heartbeat), now);
    else if (!peer.inOwnRegion && sources > 0)
        limits.onRegionReport(peer.region, sources, usageRatesOf(heartbeat), now);
}

} // namespace yuccashift
