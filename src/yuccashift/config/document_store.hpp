#pragma once

#include "yuccashift/document/document.hpp"
#include "yuccashift/document/fault.hpp"
#include "yuccashift/kernel/error.hpp"

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <tuple>
#include <vector>

namespace yuccashift {

/** What became of a document's text. */
enum class AcceptanceKind {
    /** Newer than what was held; now in force. */
    Accepted,
    /** The text that is held already. */
    SameRevision,
    /** An older revision than the one held; ignored. */
    Older,
    /** Another text under the held revision, and it replaces the held one. */
    ConflictReplaced,
    /** Another text under the held revision, and the held one stays. */
    ConflictKept,
};

struct Acceptance {
    AcceptanceKind kind = AcceptanceKind::Accepted;
    ServiceName service;
    Revision revision = 0;

    /** Whether the documents in force are other ones now. */
    bool changed() const;
};

/** A document's place in the order of its service: a larger version replaces a smaller one. */
struct DocumentVersion {
    Revision revision = 0;
    /** Decides between two texts under one revision. */
    std::uint64_t textHash = 0;

    bool operator==(const DocumentVersion&) const = default;
    auto operator<=>(const DocumentVersion& other) const { return std::tie(revision, textHash) <=> std::tie(other.revision, other.textHash); }
};

/** One document in force. */
struct HeldDocument {
    DocumentVersion version;
    DocumentPtr document;
    std::shared_ptr<const std::string> text;
};

/** All documents in force at one moment, tombstones included. Immutable. */
struct DocumentSet {
    std::map<ServiceName, HeldDocument, std::less<>> documents;
    /** Depends on the versions alone, not on the order in which they came. */
    std::uint64_t digest = 0;
    /** Grows with each change of this store. */
    std::uint64_t generation = 0;
};

using DocumentSetPtr = std::shared_ptr<const DocumentSet>;

/** A text that was not accepted; the service's last accepted one stays in force. */
struct RejectedText {
    /** Service under which it came. */
    ServiceName service;
    std::uint64_t textHash = 0;
    Faults faults;
};

/** Two texts were published under one revision. */
struct RevisionConflict {
    ServiceName service;
    Revision revision = 0;
    std::uint64_t keptHash = 0;
    std::uint64_t droppedHash = 0;
};

/**
 * Documents in force, each replaced only by a larger version. Whether a text is
 * accepted depends on it and on the version held, so all instances that heard
 * the same texts hold the same documents, whatever the order. Thread safe;
 * readers take a snapshot and keep no lock.
 */
class DocumentStore {
public:
    DocumentStore();

    /**
     * Takes a text from any source. BadDocument where it has faults.
     * @param publishedAs name under which the source lists it; a fault where the text names another service
     */
    Result<Acceptance> accept(std::string text, const ServiceName& publishedAs = {});

    DocumentSetPtr snapshot() const;
    /** The document in force, or null; tombstones are returned with `deleted` set. */
    DocumentPtr find(std::string_view service) const;
    /** All documents in force that are not deleted. */
    std::vector<DocumentPtr> all() const;
    /** Text of the document in force, or null. */
    std::shared_ptr<const std::string> text(std::string_view service) const;
    std::map<ServiceName, DocumentVersion> revisions() const;
    std::uint64_t digest() const;

    /** The last rejected text of each service, at most maxRejected of them. */
    std::vector<RejectedText> rejected() const;
    /** Whether this text was rejected under this name; such texts are not asked for again. */
    bool isRejected(std::string_view service, std::uint64_t textHash) const;
    /** The last conflict of each service. */
    std::vector<RevisionConflict> conflicts() const;

    static constexpr std::size_t maxRejected = 256;

private:
    Acceptance replace(HeldDocument);
    void reject(const ServiceName&, std::uint64_t textHash, Faults);
    void noteConflict(const HeldDocument& held, const HeldDocument& offered);

    /** Guards all below; held only to swap the pointer, never while parsing. */
    mutable std::mutex m_mutex;
    DocumentSetPtr m_current;
    std::map<ServiceName, RejectedText, std::less<>> m_rejected;
    std::map<ServiceName, RevisionConflict, std::less<>> m_conflicts;
};

} // namespace yuccashift
