#include "yuccashift/entry/store_reader.hpp"

namespace yuccashift {

StoreListener::~StoreListener() = default;
StoreReader::~StoreReader() = default;

} // namespace yuccashift
