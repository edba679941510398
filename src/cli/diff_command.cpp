#include "cli/arguments.hpp"
#include "yuccashift/document/diff.hpp"
#include "yuccashift/document/parser.hpp"
#include "yuccashift/kernel/registry.hpp"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <ostream>

namespace yuccashift::cli {

namespace {

    std::optional<Document> load(const std::string& file, Console console)
    {
        const auto text = readFile(file);
        if (!text) {
            console.err << "yuccashift: " << file << ": cannot be read\n";
            return std::nullopt;
        }
        auto document = parseDocument(*text);
        if (document)
            return std::move(*document);
        console.err << format(document.error(), file);
        return std::nullopt;
    }

    void print(const std::vector<Difference>& list, std::ostream& out)
    {
        for (const auto& one : list) {
            out << one.path << ": ";
            if (one.before.empty())
                out << "added " << one.after << "\n";
            else if (one.after.empty())
                out << "removed " << one.before << "\n";
            else
                out << one.before << " -> " << one.after << "\n";
        }
    }

    void printJson(const std::vector<Difference>& list, std::ostream& out)
    {
        boost::json::array entries;
        for (const auto& one : list)
            entries.push_back(boost::json::object { { "path", one.path }, { "before", one.before }, { "after", one.after } });
        out << boost::json::serialize(boost::json::object { { "differences", entries } }) << "\n";
    }

    class DiffCommand final : public Command {
    public:
        std::string_view summary() const override { return "compares two documents field by field"; }

        ExitCode run(std::span<const std::string> given, Console console) override
        {
            Arguments arguments("diff", "Compares two service documents field by field. Exits 1 where they differ.");
            TCLAP::UnlabeledValueArg<std::string> oldFile("old", "document before", true, "", "old", arguments.line());
            TCLAP::UnlabeledValueArg<std::string> newFile("new", "document after", true, "", "new", arguments.line());
            arguments.parse(given);
            const auto before = load(oldFile.getValue(), console);
            const auto after = load(newFile.getValue(), console);
            if (!before || !after)
                return ExitCode::Usage;
            const auto list = differences(*before, *after);
            if (arguments.json())
                printJson(list, console.out);
            else
                print(list, console.out);
            return list.empty() ? ExitCode::Ok : ExitCode::Negative;
        }
    };

    const Registrar<Command, DiffCommand> registrar("diff");

} // namespace

} // namespace yuccashift::cli
