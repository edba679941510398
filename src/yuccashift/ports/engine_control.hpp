#pragma once

#include "yuccashift/document/document.hpp"
#include "yuccashift/kernel/error.hpp"

#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <string>
#include <vector>

namespace yuccashift {

/** An engine's own account of its load; it lags behind the actual load. */
struct LoadReport {
    std::uint64_t sequence = 0;
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint64_t queuedTokens = 0;
    double prefillTokensPerSecond = 0;
    double decodeTokensPerSecond = 0;
    bool leaving = false;
    BackendRole role = BackendRole::Both;
    std::vector<ModelSpec> models;
    /** Largest fencing number seen by an engine that checks them. */
    std::uint64_t highestFencingToken = 0;
};

/** A change of the blocks that an engine's prefix cache holds. */
struct CacheEvent {
    std::uint64_t sequence = 0;
    bool stored = true;
    std::uint64_t blockHash = 0;
};

enum class OrderKind {
    LoadModel,
    LoadAdapter,
    UnloadModel,
    SetRole,
};

/** An order to an engine. */
struct EngineOrder {
    OrderKind kind = OrderKind::LoadModel;
    /** Revision of the document that asks for it. */
    std::uint64_t fencingToken = 0;
    std::string model;
    std::string version;
    std::string adapter;
    BackendRole role = BackendRole::Both;

    bool operator==(const EngineOrder&) const = default;
};

/** Port to one engine's reports and orders. */
class EngineControl {
public:
    virtual ~EngineControl();
    virtual boost::asio::awaitable<Result<LoadReport>> load(Endpoint) = 0;
    /** Events after this sequence number, oldest first; numbers may be missing. */
    virtual boost::asio::awaitable<Result<std::vector<CacheEvent>>> cacheEvents(Endpoint, std::uint64_t after) = 0;
    /** BackendRefused where the engine holds a newer fencing number. */
    virtual boost::asio::awaitable<Result<void>> order(Endpoint, EngineOrder) = 0;
};

std::string_view toString(OrderKind);

} // namespace yuccashift
