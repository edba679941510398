#pragma once

#include <string>
#include <vector>

namespace yuccashift {

/** One thing wrong in a YAML file. */
struct Fault {
    /** From 1; 0 where the file as a whole is meant. */
    int line = 0;
    /** Place of the field, such as `backends[2].address`. */
    std::string path;
    /** What was expected there. */
    std::string expected;
};

using Faults = std::vector<Fault>;

/** `file:line: path: expected ...`, one line for each fault. */
std::string format(const Faults&, const std::string& file);

} // namespace yuccashift
