#include "benchmarks/capacity/measure.hpp"
#include "benchmarks/capacity/page.hpp"

#include <fstream>
#include <iostream>
#include <sstream>
#include <tclap/CmdLine.h>

namespace {

using namespace yuccashift::capacity;

std::string readFile(const std::string& path)
{
    std::ifstream file(path);
    if (!file)
        throw std::runtime_error("cannot read " + path);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

void writeFile(const std::string& path, const std::string& text)
{
    std::ofstream file(path);
    if (!(file << text))
        throw std::runtime_error("cannot write " + path);
}

// Slopes in the file that this program does not measure, such as those of the daemon, are kept.
void measure(const std::string& path)
{
    Slopes slopes = slopesFromJson(readFile(path));
    addWireSlopes(slopes);
    addDocumentSlopes(slopes);
    addStateSlopes(slopes);
    addPlatformSlopes(slopes);
    addDecisionSlopes(slopes);
    addObserveSlopes(slopes);
    writeFile(path, slopesToJson(slopes));
}

void writePage(const std::string& folder, const std::string& page)
{
    const auto model = parseModel(readFile(folder + "/size.yaml"), readFile(folder + "/rows.yaml"));
    writeFile(page, renderPage(model, slopesFromJson(readFile(folder + "/slopes.json"))));
}

int run(int argc, char** argv)
{
    TCLAP::CmdLine line("Measures the slopes of the capacity model and writes its page.", ' ', "1");
    TCLAP::UnlabeledValueArg<std::string> action("action", "measure or page", true, "", "action", line);
    TCLAP::UnlabeledValueArg<std::string> folder("folder", "folder of size.yaml, rows.yaml and slopes.json", true, "", "folder", line);
    TCLAP::UnlabeledValueArg<std::string> page("page", "file to write the page to", false, "docs/CAPACITY-MODEL.md", "page", line);
    line.parse(argc, argv);
    if (action.getValue() == "measure")
        measure(folder.getValue() + "/slopes.json");
    else if (action.getValue() == "page")
        writePage(folder.getValue(), page.getValue());
    else
        throw std::runtime_error("unknown action: expected measure or page");
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    try {
        return run(argc, argv);
    } catch (const std::exception& fault) {
        std::cerr << "capacity: " << fault.what() << "\n";
        return 1;
    }
}
