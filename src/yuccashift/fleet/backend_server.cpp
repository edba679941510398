#include "yuccashift/fleet/backend_server.hpp"

#include "yuccashift/kernel/hash.hpp"

#include <array>

namespace yuccashift {

std::uint64_t hashOf(const ServerIdentity& identity)
{
    const auto born = std::to_string(identity.born);
    const std::array<std::string_view, 2> parts { identity.id, born };
    return hash64(parts);
}

} // namespace yuccashift
