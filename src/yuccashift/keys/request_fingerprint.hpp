#pragma once

#include <cstdint>
#include <string_view>

namespace yuccashift {

/** Hash of the content of a request. Every instance computes the same value. */
std::uint64_t requestFingerprint(std::string_view organisation, std::string_view method, std::string_view target, std::string_view body);

} // namespace yuccashift
