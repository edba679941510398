#include "fuzzing/soak/soak.hpp"
#include "fuzzing/support/seed_runs.hpp"

#include <iostream>

int main(int argc, char** argv)
{
    return yuccashift::runSeeds(argc, argv, { "soak", "Plays real entry instances and stand-ins under random faults and checks every promise", "seconds", "time under faults for each seed", "seconds", 10, [](std::uint64_t seed, unsigned time) { return yuccashift::soak::runSoak({ seed, std::chrono::seconds(time) }, std::cout); } });
}
