#include "yuccashift/document/fault.hpp"

namespace yuccashift {

std::string format(const Faults& faults, const std::string& file)
{
    std::string text;
    for (const auto& fault : faults) {
        text += file + ":" + std::to_string(fault.line) + ": ";
        text += fault.path.empty() ? "(file)" : fault.path;
        text += ": expected " + fault.expected + "\n";
    }
    return text;
}

} // namespace yuccashift
