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

/** One command of a random history. Each check reads the numbers as it likes. */
struct Step {
    std::uint32_t action = 0;
    std::uint32_t a = 0;
    std::uint32_t b = 0;
    std::uint32_t c = 0;
};

std::ostream& operator<<(std::ostream&, const Step&);

/** Name of the run without any seeded fault. */
constexpr std::string_view noMutant;

/**
 * Shipped modules against a simple oracle. A mutant is a seeded fault of the
 * harness around the modules, which the oracle has to notice.
 */
class Check {
public:
    virtual ~Check();
    virtual std::vector<std::string> mutants() const = 0;
    /** Runs the history; returns the first broken invariant. */
    virtual std::optional<std::string> run(std::span<const Step>, std::string_view mutant) = 0;
};

/** One of `count` choices. */
inline std::uint32_t pick(std::uint32_t number, std::size_t count)
{
    return count == 0 ? 0 : number % static_cast<std::uint32_t>(count);
}

} // namespace yuccashift::fuzzing
