#include "yuccashift/keys/request_fingerprint.hpp"

#include "yuccashift/kernel/hash.hpp"

#include <array>

namespace yuccashift {

std::uint64_t requestFingerprint(std::string_view organisation, std::string_view method, std::string_view target, std::string_view body)
{
    const std::array parts { organisation, method, target, body };
    return hash64(parts);
}

} // namespace yuccashift
