#pragma once

#include "cli/command.hpp"
#include "cli/operator_client.hpp"

#include <optional>
#include <tclap/CmdLine.h>
#include <vector>

namespace yuccashift::cli {

/** Command line of one command, with the flags that all share. */
class Arguments {
public:
    Arguments(std::string_view command, std::string_view summary);

    TCLAP::CmdLine& line() { return m_line; }
    /** Throws TCLAP::ArgException where the arguments are wrong. */
    void parse(std::span<const std::string> arguments);
    bool json() { return m_json.getValue(); }

private:
    std::string m_command;
    TCLAP::CmdLine m_line;
    TCLAP::SwitchArg m_json;
};

/** Flags of commands that ask instances. */
class InstanceArguments {
public:
    explicit InstanceArguments(TCLAP::CmdLine&);

    /** Throws TCLAP::ArgException where an address is none. */
    std::vector<Endpoint> instances();
    /** The credential from --token-file or YUCCASHIFT_OPERATOR_TOKEN; throws TCLAP::ArgException where both are absent. */
    std::string token();

private:
    TCLAP::MultiArg<std::string> m_instances;
    TCLAP::ValueArg<std::string> m_tokenFile;
};

/** The text of a file, `-` being standard input; nothing where it cannot be read. */
std::optional<std::string> readFile(const std::string& name);

} // namespace yuccashift::cli
