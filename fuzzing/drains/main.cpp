#include "fuzzing/drains/drains.hpp"
#include "fuzzing/support/seed_runs.hpp"

#include <iostream>

int main(int argc, char** argv)
{
    return yuccashift::runSeeds(argc, argv, { "drains", "Stops real instances under load at drawn moments; each has to end by itself", "drains", "stops for each seed", "number", 20, [](std::uint64_t seed, unsigned drains) { return yuccashift::drains::runDrains({ seed, drains }, std::cout); } });
}
