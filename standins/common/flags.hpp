#pragma once

#include <cstdint>
#include <string>
#include <tclap/CmdLine.h>

namespace standins {

/** Command line of a stand-in, with the flags that all share. */
class Flags {
public:
    explicit Flags(const std::string& description);

    TCLAP::CmdLine& commandLine() { return m_commandLine; }
    /** Exits with a message where the arguments are wrong. */
    void parse(int argc, char** argv);
    std::string address() { return m_address.getValue(); }
    /** 0 asks for an ephemeral port. */
    std::uint16_t port() { return m_port.getValue(); }

private:
    TCLAP::CmdLine m_commandLine;
    TCLAP::ValueArg<std::string> m_address;
    TCLAP::ValueArg<std::uint16_t> m_port;
};

} // namespace standins
