#pragma once

#include "yuccashift/document/document.hpp"

#include <span>
#include <vector>

namespace yuccashift {

/** What one engine should hold and be, according to its document. */
struct DesiredEngineState {
    ServiceName service;
    BackendName backend;
    RegionName region;
    Endpoint address;
    FenceMode fenceMode = FenceMode::Checked;
    /** Revision of the document; the fencing number of every order. */
    Revision fence = 0;
    BackendRole role = BackendRole::Both;
    std::vector<ModelSpec> models;
    /** Whether another document names the same address: nothing is unloaded there. */
    bool addressShared = false;

    bool operator==(const DesiredEngineState&) const = default;
};

/**
 * Desired state of every engine: a function of the accepted documents alone,
 * so that instances which hold the same documents can only repeat an order.
 * Ordered by service and backend server, whatever the order of the documents.
 */
std::vector<DesiredEngineState> desiredPlacement(std::span<const DocumentPtr>);

} // namespace yuccashift
