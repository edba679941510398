#include "cli/file_check.hpp"

#include "yuccashift/document/parser.hpp"
#include "yuccashift/kernel/settings.hpp"

namespace yuccashift::cli {

namespace {

    bool hasTopLevelKey(std::string_view text, std::string_view key)
    {
        const auto lines = "\n" + std::string(text);
        return lines.find("\n" + std::string(key) + ":") != std::string::npos;
    }

} // namespace

FileKind detectFileKind(std::string_view text)
{
    if (hasTopLevelKey(text, "service"))
        return FileKind::Document;
    const bool settings = hasTopLevelKey(text, "instance") || hasTopLevelKey(text, "listen");
    return settings ? FileKind::Settings : FileKind::Document;
}

Faults checkFile(FileKind kind, const std::string& text)
{
    if (kind == FileKind::Settings) {
        const auto settings = parseSettings(text);
        return settings ? Faults() : settings.error();
    }
    const auto document = parseDocument(text);
    return document ? Faults() : document.error();
}

std::string_view toString(FileKind kind)
{
    return kind == FileKind::Settings ? "settings" : "document";
}

} // namespace yuccashift::cli
