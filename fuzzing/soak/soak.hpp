#pragma once

#include <chrono>
#include <cstdint>
#include <iosfwd>

namespace yuccashift::soak {

struct SoakOptions {
    std::uint64_t seed = 1;
    /** Duration of fault injection; recovery and the final check take additional time. */
    std::chrono::seconds time { 10 };
};

/** Runs one seed and writes a report to `out`; returns true if all instances recovered and no guarantee was violated. */
bool runSoak(const SoakOptions&, std::ostream& out);

} // namespace yuccashift::soak
