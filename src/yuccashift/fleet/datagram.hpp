#pragma once

#include "fleet_types.h"
#include "yuccashift/kernel/error.hpp"

#include <span>
#include <string>
#include <string_view>

namespace yuccashift {

/** Encodes with Thrift's compact protocol. */
std::string encodeDatagram(const fleetwire::Datagram&);
std::string encodeSnapshot(const fleetwire::Snapshot&);
std::string encodeItemValue(const fleetwire::ItemValue&);
/** Decodes what the functions above wrote; MalformedRequest if the bytes are damaged or truncated. */
Result<fleetwire::Datagram> decodeDatagram(std::string_view);
Result<fleetwire::Snapshot> decodeSnapshot(std::string_view);
Result<fleetwire::ItemValue> decodeItemValue(std::string_view);

} // namespace yuccashift
