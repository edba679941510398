#include "demo/step_log.hpp"

#include <ostream>

namespace yuccashift::demo {

StepLog::StepLog(std::ostream& out)
    : m_out(out)
{
}

void StepLog::check(bool right, const std::string& what)
{
    m_out << (right ? "  ok: " : "  WRONG: ") << what << "\n"
          << std::flush;
    m_right = m_right && right;
}

} // namespace yuccashift::demo
