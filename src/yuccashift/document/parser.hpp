#pragma once

#include "yuccashift/document/document.hpp"
#include "yuccashift/document/fault.hpp"

#include <tl/expected.hpp>

namespace yuccashift {

/** Largest document, the bound of the platform's configuration service, in bytes. */
constexpr std::size_t maxDocumentBytes = 1 << 20;

/**
 * Parses one service document. Whether it is accepted depends on its text
 * alone, so that all instances decide alike. All faults are reported at once.
 */
tl::expected<Document, Faults> parseDocument(const std::string& text);

} // namespace yuccashift
