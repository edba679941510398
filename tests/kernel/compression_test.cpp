#include "yuccashift/kernel/compression.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace yuccashift {
namespace {

    RC_GTEST_PROP(CompressedBytes, ExpandToTheOriginal, (const std::string& bytes, std::uint8_t repeats))
    {
        std::string text;
        for (unsigned n = 0; n <= repeats; ++n)
            text += bytes;
        const auto restored = decompress(compress(text), text.size());
        RC_ASSERT(restored.has_value());
        RC_ASSERT(*restored == text);
    }

    struct CompressedText : testing::Test {
        std::string text = std::string(5000, 'a') + std::string(5000, 'b') + "the end";
        std::string compressed = compress(text);
    };

    TEST_F(CompressedText, IsSmallerThanRepetitiveText)
    {
        EXPECT_LT(compressed.size() * 20, text.size());
    }

    // The last byte may hold only the mark of the end.
    TEST_F(CompressedText, NeverExpandsToOtherTextIfItIsTruncated)
    {
        for (std::size_t n = 0; n < compressed.size(); ++n) {
            const auto restored = decompress(std::string_view(compressed).substr(0, n), text.size());
            EXPECT_TRUE(!restored || (n + 1 == compressed.size() && *restored == text)) << n;
        }
    }

    TEST_F(CompressedText, IsRejectedIfItExpandsToAnotherSize)
    {
        EXPECT_FALSE(decompress(compressed, text.size() - 1));
        EXPECT_FALSE(decompress(compressed, text.size() + 1));
        EXPECT_FALSE(decompress(compressed, 0));
    }

} // namespace
} // namespace yuccashift
