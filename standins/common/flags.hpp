#pragma once

#include <cstdint>
#include <string>
#include <tclap/CmdLine.h>

namespace standins {

/** Command-line parser of a stand-in, with the flags common to all of them. */
class Flags {
public:
    explicit Flags(const std::string& description);

    TCLAP::CmdLine& commandLine() { return m_commandLine; }
    /** Exits with a message if the arguments are invalid. */
    void parse(int argc, char** argv);
    std::string address() { return m_address.getValue(); }
    /** Port to listen on; 0 selects an ephemeral port. */
    std::uint16_t port() { return m_port.getValue(); }

private:
    TCLAP::CmdLine m_commandLine;
    TCLAP::ValueArg<std::string> m_address;
    TCLAP::ValueArg<std::uint16_t> m_port;
};

} // namespace standins
