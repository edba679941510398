#include "yuccashift/document/organisation_index.hpp"

#include "yuccashift/kernel/hash.hpp"

namespace yuccashift {

namespace {

    const OrganisationSpec* find(const std::unordered_map<std::string_view, const OrganisationSpec*>& organisations, std::string_view key)
    {
        const auto it = organisations.find(key);
        return it == organisations.end() ? nullptr : it->second;
    }

} // namespace

OrganisationIndex::OrganisationIndex(std::span<const OrganisationSpec> organisations)
{
    for (const auto& organisation : organisations) {
        m_byName.emplace(organisation.name, &organisation);
        for (const auto& hash : organisation.credentialHashes)
            m_byCredentialHash.emplace(hash, &organisation);
    }
}

const OrganisationSpec* OrganisationIndex::findByCredential(std::string_view credential) const
{
    return credential.empty() ? nullptr : find(m_byCredentialHash, sha256Hex(credential));
}

const OrganisationSpec* OrganisationIndex::findByName(std::string_view name) const
{
    return find(m_byName, name);
}

} // namespace yuccashift
