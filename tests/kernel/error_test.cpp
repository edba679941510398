#include "yuccashift/kernel/error.hpp"

#include <gtest/gtest.h>
#include <set>

namespace yuccashift {
namespace {

    TEST(ErrorTable, RowsFollowTheOrderOfTheEnumeration)
    {
        for (std::size_t n = 0; n < errorTable().size(); ++n)
            EXPECT_EQ(static_cast<std::size_t>(errorTable()[n].kind), n);
    }

    TEST(ErrorTable, CodesAreUniqueAndParseToTheirKind)
    {
        std::set<std::string_view> codes;
        for (const auto& row : errorTable()) {
            EXPECT_TRUE(codes.insert(row.code).second) << row.code;
            EXPECT_EQ(errorKindFromCode(row.code), row.kind);
        }
    }

    TEST(ErrorTable, RunStateIsNotRunExactlyIfTheRequestCannotHaveRun)
    {
        const std::set<ErrorKind> mayHaveRun { ErrorKind::KeyExpired, ErrorKind::KeyOwnerUnreachable, ErrorKind::InProgress, ErrorKind::DeadlineExceeded,
            ErrorKind::BackendLost, ErrorKind::AnswerIncomplete, ErrorKind::PeerLost, ErrorKind::Cancelled, ErrorKind::Internal };
        for (const auto& row : errorTable())
            EXPECT_EQ(row.runState == RunState::NotRun, !mayHaveRun.contains(row.kind)) << row.code;
    }

} // namespace
} // namespace yuccashift
