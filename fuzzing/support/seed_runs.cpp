#include "fuzzing/support/seed_runs.hpp"

#include <iostream>
#include <tclap/CmdLine.h>

namespace yuccashift {

int playSeeds(int argc, char** argv, const SeedRuns& runs)
{
    try {
        TCLAP::CmdLine command(runs.description, ' ', "0.1.0");
        TCLAP::ValueArg<std::uint64_t> seed("", "seed", "first seed", false, 1, "number", command);
        TCLAP::ValueArg<unsigned> count("", "count", "seeds in a row", false, 1, "number", command);
        TCLAP::ValueArg<unsigned> option("", runs.option, runs.optionText, false, runs.optionDefault, runs.unit, command);
        command.parse(argc, argv);
        bool right = true;
        for (unsigned n = 0; n < count.getValue(); ++n)
            right = runs.play(seed.getValue() + n, option.getValue()) && right;
        return right ? 0 : 1;
    } catch (const std::exception& e) {
        std::cerr << runs.program << ": " << e.what() << "\n";
        return 2;
    }
}

} // namespace yuccashift
