#pragma once

#include "yuccashift/document/fault.hpp"

#include <string>
#include <string_view>

namespace yuccashift::cli {

/** The kinds of files that operators write. */
enum class FileKind {
    Document,
    Settings,
};

/** Detects the kind of a file from its top-level keys; returns Document if none of them is known. */
FileKind detectFileKind(std::string_view text);

/** Returns all faults of a file; an empty vector if it is valid. */
Faults checkFile(FileKind, const std::string& text);

std::string_view toString(FileKind);

} // namespace yuccashift::cli
