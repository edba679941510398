#pragma once

#include <string>
#include <vector>

namespace yuccashift {

/** A validation error in a YAML file. */
struct Fault {
    /** Line number, starting at 1; 0 if the error concerns the whole file. */
    int line = 0;
    /** Path of the field, such as `backends[2].address`. */
    std::string path;
    /** Description of the expected value. */
    std::string expected;
};

using Faults = std::vector<Fault>;

/** Formats each fault on its own line as `file:line: path: expected ...`. */
std::string format(const Faults&, const std::string& file);

} // namespace yuccashift
