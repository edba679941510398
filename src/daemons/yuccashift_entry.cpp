#include "platform/json_item_decoder.hpp"
#include "platform/node_settings.hpp"
#include "platform/platform_codec.hpp"
#include "platform/store_client.hpp"
#include "yuccashift/entry/entry_node.hpp"
#include "yuccashift/kernel/allocator.hpp"
#include "yuccashift/kernel/log.hpp"
#include "yuccashift/observe/event_log.hpp"

#include <cstdlib>
#include <fstream>
#include <iostream>
#include <set>
#include <sstream>
#include <tclap/CmdLine.h>
#include <unistd.h>

namespace {

constexpr int exitOk = 0;
constexpr int exitBadSettings = 2;

yuccashift::Result<yuccashift::EntrySettings> readSettings(const std::string& file)
{
    std::ifstream in(file);
    if (!in)
        return yuccashift::fail(yuccashift::ErrorKind::BadSettings, file + ": cannot be read");
    std::ostringstream text;
    text << in.rdbuf();
    return yuccashift::platform::parseNodeSettings(text.str());
}

int serve(const std::string& file, const std::string& level)
{
    auto settings = readSettings(file);
    if (!settings) {
        std::cerr << settings.error().detail << "\n";
        return exitBadSettings;
    }
    yuccashift::initialiseLog(level, settings->instance);
    const yuccashift::SystemClock clock;
    yuccashift::EventLog events(clock, STDOUT_FILENO, settings->instance);
    yuccashift::setLogSink(&events);
    const yuccashift::platform::PlatformCodec codec;
    std::set<yuccashift::RegionName> regions;
    for (const auto& [datacentre, regionName] : settings->regions)
        regions.insert(regionName);
    const yuccashift::platform::JsonItemDecoder itemDecoder(std::move(regions));
    const auto region = settings->region;
    const yuccashift::EntryAdapters adapters { codec, itemDecoder, yuccashift::platform::makeStoreClient, [&] { return readSettings(file); }, [&] { events.flush(); } };
    yuccashift::EntryNode node(std::move(*settings), adapters);
    const auto listening = node.listen();
    if (!listening) {
        std::cerr << listening.error().detail << "\n";
        return exitBadSettings;
    }
    yuccashift::logInfo("started", { { "pid", ::getpid() }, { "region", region } });
    node.run();
    yuccashift::logInfo("stopped", { { "pid", ::getpid() } });
    events.flush();
    yuccashift::setLogSink(nullptr);
    return exitOk;
}

std::string defaultSettingsFile()
{
    const char* file = std::getenv(yuccashift::platform::settingsVariable);
    return file ? file : yuccashift::platform::settingsPath;
}

} // namespace

int main(int argc, char** argv)
{
    try {
        TCLAP::CmdLine command("Entry instance of yuccashift on the users' platform", ' ', "0.1.0");
        TCLAP::ValueArg<std::string> file("s", "settings", "the platform's settings file", false, defaultSettingsFile(), "file", command);
        TCLAP::ValueArg<std::string> level("l", "log", "lowest level written: debug, info, warning or error", false, "info", "level", command);
        command.parse(argc, argv);
        yuccashift::returnLargeBuffers();
        return serve(file.getValue(), level.getValue());
    } catch (const std::exception& e) {
        std::cerr << e.what() << "\n";
        return exitBadSettings;
    }
}
