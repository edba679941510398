#include "yuccashift/routing/explanation.hpp"

namespace yuccashift {

std::vector<std::string> explain(const Decision& decision)
{
    std::vector<std::string> lines;
    lines.reserve(decision.candidates.size());
    for (const auto& candidate : decision.candidates) {
        std::string line = candidate.name + ": " + std::string(toString(candidate.reason));
        if (candidate.expectedLatency)
            line += ", expected " + std::to_string(toMilliseconds(*candidate.expectedLatency)) + " ms";
        lines.push_back(std::move(line));
    }
    return lines;
}

} // namespace yuccashift
