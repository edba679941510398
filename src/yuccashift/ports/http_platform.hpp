#pragma once

#include "yuccashift/ports/config_source.hpp"
#include "yuccashift/ports/engine_control.hpp"
#include "yuccashift/ports/instance_list.hpp"

#include <memory>

namespace yuccashift {

class BackendClient;

/** Time for a call to the platform, beyond the wait of a watch. */
constexpr milliseconds platformTimeout { 2000 };

/** The configuration service over HTTP, as docs/PLATFORM.md describes it. */
std::unique_ptr<ConfigSource> makeHttpConfigSource(BackendClient&, const Clock&, Endpoint);

/** The instance list over HTTP. */
std::unique_ptr<InstanceList> makeHttpInstanceList(BackendClient&, const Clock&, Endpoint);

/** Load reports, cache events and orders over HTTP. */
std::unique_ptr<EngineControl> makeHttpEngineControl(BackendClient&, const Clock&);

} // namespace yuccashift
