#include "yuccashift/config/document_store.hpp"

#include "tests/support/mesh.hpp"

#include <algorithm>
#include <gtest/gtest.h>
#include <set>
#include <thread>

namespace yuccashift {
namespace {

    using testing::documentText;
    using testing::tombstoneText;

    class DocumentsInForce : public ::testing::Test {
    protected:
        AcceptanceKind acceptText(const std::string& text) { return m_store.accept(text)->kind; }

        DocumentStore m_store;
    };

    TEST_F(DocumentsInForce, AreReplacedByNewerRevisionsOnly)
    {
        EXPECT_EQ(acceptText(documentText("desk", 5)), AcceptanceKind::Accepted);
        EXPECT_EQ(acceptText(documentText("desk", 5)), AcceptanceKind::SameRevision);
        EXPECT_EQ(acceptText(documentText("desk", 4)), AcceptanceKind::Older);
        EXPECT_EQ(acceptText(documentText("desk", 9)), AcceptanceKind::Accepted);
        EXPECT_EQ(m_store.find("desk")->revision, 9u);
        EXPECT_EQ(*m_store.text("desk"), documentText("desk", 9));
    }

    TEST_F(DocumentsInForce, StayDeletedWhenAnOlderTextArrives)
    {
        acceptText(documentText("desk", 5));
        EXPECT_EQ(acceptText(tombstoneText("desk", 6)), AcceptanceKind::Accepted);
        EXPECT_EQ(acceptText(documentText("desk", 5)), AcceptanceKind::Older);
        EXPECT_TRUE(m_store.find("desk")->deleted);
        EXPECT_TRUE(m_store.activeDocuments().empty());
        EXPECT_EQ(acceptText(documentText("desk", 7)), AcceptanceKind::Accepted);
        EXPECT_EQ(m_store.activeDocuments().size(), 1u);
    }

    TEST_F(DocumentsInForce, AreKeptWhenAnInvalidTextArrives)
    {
        acceptText(documentText("desk", 5));
        const std::string invalidText = "service: desk\nrevision: 6\nkind: nothing\n";
        const auto refused = m_store.accept(invalidText, "desk");
        ASSERT_FALSE(refused);
        EXPECT_EQ(refused.error().kind, ErrorKind::BadDocument);
        EXPECT_EQ(m_store.find("desk")->revision, 5u);
        ASSERT_EQ(m_store.rejectedTexts().size(), 1u);
        EXPECT_FALSE(m_store.rejectedTexts().front().faults.empty());
        EXPECT_TRUE(m_store.isRejected("desk", m_store.rejectedTexts().front().textHash));
        acceptText(documentText("desk", 7));
        EXPECT_TRUE(m_store.rejectedTexts().empty());
    }

    TEST_F(DocumentsInForce, AreRejectedUnderTheNameOfAnotherService)
    {
        EXPECT_FALSE(m_store.accept(documentText("desk", 5), "gate"));
        EXPECT_EQ(m_store.find("desk"), nullptr);
    }

    TEST_F(DocumentsInForce, DoNotDependOnTheOrderOfTheTexts)
    {
        std::vector<std::string> texts {
            documentText("desk", 1), documentText("desk", 2), documentText("desk", 2, 900), tombstoneText("gate", 3), documentText("gate", 2)
        };
        std::ranges::sort(texts);
        std::optional<std::uint64_t> digest;
        do {
            DocumentStore store;
            for (const auto& text : texts)
                static_cast<void>(store.accept(text));
            if (!digest)
                digest = store.digest();
            EXPECT_EQ(store.digest(), *digest);
        } while (std::ranges::next_permutation(texts).found);
    }

    TEST_F(DocumentsInForce, WithTheSameRevisionAndDifferentTextsAreReportedAsAConflict)
    {
        acceptText(documentText("desk", 2));
        const auto kind = acceptText(documentText("desk", 2, 900));
        EXPECT_TRUE(kind == AcceptanceKind::ConflictKept || kind == AcceptanceKind::ConflictReplaced);
        ASSERT_EQ(m_store.conflicts().size(), 1u);
        EXPECT_EQ(m_store.conflicts().front().revision, 2u);
        EXPECT_EQ(m_store.conflicts().front().keptHash, m_store.revisions().at("desk").textHash);
    }

    TEST_F(DocumentsInForce, HaveADifferentDigestForADifferentRevisionTextOrService)
    {
        std::set<std::uint64_t> digests;
        for (const auto& text : { documentText("desk", 2), documentText("desk", 2, 900), documentText("desk", 3), documentText("gate", 2) }) {
            DocumentStore store;
            EXPECT_TRUE(store.accept(text));
            digests.insert(store.digest());
        }
        EXPECT_EQ(digests.size(), 4u);
    }

    TEST_F(DocumentsInForce, NeverAppearToAReaderToGoBackToAnOlderRevision)
    {
        std::atomic<bool> done = false;
        std::thread reader([&] {
            Revision last = 0;
            while (!done) {
                const auto document = m_store.find("desk");
                const auto seen = document ? document->revision : 0;
                EXPECT_GE(seen, last);
                last = seen;
            }
        });
        std::vector<std::thread> writers;
        for (Revision first = 1; first <= 4; ++first) {
            writers.emplace_back([this, first] {
                for (Revision revision = first; revision <= 100; revision += 4)
                    static_cast<void>(m_store.accept(documentText("desk", revision)));
            });
        }
        for (auto& writer : writers)
            writer.join();
        done = true;
        reader.join();
        EXPECT_EQ(m_store.find("desk")->revision, 100u);
    }

} // namespace
} // namespace yuccashift
