#include "yuccashift/config/text_delta.hpp"

#include "peer_types.h"
#include "tests/support/mesh.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace yuccashift {
namespace {

    constexpr std::string_view base = "service: desk\nrevision: 1\na\nb\nc\nb\nd\n";

    TEST(TextDelta, CopiesUnchangedLinesAndContainsNewOnes)
    {
        constexpr std::string_view target = "service: desk\nrevision: 2\na\nb\nc\nb\ne\nd\n";
        const auto parts = makeTextDelta(base, target);
        EXPECT_EQ(applyTextDelta(base, parts), target);
        std::string insertedText;
        for (const auto& part : parts)
            insertedText += part.text;
        EXPECT_EQ(insertedText, "revision: 2\ne\n");
    }

    TEST(TextDelta, RejectsPartsOutsideItsBase)
    {
        for (const auto& [offset, length] : std::vector<std::pair<std::int32_t, std::int32_t>> { { -1, 2 }, { 0, -1 }, { 5, 1 << 30 }, { 1 << 30, 0 }, { 30, 20 } }) {
            wire::TextPart part;
            part.offset = offset;
            part.length = length;
            EXPECT_FALSE(applyTextDelta(base, std::span(&part, 1))) << offset << " " << length;
        }
    }

    TEST(TextDelta, RejectsAResultOverTheDocumentSizeLimit)
    {
        const std::string text(1 << 16, 'x');
        wire::TextPart part;
        part.length = static_cast<std::int32_t>(text.size());
        EXPECT_FALSE(applyTextDelta(text, std::vector<wire::TextPart>(1000, part)));
    }

    RC_GTEST_PROP(TextDelta, RestoresAnyTextFromAnyBase, ())
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

    /** A region whose instances all hold a large document. */
    struct DeltaDistribution : ::testing::Test {
        static constexpr std::size_t documentBytes = 100000;

        DeltaDistribution()
        {
            mesh.addRegion("lagos", 20);
            mesh.list();
            mesh.run(seconds(10));
            publish(1);
            mesh.run(seconds(10));
            mesh.resetTraffic();
        }

        void publish(Revision revision) { mesh.offer("lagos-3", testing::documentText("desk", revision, documentBytes)); }

        std::size_t sentBytes()
        {
            std::size_t sum = 0;
            for (const auto& [instance, node] : mesh.nodes())
                sum += node.traffic.sentBytes;
            return sum;
        }

        testing::Mesh mesh { 5 };
    };

    TEST_F(DeltaDistribution, SendsAFractionOfTheText)
    {
        publish(2);
        EXPECT_LE(mesh.runUntil([&] { return mesh.allHold("desk", 2); }, seconds(10)), seconds(3));
        EXPECT_LT(sentBytes(), documentBytes / 2);
    }

    TEST_F(DeltaDistribution, ReachesAnInstanceThatMissedThePreviousRevision)
    {
        mesh.setCut([](const auto& from, const auto& to) { return from.info.instance == "lagos-7" || to.info.instance == "lagos-7"; });
        publish(2);
        mesh.run(seconds(3));
        mesh.setCut({});
        publish(3);
        EXPECT_LE(mesh.runUntil([&] { return mesh.allHold("desk", 3); }, seconds(10)), seconds(3));
    }

} // namespace
} // namespace yuccashift
