#pragma once

#include "yuccashift/document/document.hpp"

#include <span>
#include <string_view>
#include <unordered_map>

namespace yuccashift {

/**
 * Finds organisations by credential or by name, in a time that does not grow with their number. Holds no credential,
 * only hashes. The organisations must outlive the index and stay in place.
 */
class OrganisationIndex {
public:
    OrganisationIndex() = default;
    explicit OrganisationIndex(std::span<const OrganisationSpec>);

    bool empty() const { return m_byName.empty(); }
    /** Returns nullptr if no organisation accepts this bearer credential. */
    const OrganisationSpec* findByCredential(std::string_view credential) const;
    /** Returns nullptr if there is none of this name. */
    const OrganisationSpec* findByName(std::string_view name) const;

private:
    std::unordered_map<std::string_view, const OrganisationSpec*> m_byCredentialHash;
    std::unordered_map<std::string_view, const OrganisationSpec*> m_byName;
};

} // namespace yuccashift
