#pragma once

#include <fstream>
#include <sstream>
#include <string>
#include <unistd.h>

namespace yuccashift::speed {

/** Processor time used by a process, and its resident memory. */
struct Usage {
    double microseconds = 0;
    double residentBytes = 0;
};

inline Usage usageOf(pid_t pid)
{
    std::ifstream stat("/proc/" + std::to_string(pid) + "/stat");
    std::string text;
    std::getline(stat, text);
    // Fields are counted from the closing bracket of the process name, which may contain spaces.
    std::istringstream fields(text.substr(text.rfind(')') + 2));
    constexpr int userTimeField = 11;
    std::string skipped;
    for (int n = 0; n < userTimeField; ++n)
        fields >> skipped;
    double user = 0;
    double system = 0;
    fields >> user >> system;
    std::ifstream statm("/proc/" + std::to_string(pid) + "/statm");
    double pages = 0;
    statm >> pages >> pages;
    const auto ticks = static_cast<double>(sysconf(_SC_CLK_TCK));
    return { (user + system) / ticks * 1e6, pages * static_cast<double>(sysconf(_SC_PAGESIZE)) };
}

} // namespace yuccashift::speed
