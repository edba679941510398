#include "yuccashift/answers/stream_software.hpp"

#include <gtest/gtest.h>

namespace yuccashift {
namespace {

    const auto first = softwareIdOf("draft", "v1");
    const auto second = softwareIdOf("draft", "v2");

    TEST(TheSoftwareOfAServer, IsIdentifiedByItsServiceAndVersion)
    {
        EXPECT_EQ(first, softwareIdOf("draft", "v1"));
        EXPECT_NE(first, second);
        EXPECT_NE(first, softwareIdOf("chat", "v1"));
        EXPECT_NE(softwareIdOf("draft", ""), 0u);
    }

    TEST(AStreamWithoutEvents, MayBeBegunByAnySoftware)
    {
        const StreamSoftware stream;
        EXPECT_FALSE(stream.begun());
        EXPECT_TRUE(stream.allows(first));
        EXPECT_TRUE(stream.allows(second));
        EXPECT_TRUE(stream.allows(0));
    }

    TEST(AStreamThatHasBegun, IsContinuedOnlyByTheSoftwareOfItsFirstEvent)
    {
        StreamSoftware stream;
        stream.onEvents(first);
        stream.onEvents(second);
        EXPECT_TRUE(stream.allows(first));
        EXPECT_FALSE(stream.allows(second));
    }

    TEST(AStreamThatHasBegun, IsContinuedByNoneIfItsSoftwareIsUnknown)
    {
        const auto stream = StreamSoftware::begunBy(0);
        EXPECT_FALSE(stream.allows(first));
        EXPECT_FALSE(stream.allows(0));
    }

} // namespace
} // namespace yuccashift
