#include "fuzzing/soak/removals.hpp"
#include "fuzzing/support/seed_runs.hpp"

#include <iostream>

int main(int argc, char** argv)
{
    return yuccashift::runSeeds(argc, argv, { "removal_soak", "Replaces servers while the store ends and refuses waiting calls, and checks that none is used for too long", "slack-ms", "time beyond the bound that is allowed, 0 to time nothing", "milliseconds", 500, [](std::uint64_t seed, unsigned slack) { return yuccashift::soak::runRemovals({ seed, std::chrono::milliseconds(slack) }, std::cout); } });
}
