#include "fuzzing/support/seed_runs.hpp"

#include <iostream>
#include <tclap/CmdLine.h>

namespace yuccashift {

int runSeeds(int argc, char** argv, const SeedProgram& spec)
{
    try {
        TCLAP::CmdLine command(spec.description, ' ', "0.1.0");
        TCLAP::ValueArg<std::uint64_t> seed("", "seed", "first seed", false, 1, "number", command);
        TCLAP::ValueArg<unsigned> count("", "count", "seeds in a row", false, 1, "number", command);
        TCLAP::ValueArg<unsigned> option("", spec.option, spec.optionText, false, spec.optionDefault, spec.unit, command);
        command.parse(argc, argv);
        bool passed = true;
        for (unsigned n = 0; n < count.getValue(); ++n)
            passed = spec.runSeed(seed.getValue() + n, option.getValue()) && passed;
        return passed ? 0 : 1;
    } catch (const std::exception& e) {
        std::cerr << spec.program << ": " << e.what() << "\n";
        return 2;
    }
}

} // namespace yuccashift
