#include "yuccashift/dispatch/placement.hpp"

#include "yuccashift/dispatch/prefix_home.hpp"

#include <algorithm>

namespace yuccashift {

namespace {

    /** By how much another region must be faster to be chosen over this one. */
    constexpr Duration spillMargin = milliseconds(100);
    /** Share of the objective that a request may queue if its own prompt takes too long for the objective. */
    constexpr double queueTimeShare = 0.5;
    /** Share of the time left until the deadline that may pass before the first byte, so that the rest of the answer fits. */
    constexpr double firstByteDeadlineShare = 0.6;
    /** Lower bound of that limit, so that callers which come back after their objective has passed are still served; the deadline still bounds it. */
    constexpr Duration minFirstByteLimit = milliseconds(700);

    Duration timeToFirstByteAt(const RemoteRegionEstimate& region)
    {
        return region.timeToFirstByte + region.promptPrefillTime + region.roundTrip;
    }

    /** Index of the home region of the shared prefix if it costs less than a prefill in this region; else std::nullopt. */
    std::optional<std::size_t> prefixHolder(const PlacementInput& input)
    {
        const auto affinityLimit = std::chrono::duration_cast<Duration>(input.objective * prefixAffinityObjectiveShare);
        // The prefill delays this request, and again those that arrive at the server meanwhile.
        const auto localCost = *input.localTimeToFirstByte + input.prefixPrefillTime;
        for (std::size_t i = 0; i < input.remotes.size(); ++i) {
            const auto& region = input.remotes[i];
            if (region.holdsPrefix && timeToFirstByteAt(region) < std::min(localCost, affinityLimit))
                return i;
        }
        return std::nullopt;
    }

    /** Maximum predicted time to first byte at which a request is accepted. */
    Duration firstByteLimit(const PlacementInput& input)
    {
        const auto objectiveLimit = std::max(input.objective, input.idleTimeToFirstByte + std::chrono::duration_cast<Duration>(input.objective * queueTimeShare));
        const auto deadlineLimit = std::chrono::duration_cast<Duration>(input.deadline * firstByteDeadlineShare);
        return std::min(std::max(objectiveLimit, minFirstByteLimit), deadlineLimit);
    }

} // namespace

Placement place(const PlacementInput& input)
{
    Placement placement;
    const auto localTimeToFirstByte = input.acceptedHere ? input.localTimeToFirstByte : std::nullopt;
    if (localTimeToFirstByte && input.prefixPrefillTime > Duration::zero()) {
        if (const auto holder = prefixHolder(input)) {
            placement.action = Placement::Action::Remote;
            placement.remoteIndex = *holder;
            placement.predicted = timeToFirstByteAt(input.remotes[*holder]);
            return placement;
        }
    }
    if (localTimeToFirstByte && *localTimeToFirstByte <= input.objective) {
        placement.action = Placement::Action::Local;
        placement.predicted = *localTimeToFirstByte;
        return placement;
    }
    std::optional<Duration> best;
    if (localTimeToFirstByte) {
        best = *localTimeToFirstByte;
        placement.action = Placement::Action::Local;
    }
    for (std::size_t i = 0; i < input.remotes.size(); ++i) {
        const auto predicted = timeToFirstByteAt(input.remotes[i]);
        const auto margin = placement.action == Placement::Action::Local ? spillMargin : Duration::zero();
        if (best && predicted + margin >= *best)
            continue;
        best = predicted;
        placement.action = Placement::Action::Remote;
        placement.remoteIndex = i;
    }
    placement.predicted = best.value_or(Duration::zero());
    const bool onlyElsewhere = input.reachesNoServer && placement.action == Placement::Action::Remote;
    const auto wayThere = onlyElsewhere ? input.remotes[placement.remoteIndex].roundTrip : Duration::zero();
    if (!best || *best - wayThere > firstByteLimit(input))
        placement.action = Placement::Action::Refuse;
    return placement;
}

} // namespace yuccashift
