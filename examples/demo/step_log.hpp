#pragma once

#include <iosfwd>
#include <string>

namespace yuccashift::demo {

/** Prints the result of each check of a demo and records whether all passed. */
class StepLog {
public:
    explicit StepLog(std::ostream&);

    void check(bool passed, const std::string& what);
    bool allPassed() const { return m_allPassed; }

private:
    std::ostream& m_out;
    bool m_allPassed = true;
};

} // namespace yuccashift::demo
