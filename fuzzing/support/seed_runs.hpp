#pragma once

#include <cstdint>
#include <functional>
#include <string>

namespace yuccashift {

/** Describes a command-line program that runs consecutive seeds, with one additional numeric option. */
struct SeedProgram {
    std::string program;
    std::string description;
    std::string option;
    std::string optionText;
    std::string unit;
    unsigned optionDefault = 0;
    /** Runs one seed; returns whether all checks passed. */
    std::function<bool(std::uint64_t seed, unsigned option)> runSeed;
};

/** Implements `main`. Returns 0 if all seeds passed, 1 if any failed, 2 if an exception, such as an invalid argument, ended the run. */
int runSeeds(int argc, char** argv, const SeedProgram&);

} // namespace yuccashift
