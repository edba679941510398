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

    /** One log line that concerns the request. */
    struct Line {
        std::string time;
        std::string text;
    };

    /** Value of `key=` in a line, quotes included; empty where there is none. */
    std::string fieldOf(const std::string& line, const std::string& key)
    {
        const auto mark = " " + key + "=";
        const auto at = (" " + line).find(mark);
        if (at == std::string::npos)
            return {};
        const auto begin = at + mark.size() - 1;
        const auto end = line[begin] == '"' ? line.find('"', begin + 1) + 1 : line.find(' ', begin);
        return line.substr(begin, end == std::string::npos ? end : end - begin);
    }

    /** The lines of one request in the logs of many instances, in the order of their times. */
    class RequestLogCommand final : public Command {
    public:
        std::string_view summary() const override { return "prints what the logs of instances say of one request"; }

        ExitCode run(std::span<const std::string> given, Console console) override
        {
            Arguments arguments("request-log", "Prints the log lines of one request, from the logs of all instances, in order.");
            TCLAP::UnlabeledValueArg<std::string> id("id", "the request's id", true, "", "id", arguments.line());
            TCLAP::UnlabeledMultiArg<std::string> files("file", "logs to read; - is standard input", true, "file", arguments.line());
            arguments.parse(given);
            std::vector<Line> lines;
            for (const auto& file : files.getValue()) {
                const auto text = readFile(file);
                if (!text) {
                    console.err << "yuccashift: " << file << ": cannot be read\n";
                    return ExitCode::Usage;
                }
                collect(*text, id.getValue(), lines);
            }
            std::ranges::stable_sort(lines, {}, &Line::time);
            for (const auto& line : lines)
                console.out << line.text << "\n";
            return lines.empty() ? ExitCode::Negative : ExitCode::Ok;
        }

    private:
        static void collect(const std::string& text, const std::string& id, std::vector<Line>& lines)
        {
            std::istringstream in(text);
            for (std::string line; std::getline(in, line);) {
                // Collectors may put a prefix of their own before the line.
                const auto begin = line.find("time=");
                if (begin == std::string::npos || fieldOf(line.substr(begin), "request") != id)
                    continue;
                const auto own = line.substr(begin);
                lines.push_back({ fieldOf(own, "time"), own });
            }
        }
    };

    const Registrar<Command, RequestLogCommand> registrar("request-log");

} // namespace

} // namespace yuccashift::cli
