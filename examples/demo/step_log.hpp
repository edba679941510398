#pragma once

#include <iosfwd>
#include <string>

namespace yuccashift::demo {

/** Prints whether each step of a demo was right, and remembers whether all were. */
class StepLog {
public:
    explicit StepLog(std::ostream&);

    void check(bool right, const std::string& what);
    bool allRight() const { return m_right; }

private:
    std::ostream& m_out;
    bool m_right = true;
};

} // namespace yuccashift::demo
