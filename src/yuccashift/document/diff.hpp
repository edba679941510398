#pragma once

#include "yuccashift/document/document.hpp"

#include <string>
#include <vector>

namespace yuccashift {

/** A field whose value differs between two documents. */
struct Difference {
    /** Path of the field, with list items identified by name, such as `backends[ledger-1].slots`. */
    std::string path;
    /** Value in the first document; empty if the field is absent there. */
    std::string before;
    /** Value in the second document; empty if the field is absent there. */
    std::string after;

    bool operator==(const Difference&) const = default;
};

/** Returns every field that differs, sorted by path; an empty vector if the documents are equal. */
std::vector<Difference> differences(const Document& before, const Document& after);

} // namespace yuccashift
