#pragma once

#include "yuccashift/document/document.hpp"
#include "yuccashift/document/fault.hpp"
#include "yuccashift/document/organisation_index.hpp"
#include "yuccashift/kernel/error.hpp"

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <tuple>
#include <vector>

namespace yuccashift {

/** Result of offering a document's text to the store. */
enum class AcceptanceKind {
    /** Newer than the version held, or the first one; now in force. */
    Accepted,
    /** The same text as the one held. */
    SameRevision,
    /** An older revision than the one held; ignored. */
    Older,
    /** A different text with the same revision; it replaced the one held. */
    ConflictReplaced,
    /** A different text with the same revision; the one held was kept. */
    ConflictKept,
};

struct Acceptance {
    AcceptanceKind kind = AcceptanceKind::Accepted;
    ServiceName service;
    Revision revision = 0;

    /** Whether the documents in force have changed. */
    bool changed() const;
};

/** Version of a document. Versions of a service are totally ordered; a larger one replaces a smaller one. */
struct DocumentVersion {
    Revision revision = 0;
    /** Breaks the tie between two texts with the same revision. */
    std::uint64_t textHash = 0;

    bool operator==(const DocumentVersion&) const = default;
    auto operator<=>(const DocumentVersion& other) const { return std::tie(revision, textHash) <=> std::tie(other.revision, other.textHash); }
};

/** A document in force with its version and text. */
struct StoredDocument {
    DocumentVersion version;
    DocumentPtr document;
    /** Refers to the organisations of `document`. */
    std::shared_ptr<const OrganisationIndex> organisations;
    std::shared_ptr<const std::string> text;
};

/** Immutable snapshot of all documents in force, including tombstones. */
struct DocumentSet {
    std::map<ServiceName, StoredDocument, std::less<>> documents;
    /** Hash of all versions; independent of the order in which the documents arrived. */
    std::uint64_t digest = 0;
    /** Incremented with each change of the store. */
    std::uint64_t generation = 0;
};

using DocumentSetPtr = std::shared_ptr<const DocumentSet>;

/** A text that failed validation. The last accepted text of the service stays in force. */
struct RejectedText {
    /** Service name under which the text was published. */
    ServiceName service;
    std::uint64_t textHash = 0;
    Faults faults;
};

/** Two different texts that were published with the same revision. */
struct RevisionConflict {
    ServiceName service;
    Revision revision = 0;
    std::uint64_t keptHash = 0;
    std::uint64_t droppedHash = 0;
};

/**
 * Holds the documents in force. A document is replaced only by a larger version.
 * Whether a text is accepted depends only on the text and the version held, so all
 * instances that received the same texts hold the same documents, regardless of
 * the order. Thread safe; readers take a snapshot and hold no lock while they use it.
 */
class DocumentStore {
public:
    DocumentStore();

    /**
     * Offers a text from any source to the store. Returns BadDocument if it is not valid.
     * @param publishedAs name under which the source lists the text. If it is not
     *        empty, a text that names another service is rejected.
     */
    Result<Acceptance> accept(std::string text, const ServiceName& publishedAs = {});

    DocumentSetPtr snapshot() const;
    /** Returns the document in force, or nullptr if there is none. Tombstones are returned too, with `deleted` set. */
    DocumentPtr find(std::string_view service) const;
    /** Returns all documents in force except tombstones. */
    std::vector<DocumentPtr> activeDocuments() const;
    /** Returns the text of the document in force, or nullptr if there is none. */
    std::shared_ptr<const std::string> text(std::string_view service) const;
    /** Returns the version of each document in force, including tombstones. */
    std::map<ServiceName, DocumentVersion> revisions() const;
    std::uint64_t digest() const;

    /** Returns the last rejected text of each service, for at most maxRejected services. */
    std::vector<RejectedText> rejectedTexts() const;
    /** Whether this text is the last one rejected for the service. Rejected texts are not requested again. */
    bool isRejected(std::string_view service, std::uint64_t textHash) const;
    /** Returns the last revision conflict of each service. */
    std::vector<RevisionConflict> conflicts() const;

    static constexpr std::size_t maxRejected = 256;

private:
    Acceptance replace(StoredDocument);
    void reject(const ServiceName&, std::uint64_t textHash, Faults);
    void recordConflict(const StoredDocument& held, const StoredDocument& offered);

    /** Guards the members below. Held for short updates and copies only, never while a text is parsed. */
    mutable std::mutex m_mutex;
    DocumentSetPtr m_current;
    std::map<ServiceName, RejectedText, std::less<>> m_rejected;
    std::map<ServiceName, RevisionConflict, std::less<>> m_conflicts;
};

} // namespace yuccashift
