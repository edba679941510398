#pragma once

#include <iosfwd>
#include <span>
#include <string>
#include <string_view>

namespace yuccashift::cli {

/** Exit status of the program. */
enum class ExitCode {
    Ok = 0,
    /** The command ran with a negative result: faults, differences, an instance that is not ready, or nothing found. */
    Negative = 1,
    /** The command line is invalid or a file cannot be read. */
    Usage = 2,
    /** An instance could not be reached or rejected the credential. */
    Unreachable = 3,
};

/** Output streams of a command. */
struct Console {
    std::ostream& out;
    std::ostream& err;
};

/** A subcommand of the operator's client. A Registrar registers each implementation by name. */
class Command {
public:
    virtual ~Command();
    /** One-line description for the list of commands in the help text. */
    virtual std::string_view summary() const = 0;
    /** Runs with the arguments that follow the command's name. Throws TCLAP::ArgException if they are invalid. */
    virtual ExitCode run(std::span<const std::string> arguments, Console) = 0;
};

/** Runs the command that the first argument names; returns ExitCode::Usage if there is none. */
ExitCode runCommand(std::span<const std::string> arguments, Console);

} // namespace yuccashift::cli
