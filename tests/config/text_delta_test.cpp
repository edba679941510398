#include "yuccashift/config/text_delta.hpp"

#include "peer_types.h"
#include "tests/support/mesh.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace yuccashift {
namespace {

    constexpr std::string_view base = "service: desk\nrevision: 1\na\nb\nc\nb\nd\n";

    TEST(TextDelta, CopiesWhatStayedAndCarriesWhatIsNew)
    {
        constexpr std::string_view target = "service: desk\nrevision: 2\na\nb\nc\nb\ne\nd\n";
        const auto parts = makeTextDelta(base, target);
        EXPECT_EQ(applyTextDelta(base, parts), target);
        std::string carried;
        for (const auto& part : parts)
            carried += part.text;
        EXPECT_EQ(carried, "revision: 2\ne\n");
    }

    TEST(TextDelta, NeverReachesOutsideItsBase)
    {
        for (const auto& [offset, length] : std::vector<std::pair<std::int32_t, std::int32_t>> { { -1, 2 }, { 0, -1 }, { 5, 1 << 30 }, { 1 << 30, 0 }, { 30, 20 } }) {
            wire::TextPart part;
            part.offset = offset;
            part.length = length;
            EXPECT_FALSE(applyTextDelta(base, std::span(&part, 1))) << offset << " " << length;
        }
    }

    TEST(TextDelta, StopsAtTheBoundOfADocument)
    {
        const std::string text(1 << 16, 'x');
        wire::TextPart part;
        part.length = static_cast<std::int32_t>(text.size());
        EXPECT_FALSE(applyTextDelta(text, std::vector<wire::TextPart>(1000, part)));
    }

    RC_GTEST_PROP(TextDelta, RestoresAnyTextOverAnyOther, ())
    {
        const auto lines = rc::gen::container<std::vector<std::string>>(rc::gen::element<std::string>("a\n", "b\n", "c: 1\n", "\n", "tail"));
        const auto join = [](const std::vector<std::string>& parts) {
            std::string text;
            for (const auto& part : parts)
                text += part;
            return text;
        };
        const auto from = join(*lines);
        const auto to = join(*lines);
        RC_ASSERT(applyTextDelta(from, makeTextDelta(from, to)) == to);
    }

    /** One region that holds a large document. */
    struct SpreadingADelta : ::testing::Test {
        static constexpr std::size_t documentBytes = 100000;

        SpreadingADelta()
        {
            mesh.addRegion("lagos", 20);
            mesh.list();
            mesh.run(seconds(10));
            change(1);
            mesh.run(seconds(10));
            mesh.resetTraffic();
        }

        void change(Revision revision) { mesh.offer("lagos-3", testing::documentText("desk", revision, documentBytes)); }

        std::size_t sentBytes()
        {
            std::size_t sum = 0;
            for (const auto& [instance, node] : mesh.nodes())
                sum += node.traffic.sentBytes;
            return sum;
        }

        testing::Mesh mesh { 5 };
    };

    TEST_F(SpreadingADelta, CostsAFractionOfTheText)
    {
        change(2);
        EXPECT_LE(mesh.runUntil([&] { return mesh.allHold("desk", 2); }, seconds(10)), seconds(3));
        EXPECT_LT(sentBytes(), documentBytes / 2);
    }

    TEST_F(SpreadingADelta, ReachesAnInstanceThatMissedTheTextBefore)
    {
        mesh.setCut([](const auto& from, const auto& to) { return from.info.instance == "lagos-7" || to.info.instance == "lagos-7"; });
        change(2);
        mesh.run(seconds(3));
        mesh.setCut({});
        change(3);
        EXPECT_LE(mesh.runUntil([&] { return mesh.allHold("desk", 3); }, seconds(10)), seconds(3));
    }

} // namespace
} // namespace yuccashift
