#include "standins/common/flags.hpp"

namespace standins {

Flags::Flags(const std::string& description)
    : m_commandLine(description, ' ', "0.1.0")
    , m_address("", "address", "IP address to listen on", false, "127.0.0.1", "ip", m_commandLine)
    , m_port("", "port", "port to listen on; 0 takes a free one", false, 0, "port", m_commandLine)
{
}

void Flags::parse(int argc, char** argv)
{
    m_commandLine.parse(argc, argv);
}

} // namespace standins
