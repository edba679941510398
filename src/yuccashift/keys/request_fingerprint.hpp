#pragma once

#include <cstdint>
#include <string_view>

namespace yuccashift {

/** Identity of a request's content; the same on every instance. */
std::uint64_t requestFingerprint(std::string_view organisation, std::string_view method, std::string_view target, std::string_view body);

} // namespace yuccashift
