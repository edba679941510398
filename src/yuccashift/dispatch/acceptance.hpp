#pragma once

#include "yuccashift/dispatch/work.hpp"
#include "yuccashift/kernel/clock.hpp"

#include <array>
#include <cstddef>

namespace yuccashift {

/** Levels of requests that are accepted alike: by priority and, within one, those that come back as told, and new ones. */
constexpr std::size_t acceptanceLevels = 2 * priorityLevels;
constexpr std::size_t acceptanceLevel(std::size_t priority, bool comesBack)
{
    return 2 * std::min(priority, priorityLevels - 1) + (comesBack ? 0 : 1);
}

/** Prompts that callers ask the engines of a region to read, as the number of engines that this keeps busy, by level. */
using PromptLoads = std::array<double, acceptanceLevels>;
/** Share of the requests of each level that is accepted, from 0 to 1. */
using AcceptedShares = std::array<double, acceptanceLevels>;

/** Time that an engine needs for a prompt of which some tokens are cached, with the attention of each token to all before it. */
Duration promptTime(std::uint32_t promptTokens, std::uint32_t cachedTokens);

/**
 * Whether a request is one that comes back after a refusal at the time that it was told: some of the route's time has
 * passed when it arrives. One that repeats at once counts as new.
 */
bool comesBackAsTold(Duration timeLimit, Duration timeLeft, Duration objective);

/** When a refused caller is told to come back; drawn between the two, so that callers do not come back together. */
struct ReturnTime {
    Duration earliest {};
    Duration latest {};
};
/**
 * Within the objective, if at least half of those that come back are accepted. Otherwise room is not in sight, and the
 * caller waits as long as callers do.
 */
ReturnTime returnTime(double acceptedShareOfReturning, Duration objective, Duration timeLeft);

/**
 * Number of engines whose whole time may go into prompts. A stream makes tokens only between the prompts that its engine
 * reads, so that the rest of each engine's time is left for the streams to end within their deadlines.
 */
double roomForPrompts(std::size_t engines);

/**
 * Divides the room among the levels: each one gets what those before it leave. A less urgent request is thus accepted
 * only while all of the more urgent demand has room. Where a priority has too little, those that come back as told have
 * twice the chance of new ones, and otherwise all have the same, whatever their size.
 */
AcceptedShares acceptedShares(const PromptLoads& demand, double room);

/**
 * Share of the requests refused elsewhere that is sent to another region which accepts the given share. The region
 * counts what it refuses as demand too, so that it can tell the whole of it. Sending none until it has room again would
 * swing; the square root settles, since the region's share falls more slowly than what is sent.
 */
double offeredShare(double accepted);

} // namespace yuccashift
