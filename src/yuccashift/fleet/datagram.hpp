#pragma once

#include "fleet_types.h"
#include "yuccashift/kernel/error.hpp"

#include <span>
#include <string>
#include <string_view>

namespace yuccashift {

/** Thrift's compact form. */
std::string encodeDatagram(const fleetwire::Datagram&);
std::string encodeSnapshot(const fleetwire::Snapshot&);
/** MalformedRequest on damage. */
Result<fleetwire::Datagram> decodeDatagram(std::string_view);
Result<fleetwire::Snapshot> decodeSnapshot(std::string_view);

} // namespace yuccashift
