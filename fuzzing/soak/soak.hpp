#pragma once

#include <chrono>
#include <cstdint>
#include <iosfwd>

namespace yuccashift::soak {

struct SoakOptions {
    std::uint64_t seed = 1;
    /** Time under faults; healing and judging come on top. */
    std::chrono::seconds time { 10 };
};

/** Plays one seed and reports on `out`; true where every promise was kept. */
bool playSoak(const SoakOptions&, std::ostream& out);

} // namespace yuccashift::soak
