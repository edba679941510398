#pragma once

#include "yuccashift/kernel/registry.hpp"

#include <cstdint>
#include <optional>
#include <ostream>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace yuccashift::fuzzing {

/** One command of a random history. Each check interprets the numbers in its own way. */
struct Step {
    std::uint32_t action = 0;
    std::uint32_t a = 0;
    std::uint32_t b = 0;
    std::uint32_t c = 0;
};

std::ostream& operator<<(std::ostream&, const Step&);

/** Mutant name of a run without a seeded fault. */
constexpr std::string_view noMutant;

/**
 * Compares production modules with a simple oracle. A mutant is a fault seeded
 * into the harness around the modules, which the oracle must detect.
 */
class Check {
public:
    virtual ~Check();
    virtual std::vector<std::string> mutants() const = 0;
    /** Runs the history; returns a description of the first violated invariant, or std::nullopt if all hold. */
    virtual std::optional<std::string> run(std::span<const Step>, std::string_view mutant) = 0;
};

/** Maps a random number to an index below `count`; 0 if `count` is 0. */
inline std::uint32_t pick(std::uint32_t number, std::size_t count)
{
    return count == 0 ? 0 : number % static_cast<std::uint32_t>(count);
}

} // namespace yuccashift::fuzzing
