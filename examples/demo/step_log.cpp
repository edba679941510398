#include "demo/step_log.hpp"

#include <ostream>

namespace yuccashift::demo {

StepLog::StepLog(std::ostream& out)
    : m_out(out)
{
}

void StepLog::check(bool passed, const std::string& what)
{
    m_out << (passed ? "  ok: " : "  WRONG: ") << what << "\n"
          << std::flush;
    m_allPassed = m_allPassed && passed;
}

} // namespace yuccashift::demo
