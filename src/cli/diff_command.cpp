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

    std::optional<Document> loadDocument(const std::string& file, Console console)
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

    void printText(const std::vector<Difference>& changes, std::ostream& out)
    {
        for (const auto& difference : changes) {
            out << difference.path << ": ";
            if (difference.before.empty())
                out << "added " << difference.after << "\n";
            else if (difference.after.empty())
                out << "removed " << difference.before << "\n";
            else
                out << difference.before << " -> " << difference.after << "\n";
        }
    }

    void printJson(const std::vector<Difference>& changes, std::ostream& out)
    {
        boost::json::array entries;
        for (const auto& difference : changes)
            entries.push_back(boost::json::object { { "path", difference.path }, { "before", difference.before }, { "after", difference.after } });
        out << boost::json::serialize(boost::json::object { { "differences", entries } }) << "\n";
    }

    class DiffCommand final : public Command {
    public:
        std::string_view summary() const override { return "compares two documents field by field"; }

        ExitCode run(std::span<const std::string> args, Console console) override
        {
            Arguments arguments("diff", "Compares two service documents field by field. Exits 1 where they differ.");
            TCLAP::UnlabeledValueArg<std::string> oldFile("old", "document before", true, "", "old", arguments.line());
            TCLAP::UnlabeledValueArg<std::string> newFile("new", "document after", true, "", "new", arguments.line());
            arguments.parse(args);
            const auto before = loadDocument(oldFile.getValue(), console);
            const auto after = loadDocument(newFile.getValue(), console);
            if (!before || !after)
                return ExitCode::Usage;
            const auto changes = differences(*before, *after);
            if (arguments.json())
                printJson(changes, console.out);
            else
                printText(changes, console.out);
            return changes.empty() ? ExitCode::Ok : ExitCode::Negative;
        }
    };

    const Registrar<Command, DiffCommand> registrar("diff");

} // namespace

} // namespace yuccashift::cli
