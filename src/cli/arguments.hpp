#pragma once

#include "cli/command.hpp"
#include "cli/operator_client.hpp"

#include <optional>
#include <tclap/CmdLine.h>
#include <vector>

namespace yuccashift::cli {

/** Command-line parser of a command, with the flags that all commands share. */
class Arguments {
public:
    Arguments(std::string_view command, std::string_view summary);

    TCLAP::CmdLine& line() { return m_line; }
    /** Throws TCLAP::ArgException if the arguments are invalid. */
    void parse(std::span<const std::string> arguments);
    bool json() { return m_json.getValue(); }

private:
    std::string m_command;
    TCLAP::CmdLine m_line;
    TCLAP::SwitchArg m_json;
};

/** Flags of the commands that call the operator API of instances. */
class InstanceArguments {
public:
    explicit InstanceArguments(TCLAP::CmdLine&);

    /** The addresses from --instance. Throws TCLAP::ArgException if one is malformed. */
    std::vector<Endpoint> instances();
    /**
     * The bearer token from --token-file or, without that flag, from YUCCASHIFT_OPERATOR_TOKEN. Throws
     * TCLAP::ArgException if neither is set or the file cannot be read.
     */
    std::string token();

private:
    TCLAP::MultiArg<std::string> m_instances;
    TCLAP::ValueArg<std::string> m_tokenFile;
};

/** Reads a file, or standard input if the name is `-`. Returns std::nullopt if the file cannot be opened. */
std::optional<std::string> readFile(const std::string& name);

} // namespace yuccashift::cli
