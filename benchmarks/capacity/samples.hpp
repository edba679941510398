#pragma once

#include <string>

namespace yuccashift::capacity {

/** Returns the YAML document of a model service with the given numbers of backend servers and organisations. */
std::string modelDocumentText(const std::string& service, std::uint64_t revision, std::size_t backends, std::size_t organisations);

/** Returns the YAML document of a plain service with three backend servers and one organisation. */
std::string plainDocumentText(const std::string& service, std::uint64_t revision);

} // namespace yuccashift::capacity
