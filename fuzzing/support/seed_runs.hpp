#pragma once

#include <cstdint>
#include <functional>
#include <string>

namespace yuccashift {

/** A program that plays seeds in a row, with one more number for each. */
struct SeedRuns {
    std::string program;
    std::string description;
    std::string option;
    std::string optionText;
    std::string unit;
    unsigned optionDefault = 0;
    /** Plays a seed; whether all was right. */
    std::function<bool(std::uint64_t seed, unsigned option)> play;
};

/** Its `main`: 0 where all seeds were right, 1 where not, 2 where it could not play. */
int playSeeds(int argc, char** argv, const SeedRuns&);

} // namespace yuccashift
