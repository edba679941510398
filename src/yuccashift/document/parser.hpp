#pragma once

#include "yuccashift/document/document.hpp"
#include "yuccashift/document/fault.hpp"

#include <tl/expected.hpp>

namespace yuccashift {

/** Maximum size of a document in bytes, as set by the platform's configuration service. */
constexpr std::size_t maxDocumentBytes = 1 << 20;

/**
 * Parses and validates a service document. The result depends only on the text,
 * so all instances accept the same documents. On failure returns every fault
 * found, not just the first.
 */
tl::expected<Document, Faults> parseDocument(const std::string& text);

} // namespace yuccashift
