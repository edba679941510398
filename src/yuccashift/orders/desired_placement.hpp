#pragma once

#include "yuccashift/document/document.hpp"

#include <span>
#include <vector>

namespace yuccashift {

/** Desired models and role of one engine, according to its service document. */
struct DesiredEngineState {
    ServiceName service;
    BackendName backend;
    RegionName region;
    Endpoint address;
    FenceMode fenceMode = FenceMode::Checked;
    /** Revision of the document, which is the fencing number of every order. */
    Revision fence = 0;
    BackendRole role = BackendRole::Both;
    std::vector<ModelSpec> models;
    /** Whether another backend server has the same address. No models are unloaded in that case. */
    bool addressShared = false;

    bool operator==(const DesiredEngineState&) const = default;
};

/**
 * Desired state of every engine. Depends on the accepted documents alone, so that
 * instances with the same documents send identical orders. Sorted by service and
 * backend server, regardless of the order of the documents.
 */
std::vector<DesiredEngineState> desiredPlacement(std::span<const DocumentPtr>);

} // namespace yuccashift
