#include "yuccashift/entry/published_store.hpp"

namespace yuccashift {

StoreListener::~StoreListener() = default;
PublishedStore::~PublishedStore() = default;

} // namespace yuccashift
