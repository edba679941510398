#include "platform/node_settings.hpp"

#include <gtest/gtest.h>

namespace yuccashift::platform {
namespace {

    std::string settingsWith(const std::string& limits)
    {
        return R"(node: n
ip: "127.0.0.1"
zone: z
region: r
zones: {z: r}
listen: {front: "127.0.0.1:1", ready: "127.0.0.1:2", directory: "127.0.0.1:3"}
internalPorts: [4, 5]
platform: {address: "127.0.0.1:6"}
limits: {)"
            + limits + "}\n";
    }

    TEST(TheSettingsOfANode, NameTheMemoryOfTheProcess)
    {
        EXPECT_EQ(parseNodeSettings(settingsWith("memoryMb: 120")).value().memoryBytes, std::size_t { 120 } << 20);
        EXPECT_EQ(parseNodeSettings(settingsWith("")).value().memoryBytes, EntrySettings().memoryBytes);
    }

    TEST(TheSettingsOfANode, AreRefusedWithoutMemory)
    {
        for (const auto* limits : { "memoryMb: 0", "memoryMb: -5", "memoryMb: much" }) {
            const auto settings = parseNodeSettings(settingsWith(limits));
            ASSERT_FALSE(settings) << limits;
            EXPECT_EQ(settings.error().kind, ErrorKind::BadSettings);
        }
    }

} // namespace
} // namespace yuccashift::platform
