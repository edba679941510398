#pragma once

#include "yuccashift/document/document.hpp"
#include "yuccashift/kernel/error.hpp"

#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <string>
#include <vector>

namespace yuccashift {

/** Load as an engine reports it; it lags behind the actual load. */
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
    /** Highest fencing number that the engine has received, if it checks them. */
    std::uint64_t highestFencingToken = 0;
};

/** A block that an engine stored in its prefix cache or removed from it. */
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

/** An order to an engine to load or unload a model, load an adapter or change its role. */
struct EngineOrder {
    OrderKind kind = OrderKind::LoadModel;
    /** Fencing number: the revision of the document that requires the order. */
    std::uint64_t fencingToken = 0;
    std::string model;
    std::string version;
    std::string adapter;
    BackendRole role = BackendRole::Both;

    bool operator==(const EngineOrder&) const = default;
};

/** Interface for reading engines' reports and sending them orders. */
class EngineControl {
public:
    virtual ~EngineControl();
    virtual boost::asio::awaitable<Result<LoadReport>> load(Endpoint) = 0;
    /** Returns the events after this sequence number, oldest first. The numbers may have gaps. */
    virtual boost::asio::awaitable<Result<std::vector<CacheEvent>>> cacheEvents(Endpoint, std::uint64_t after) = 0;
    /** Sends an order. BackendRefused if the engine has already received a higher fencing number. */
    virtual boost::asio::awaitable<Result<void>> order(Endpoint, EngineOrder) = 0;
};

std::string_view toString(OrderKind);

} // namespace yuccashift
