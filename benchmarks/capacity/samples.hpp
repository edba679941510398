#pragma once

#include <string>

namespace yuccashift::capacity {

/** YAML of a model service with so many backend servers and organisations. */
std::string modelDocumentText(const std::string& service, std::uint64_t revision, std::size_t backends, std::size_t organisations);

/** YAML of a plain service with three backend servers and one organisation. */
std::string plainDocumentText(const std::string& service, std::uint64_t revision);

} // namespace yuccashift::capacity
