#include "yuccashift/config/document_store.hpp"

#include "yuccashift/document/parser.hpp"
#include "yuccashift/kernel/hash.hpp"

namespace yuccashift {

namespace {

    // The digest of the set is the sum of these values, so it does not depend on the order of changes.
    std::uint64_t versionDigest(const ServiceName& service, const DocumentVersion& version)
    {
        return mix64(hash64(service) ^ mix64(version.revision ^ mix64(version.textHash)));
    }

    AcceptanceKind compare(const StoredDocument& held, const StoredDocument& offered)
    {
        if (offered.version == held.version)
            return AcceptanceKind::SameRevision;
        if (offered.version.revision == held.version.revision)
            return offered.version > held.version ? AcceptanceKind::ConflictReplaced : AcceptanceKind::ConflictKept;
        return offered.version > held.version ? AcceptanceKind::Accepted : AcceptanceKind::Older;
    }

    tl::expected<Document, Faults> parseAndCheckName(const std::string& text, const ServiceName& publishedAs)
    {
        auto document = parseDocument(text);
        if (document && !publishedAs.empty() && document->service != publishedAs)
            return tl::unexpected(Faults { { 0, "service", "'" + publishedAs + "', the name under which it is published" } });
        return document;
    }

} // namespace

bool Acceptance::changed() const
{
    return kind == AcceptanceKind::Accepted || kind == AcceptanceKind::ConflictReplaced;
}

DocumentStore::DocumentStore()
    : m_current(std::make_shared<const DocumentSet>())
{
}

Result<Acceptance> DocumentStore::accept(std::string text, const ServiceName& publishedAs)
{
    const auto textHash = hash64(text);
    auto parsed = parseAndCheckName(text, publishedAs);
    if (!parsed) {
        auto detail = format(parsed.error(), publishedAs.empty() ? "document" : publishedAs);
        reject(publishedAs, textHash, std::move(parsed.error()));
        return fail(ErrorKind::BadDocument, std::move(detail));
    }
    StoredDocument offered;
    offered.version = { parsed->revision, textHash };
    offered.document = std::make_shared<const Document>(std::move(*parsed));
    offered.organisations = std::make_shared<const OrganisationIndex>(offered.document->organisations);
    offered.text = std::make_shared<const std::string>(std::move(text));
    return replace(std::move(offered));
}

Acceptance DocumentStore::replace(StoredDocument offered)
{
    Acceptance acceptance { AcceptanceKind::Accepted, offered.document->service, offered.version.revision };
    const std::lock_guard lock(m_mutex);
    const auto held = m_current->documents.find(acceptance.service);
    const bool known = held != m_current->documents.end();
    if (known) {
        acceptance.kind = compare(held->second, offered);
        recordConflict(held->second, offered);
    }
    if (!acceptance.changed())
        return acceptance;
    auto next = std::make_shared<DocumentSet>(*m_current);
    if (known)
        next->digest -= versionDigest(acceptance.service, held->second.version);
    next->digest += versionDigest(acceptance.service, offered.version);
    ++next->generation;
    next->documents.insert_or_assign(acceptance.service, std::move(offered));
    m_current = std::move(next);
    // The faults of an earlier text are obsolete once a newer text is in force.
    m_rejected.erase(acceptance.service);
    return acceptance;
}

void DocumentStore::recordConflict(const StoredDocument& held, const StoredDocument& offered)
{
    if (held.version.revision != offered.version.revision || held.version == offered.version)
        return;
    const auto [dropped, kept] = std::minmax(held.version.textHash, offered.version.textHash);
    const auto& service = offered.document->service;
    m_conflicts.insert_or_assign(service, RevisionConflict { service, held.version.revision, kept, dropped });
}

void DocumentStore::reject(const ServiceName& service, std::uint64_t textHash, Faults faults)
{
    const std::lock_guard lock(m_mutex);
    if (m_rejected.size() >= maxRejected && !m_rejected.contains(service))
        m_rejected.erase(m_rejected.begin());
    m_rejected.insert_or_assign(service, RejectedText { service, textHash, std::move(faults) });
}

DocumentSetPtr DocumentStore::snapshot() const
{
    const std::lock_guard lock(m_mutex);
    return m_current;
}

DocumentPtr DocumentStore::find(std::string_view service) const
{
    const auto set = snapshot();
    const auto it = set->documents.find(service);
    return it == set->documents.end() ? nullptr : it->second.document;
}

std::vector<DocumentPtr> DocumentStore::activeDocuments() const
{
    std::vector<DocumentPtr> documents;
    const auto set = snapshot();
    for (const auto& [service, held] : set->documents) {
        if (!held.document->deleted)
            documents.push_back(held.document);
    }
    return documents;
}

std::shared_ptr<const std::string> DocumentStore::text(std::string_view service) const
{
    const auto set = snapshot();
    const auto it = set->documents.find(service);
    return it == set->documents.end() ? nullptr : it->second.text;
}

std::map<ServiceName, DocumentVersion> DocumentStore::revisions() const
{
    std::map<ServiceName, DocumentVersion> versions;
    const auto set = snapshot();
    for (const auto& [service, held] : set->documents)
        versions.emplace(service, held.version);
    return versions;
}

std::uint64_t DocumentStore::digest() const
{
    return snapshot()->digest;
}

std::vector<RejectedText> DocumentStore::rejectedTexts() const
{
    const std::lock_guard lock(m_mutex);
    std::vector<RejectedText> texts;
    for (const auto& [service, text] : m_rejected)
        texts.push_back(text);
    return texts;
}

bool DocumentStore::isRejected(std::string_view service, std::uint64_t textHash) const
{
    const std::lock_guard lock(m_mutex);
    const auto it = m_rejected.find(service);
    return it != m_rejected.end() && it->second.textHash == textHash;
}

std::vector<RevisionConflict> DocumentStore::conflicts() const
{
    const std::lock_guard lock(m_mutex);
    std::vector<RevisionConflict> conflicts;
    for (const auto& [service, conflict] : m_conflicts)
        conflicts.push_back(conflict);
    return conflicts;
}

} // namespace yuccashift
