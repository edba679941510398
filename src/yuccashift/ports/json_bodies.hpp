#pragma once

#include "yuccashift/ports/config_source.hpp"
#include "yuccashift/ports/engine_control.hpp"
#include "yuccashift/ports/instance_list.hpp"

#include <string_view>

namespace yuccashift::detail {

/**
 * Parsers of the platform's JSON bodies. MalformedRequest if a body is invalid; unknown fields are ignored, and so are
 * entries of lists that are not usable.
 */
Result<ConfigListing> parseConfigListing(std::string_view);
Result<InstanceListing> parseListing(std::string_view);
Result<LoadReport> parseLoadReport(std::string_view);
Result<std::vector<CacheEvent>> parseCacheEvents(std::string_view);

/** Returns the JSON body of an order. */
std::string formatOrder(const EngineOrder&);

} // namespace yuccashift::detail
