#include "yuccashift/kernel/error.hpp"

#include <fstream>
#include <gtest/gtest.h>
#include <sstream>

namespace yuccashift {
namespace {

    std::string rowOf(const ErrorTraits& traits)
    {
        std::ostringstream row;
        row << "| `" << traits.code << "` | " << traits.httpStatus << " | " << toString(traits.runState) << " | " << (traits.retrySafe ? "yes" : "no") << " | ";
        if (traits.retryAfterSeconds != 0)
            row << traits.retryAfterSeconds;
        row << " | " << traits.summary << " |";
        return row.str();
    }

    TEST(ErrorsPage, HasARowForEachKindInTheirOrder)
    {
        std::ifstream page("docs/ERRORS.md");
        std::vector<std::string> written;
        for (std::string line; std::getline(page, line);) {
            if (line.starts_with("| `"))
                written.push_back(line);
        }
        std::vector<std::string> expected;
        for (const auto& traits : errorTable())
            expected.push_back(rowOf(traits));
        EXPECT_EQ(written, expected);
    }

} // namespace
} // namespace yuccashift
