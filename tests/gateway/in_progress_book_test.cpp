#include "yuccashift/gateway/in_progress_book.hpp"

#include <gtest/gtest.h>

namespace yuccashift {
namespace {

    using Fingerprints = std::vector<std::uint64_t>;

    const BackendKey server { "desk", "desk-1" };

    TEST(RequestsInProgress, AreListedWhileTheyLive)
    {
        InProgressBook book;
        const InProgressBook::Entry first(book, server, 7);
        {
            const InProgressBook::Entry same(book, server, 7);
            EXPECT_EQ(book.on(server), (Fingerprints { 7, 7 }));
        }
        EXPECT_EQ(book.on(server), Fingerprints { 7 });
        EXPECT_TRUE(book.on({ "desk", "desk-2" }).empty());
    }

    TEST(RequestsInProgress, CountOnceForTheDeathOfTheirServerHoweverLateEachNoticesIt)
    {
        InProgressBook book;
        const InProgressBook::Entry early(book, server, 7);
        const InProgressBook::Entry late(book, server, 8);
        EXPECT_EQ(book.takeForDeath(server), (Fingerprints { 7, 8 }));
        EXPECT_TRUE(book.takeForDeath(server).empty());
        const InProgressBook::Entry again(book, server, 7);
        EXPECT_EQ(book.takeForDeath(server), Fingerprints { 7 });
    }

} // namespace
} // namespace yuccashift
