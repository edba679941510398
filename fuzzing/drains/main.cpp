#include "fuzzing/drains/drains.hpp"

#include <iostream>
#include <tclap/CmdLine.h>

int main(int argc, char** argv)
{
    try {
        TCLAP::CmdLine command("Stops real instances under load at drawn moments; each has to end by itself", ' ', "0.1.0");
        TCLAP::ValueArg<std::uint64_t> seed("", "seed", "first seed", false, 1, "number", command);
        TCLAP::ValueArg<unsigned> count("", "count", "seeds in a row", false, 1, "number", command);
        TCLAP::ValueArg<unsigned> drains("", "drains", "stops for each seed", false, 20, "number", command);
        command.parse(argc, argv);
        bool right = true;
        for (unsigned n = 0; n < count.getValue(); ++n)
            right = yuccashift::drains::playDrains({ seed.getValue() + n, drains.getValue() }, std::cout) && right;
        return right ? 0 : 1;
    } catch (const std::exception& e) {
        std::cerr << "drains: " << e.what() << "\n";
        return 2;
    }
}
