#pragma once

#include "yuccashift/document/fault.hpp"

#include <string>
#include <string_view>

namespace yuccashift::cli {

/** The two kinds of file that operators write. */
enum class FileKind {
    Document,
    Settings,
};

/** Tells settings from a document by their top-level keys. */
FileKind guessKind(std::string_view text);

/** All faults of a file; none where it is valid. */
Faults checkFile(FileKind, const std::string& text);

std::string_view toString(FileKind);

} // namespace yuccashift::cli
