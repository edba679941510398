#pragma once

#include <iosfwd>
#include <span>
#include <string>
#include <string_view>

namespace yuccashift::cli {

/** What the program's exit tells scripts. */
enum class ExitCode {
    Ok = 0,
    /** The question was answered, with no: faults, differences, not ready, nothing found. */
    Negative = 1,
    /** The command line or a file could not be used. */
    Usage = 2,
    /** An instance could not be reached, or refused the credential. */
    Unreachable = 3,
};

/** Where a command writes. */
struct Console {
    std::ostream& out;
    std::ostream& err;
};

/** One command of the operator's client; implementations register themselves by name. */
class Command {
public:
    virtual ~Command();
    /** One line for the list of commands. */
    virtual std::string_view summary() const = 0;
    /** Runs with the arguments after the command's name. Throws TCLAP::ArgException where they are wrong. */
    virtual ExitCode run(std::span<const std::string> arguments, Console) = 0;
};

/** Finds the command that the arguments name and runs it. */
ExitCode runCommand(std::span<const std::string> arguments, Console);

} // namespace yuccashift::cli
