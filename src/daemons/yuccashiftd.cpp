#include "yuccashift/kernel/allocator.hpp"
#include "yuccashift/kernel/log.hpp"
#include "yuccashift/kernel/settings.hpp"
#include "yuccashift/node/node.hpp"

#include <fstream>
#include <iostream>
#include <sstream>
#include <tclap/CmdLine.h>

namespace {

constexpr int exitOk = 0;
constexpr int exitBadSettings = 2;

/** Reads a file, or standard input if the name is `-`. Returns false if the file cannot be opened. */
bool readText(const std::string& name, std::string& text)
{
    std::ostringstream out;
    if (name == "-") {
        out << std::cin.rdbuf();
    } else {
        std::ifstream in(name);
        if (!in)
            return false;
        out << in.rdbuf();
    }
    text = out.str();
    return true;
}

int serve(const std::string& file)
{
    std::string text;
    if (!readText(file, text)) {
        std::cerr << file << ": cannot be read\n";
        return exitBadSettings;
    }
    auto settings = yuccashift::parseSettings(text);
    if (!settings) {
        std::cerr << yuccashift::format(settings.error(), file);
        return exitBadSettings;
    }
    yuccashift::initialiseLog(settings->logLevel, settings->instance);
    auto node = yuccashift::Node::create(std::move(*settings));
    if (!node) {
        std::cerr << node.error().detail << "\n";
        return exitBadSettings;
    }
    const auto& endpoints = (*node)->endpoints();
    std::cout << "ready callers=" << toString(endpoints.callers) << " peers=" << toString(endpoints.peers) << " operators=" << toString(endpoints.operators) << std::endl;
    (*node)->run();
    return exitOk;
}

} // namespace

int main(int argc, char** argv)
{
    try {
        TCLAP::CmdLine command("Entry instance of yuccashift, a multi-region inference gateway", ' ', "0.1.0");
        TCLAP::UnlabeledValueArg<std::string> settings("settings", "YAML file with the instance's settings, or - for standard input", true, "", "file", command);
        command.parse(argc, argv);
        yuccashift::returnLargeBuffers();
        return serve(settings.getValue());
    } catch (const std::exception& e) {
        std::cerr << e.what() << "\n";
        return exitBadSettings;
    }
}
