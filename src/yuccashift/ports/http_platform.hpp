#pragma once

#include "yuccashift/ports/config_source.hpp"
#include "yuccashift/ports/engine_control.hpp"
#include "yuccashift/ports/instance_list.hpp"

#include <memory>

namespace yuccashift {

class BackendClient;

/** Timeout of a call to the platform; a watch adds its wait. */
constexpr milliseconds platformTimeout { 2000 };

/** Creates a client of the configuration service over HTTP, as described in docs/PLATFORM.md. */
std::unique_ptr<ConfigSource> makeHttpConfigSource(BackendClient&, const Clock&, Endpoint);

/** Creates a client of the instance list over HTTP. */
std::unique_ptr<InstanceList> makeHttpInstanceList(BackendClient&, const Clock&, Endpoint);

/** Creates a client for engines' load reports, cache events and orders over HTTP. */
std::unique_ptr<EngineControl> makeHttpEngineControl(BackendClient&, const Clock&);

} // namespace yuccashift
