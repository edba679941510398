#include "cli/arguments.hpp"
#include "cli/file_check.hpp"
#include "yuccashift/kernel/registry.hpp"

#include <algorithm>
#include <ostream>
#include <sstream>
#include <string>
#include <vector>

namespace yuccashift::cli {

namespace {

    /** A log line of the request. */
    struct Line {
        std::string time;
        std::string text;
    };

    /** The value of `key=` in a log line, including quotes; empty if the line lacks the key. */
    std::string fieldValue(const std::string& line, const std::string& key)
    {
        const auto prefix = " " + key + "=";
        const auto position = (" " + line).find(prefix);
        if (position == std::string::npos)
            return {};
        const auto begin = position + prefix.size() - 1;
        const auto end = line[begin] == '"' ? line.find('"', begin + 1) + 1 : line.find(' ', begin);
        return line.substr(begin, end == std::string::npos ? end : end - begin);
    }

    /** Merges the log lines of one request from the logs of several instances, sorted by time. */
    class RequestLogCommand final : public Command {
    public:
        std::string_view summary() const override { return "prints what the logs of instances say of one request"; }

        ExitCode run(std::span<const std::string> args, Console console) override
        {
            Arguments arguments("request-log", "Prints the log lines of one request, from the logs of all instances, in order.");
            TCLAP::UnlabeledValueArg<std::string> id("id", "the request's id", true, "", "id", arguments.line());
            TCLAP::UnlabeledMultiArg<std::string> files("file", "logs to read; - is standard input", true, "file", arguments.line());
            arguments.parse(args);
            std::vector<Line> lines;
            for (const auto& file : files.getValue()) {
                const auto text = readFile(file);
                if (!text) {
                    console.err << "yuccashift: " << file << ": cannot be read\n";
                    return ExitCode::Usage;
                }
                collectLines(*text, id.getValue(), lines);
            }
            std::ranges::stable_sort(lines, {}, &Line::time);
            for (const auto& line : lines)
                console.out << line.text << "\n";
            return lines.empty() ? ExitCode::Negative : ExitCode::Ok;
        }

    private:
        static void collectLines(const std::string& text, const std::string& id, std::vector<Line>& lines)
        {
            std::istringstream in(text);
            for (std::string line; std::getline(in, line);) {
                // Log collectors may prepend a prefix to the line.
                const auto begin = line.find("time=");
                if (begin == std::string::npos || fieldValue(line.substr(begin), "request") != id)
                    continue;
                const auto logLine = line.substr(begin);
                lines.push_back({ fieldValue(logLine, "time"), logLine });
            }
        }
    };

    const Registrar<Command, RequestLogCommand> registrar("request-log");

} // namespace

} // namespace yuccashift::cli
