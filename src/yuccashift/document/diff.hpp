#pragma once

#include "yuccashift/document/document.hpp"

#include <string>
#include <vector>

namespace yuccashift {

/** One field with different values in two documents. */
struct Difference {
    /** Place of the field; list items go by name, such as `backends[ledger-1].slots`. */
    std::string path;
    /** Empty where the field is absent before. */
    std::string before;
    /** Empty where the field is absent after. */
    std::string after;

    bool operator==(const Difference&) const = default;
};

/** Every field that differs, by path. Equal documents have none. */
std::vector<Difference> differences(const Document& before, const Document& after);

} // namespace yuccashift
