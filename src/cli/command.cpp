#include "cli/command.hpp"

#include "yuccashift/kernel/registry.hpp"

#include <iomanip>
#include <ostream>
#include <tclap/ArgException.h>

namespace yuccashift::cli {

namespace {

    constexpr std::string_view version = "0.1.0";
    constexpr int nameWidth = 10;

    Registry<Command>& registry()
    {
        return Registry<Command>::instance();
    }

    void printHelp(std::ostream& out)
    {
        out << "Operator's client of yuccashift, a multi-region inference gateway.\n\n"
            << "Usage: yuccashift COMMAND [ARGUMENTS]\n\nCommands:\n";
        for (const auto& name : registry().names())
            out << "  " << std::left << std::setw(nameWidth) << name << registry().create(name)->summary() << "\n";
        out << "\n'yuccashift COMMAND --help' describes one command.\n"
            << "Exit codes: 0 ok, 1 negative result, 2 usage, 3 unreachable.\n";
    }

    ExitCode runCatchingArgumentErrors(Command& command, std::span<const std::string> arguments, Console console)
    {
        try {
            return command.run(arguments, console);
        } catch (const TCLAP::ExitException& exit) {
            return exit.getExitStatus() == 0 ? ExitCode::Ok : ExitCode::Usage;
        } catch (const TCLAP::ArgException& error) {
            console.err << "yuccashift: " << error.error() << " " << error.argId() << "\n";
            return ExitCode::Usage;
        }
    }

} // namespace

Command::~Command() = default;

ExitCode runCommand(std::span<const std::string> arguments, Console console)
{
    if (arguments.empty()) {
        printHelp(console.err);
        return ExitCode::Usage;
    }
    const auto& name = arguments.front();
    if (name == "help" || name == "--help" || name == "-h") {
        printHelp(console.out);
        return ExitCode::Ok;
    }
    if (name == "--version") {
        console.out << "yuccashift " << version << "\n";
        return ExitCode::Ok;
    }
    const auto command = registry().create(name);
    if (command == nullptr) {
        console.err << "yuccashift: no command '" << name << "'; see 'yuccashift help'\n";
        return ExitCode::Usage;
    }
    return runCatchingArgumentErrors(*command, arguments.subspan(1), console);
}

} // namespace yuccashift::cli
