#include "yuccashift/fleet/backend_server.hpp"

#include "yuccashift/kernel/hash.hpp"

#include <algorithm>
#include <array>

namespace yuccashift {

std::uint64_t hashOf(const ServerIdentity& identity)
{
    const auto born = std::to_string(identity.startedAtMs);
    const std::array<std::string_view, 2> parts { identity.id, born };
    constexpr std::uint64_t shortHash = 0xffffffffU;
    return std::max<std::uint64_t>(1, hash64(parts) & shortHash);
}

} // namespace yuccashift
