#include "cli/arguments.hpp"
#include "cli/file_check.hpp"
#include "yuccashift/kernel/registry.hpp"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <ostream>

namespace yuccashift::cli {

namespace {

    boost::json::object toJson(const Fault& fault, const std::string& file)
    {
        return { { "file", file }, { "line", fault.line }, { "path", fault.path }, { "expected", fault.expected } };
    }

    class ValidateCommand final : public Command {
    public:
        std::string_view summary() const override { return "checks documents and settings files"; }

        ExitCode run(std::span<const std::string> args, Console console) override
        {
            Arguments arguments("validate", "Checks service documents and settings files and reports every fault at once.");
            TCLAP::UnlabeledMultiArg<std::string> files("file", "files to check; - is standard input", true, "file", arguments.line());
            arguments.parse(args);
            auto result = ExitCode::Ok;
            boost::json::array faults;
            for (const auto& file : files.getValue())
                result = std::max(result, check(file, arguments.json() ? &faults : nullptr, console));
            if (arguments.json())
                console.out << boost::json::serialize(boost::json::object { { "valid", result == ExitCode::Ok }, { "faults", faults } }) << "\n";
            return result;
        }

    private:
        static ExitCode check(const std::string& file, boost::json::array* jsonFaults, Console console)
        {
            const auto text = readFile(file);
            if (!text) {
                console.err << "yuccashift: " << file << ": cannot be read\n";
                return ExitCode::Usage;
            }
            const auto kind = detectFileKind(*text);
            const auto faults = checkFile(kind, *text);
            if (jsonFaults == nullptr)
                console.out << (faults.empty() ? file + ": valid " + std::string(toString(kind)) + "\n" : format(faults, file));
            for (const auto& fault : faults) {
                if (jsonFaults != nullptr)
                    jsonFaults->push_back(toJson(fault, file));
            }
            return faults.empty() ? ExitCode::Ok : ExitCode::Negative;
        }
    };

    const Registrar<Command, ValidateCommand> registrar("validate");

} // namespace

} // namespace yuccashift::cli
