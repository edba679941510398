#include "yuccashift/dispatch/placement.hpp"

#include "yuccashift/dispatch/prefix_home.hpp"

#include <algorithm>

namespace yuccashift {

namespace {

    /** How much sooner another region must answer. */
    constexpr Duration spillMargin = milliseconds(100);
    /** Part of the objective that a request may queue if it is late by its own size. */
    constexpr double queueShare = 0.5;
    /** Share of the time left that may pass before the first byte, so that the rest of the answer fits. */
    constexpr double mostOfDeadline = 0.6;
    /** Callers that come back late still get this long. */
    constexpr Duration leastPatience = milliseconds(700);

    Duration firstByteAt(const RemoteRegionEstimate& room)
    {
        return room.timeToFirstByte + room.promptPrefillTime + room.roundTrip;
    }

    /** The region to go to for the shared prefix, which is cheaper than to read the prefix here. */
    std::optional<std::size_t> prefixHolder(const PlacementInput& input)
    {
        const auto soonEnough = std::chrono::duration_cast<Duration>(input.objective * prefixAffinityObjectiveShare);
        // Reading it again makes this request wait, and those that come to the server meanwhile.
        const auto cost = *input.localTimeToFirstByte + input.prefixPrefillTime;
        for (std::size_t i = 0; i < input.remotes.size(); ++i) {
            const auto& room = input.remotes[i];
            if (room.holdsPrefix && firstByteAt(room) < std::min(cost, soonEnough))
                return i;
        }
        return std::nullopt;
    }

    Duration limitOf(const PlacementInput& input)
    {
        const auto late = std::max(input.objective, input.idleTimeToFirstByte + std::chrono::duration_cast<Duration>(input.objective * queueShare));
        const auto dead = std::chrono::duration_cast<Duration>(input.deadline * mostOfDeadline);
        return std::min(std::max(late, leastPatience), dead);
    }

} // namespace

Placement place(const PlacementInput& input)
{
    Placement placement;
    if (input.localTimeToFirstByte && input.prefixPrefillTime > Duration::zero()) {
        if (const auto holder = prefixHolder(input)) {
            placement.action = Placement::Action::Remote;
            placement.remoteIndex = *holder;
            placement.predicted = firstByteAt(input.remotes[*holder]);
            return placement;
        }
    }
    if (input.localTimeToFirstByte && *input.localTimeToFirstByte <= input.objective) {
        placement.action = Placement::Action::Local;
        placement.predicted = *input.localTimeToFirstByte;
        return placement;
    }
    std::optional<Duration> best;
    if (input.localTimeToFirstByte) {
        best = *input.localTimeToFirstByte;
        placement.action = Placement::Action::Local;
    }
    for (std::size_t i = 0; i < input.remotes.size(); ++i) {
        const auto predicted = firstByteAt(input.remotes[i]);
        const auto handicap = placement.action == Placement::Action::Local ? spillMargin : Duration::zero();
        if (best && predicted + handicap >= *best)
            continue;
        best = predicted;
        placement.action = Placement::Action::Remote;
        placement.remoteIndex = i;
    }
    placement.predicted = best.value_or(Duration::zero());
    if (!best || *best > limitOf(input))
        placement.action = Placement::Action::Refuse;
    return placement;
}

} // namespace yuccashift
