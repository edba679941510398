#include "fuzzing/soak/soak.hpp"

#include <iostream>
#include <tclap/CmdLine.h>

int main(int argc, char** argv)
{
    try {
        TCLAP::CmdLine command("Plays real entry instances and stand-ins under random faults and checks every promise", ' ', "0.1.0");
        TCLAP::ValueArg<std::uint64_t> seed("", "seed", "first seed", false, 1, "number", command);
        TCLAP::ValueArg<unsigned> count("", "count", "seeds in a row", false, 1, "number", command);
        TCLAP::ValueArg<unsigned> time("", "seconds", "time under faults for each seed", false, 10, "seconds", command);
        command.parse(argc, argv);
        bool kept = true;
        for (unsigned n = 0; n < count.getValue(); ++n)
            kept = yuccashift::soak::playSoak({ seed.getValue() + n, std::chrono::seconds(time.getValue()) }, std::cout) && kept;
        return kept ? 0 : 1;
    } catch (const std::exception& e) {
        std::cerr << "soak: " << e.what() << "\n";
        return 2;
    }
}
