#include "fuzzing/soak/streams.hpp"
#include "fuzzing/support/seed_runs.hpp"

#include <iostream>

int main(int argc, char** argv)
{
    return yuccashift::runSeeds(argc, argv, { "stream_soak", "Resumes streams during releases, changes of their route and kills, and checks that none is joined from two software versions", "seconds", "time during which streams are read", "seconds", 15, [](std::uint64_t seed, unsigned seconds) { return yuccashift::soak::runStreams({ seed, seconds }, std::cout); } });
}
