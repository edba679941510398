#include "yuccashift/ports/json_bodies.hpp"

#include <gtest/gtest.h>

namespace yuccashift {
namespace {

    std::string nested(std::size_t depth)
    {
        return std::string(depth, '[') + std::string(depth, ']');
    }

    const std::vector<std::string> oddEntries {
        "null",
        "7",
        "{}",
        "[]",
        R"("text, ] and } and \" in a text")",
        nested(40),
        nested(100000),
        R"({"instance":"x","region":"r","datacentre":"d","callers":"10.0.0.9:65536","peers":"10.0.0.9:1"})",
        R"({"instance":"x","region":"r","datacentre":"d","callers":"10.0.0.9:-1","peers":"10.0.0.9:1"})",
        R"({"instance":"x","region":"r","datacentre":"d","callers":"10.0.0.9:1","peers":"10.0.0.9:99999999999999999999"})",
        R"({"instance":7,"service":7,"name":7,"kind":7})",
        R"({"service":"x","revision":1e999999999999})",
        R"({"service":"x","revision":-1})",
        R"({"service":"x","revision":18446744073709551616})",
        R"({"kind":"stored","block":"123456789abcdef01"})",
        R"({"kind":"stored","block":"1","sequence":1e400})",
        R"({"kind":"stored","block":"1","sequence":1.5})",
        R"({"service":"x","name":)" + nested(50) + "}",
    };

    /** The entries of a list before, between and after which the odd one stands. */
    std::vector<std::string> listsWith(const std::string& odd, const std::string& first, const std::string& second)
    {
        return { "[" + odd + "," + first + ", " + second + "]", "[" + first + "," + odd + " ," + second + "]", "[" + first + "," + second + "," + odd + "]" };
    }

    // One entry of another writer hid the whole list from the instances that read it.
    TEST(AListOfThePlatform, IsReadWithoutItsUnusableEntries)
    {
        const std::string instances[] = {
            R"({"instance":"a","region":"r","datacentre":"d","callers":"10.0.0.1:80","peers":"10.0.0.1:81"})",
            R"({"instance":"b, \" ] }","region":"r","datacentre":"d","callers":"10.0.0.2:80","peers":"10.0.0.2:81"})",
        };
        const std::string backends[] = { R"({"service":"s","name":"one"})", R"({"service":"s","name":"two"})" };
        const std::string documents[] = { R"({"service":"a","revision":1})", R"({"service":"b","revision":2})" };
        const std::string events[] = { R"({"kind":"stored","block":"1f","sequence":1})", R"({"kind":"removed","block":"2f","sequence":2})" };
        for (const auto& odd : oddEntries) {
            const auto shown = odd.substr(0, 100);
            for (const auto& list : listsWith(odd, instances[0], instances[1])) {
                const auto listing = detail::parseListing(R"({"instances":)" + list + R"(,"backends":[]})");
                ASSERT_TRUE(listing) << shown;
                ASSERT_EQ(listing->instances.size(), 2u) << shown;
                EXPECT_EQ(listing->instances[1].instance, "b, \" ] }") << shown;
            }
            for (const auto& list : listsWith(odd, backends[0], backends[1])) {
                const auto listing = detail::parseListing(R"({"instances":[],"backends":)" + list + "}");
                ASSERT_TRUE(listing) << shown;
                EXPECT_EQ(listing->backends.size(), 2u) << shown;
            }
            for (const auto& list : listsWith(odd, documents[0], documents[1])) {
                const auto listing = detail::parseConfigListing(R"({"index":4,"documents":)" + list + "}");
                ASSERT_TRUE(listing) << shown;
                EXPECT_EQ(listing->documents.front().revision + listing->documents.back().revision + listing->index, 7u) << shown;
            }
            for (const auto& list : listsWith(odd, events[0], events[1])) {
                const auto kept = detail::parseCacheEvents(R"({"events":)" + list + "}");
                ASSERT_TRUE(kept) << shown;
                EXPECT_EQ(kept->size(), 2u) << shown;
            }
        }
    }

    TEST(AListOfThePlatform, IsInvalidIfItIsNoList)
    {
        for (const auto& body : std::vector<std::string> { "", "[", "{}", R"({"instances":7})", R"({"instances":[)", R"({"instances":["}]})", "]]]]", nested(100000) })
            EXPECT_FALSE(detail::parseListing(body)) << body.substr(0, 100);
    }

} // namespace
} // namespace yuccashift
