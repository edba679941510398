#include "yuccashift/routing/policies.hpp"

namespace yuccashift {

BackendPolicy::~BackendPolicy() = default;

RegionPolicy::~RegionPolicy() = default;

} // namespace yuccashift
