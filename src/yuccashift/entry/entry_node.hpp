#pragma once

#include "yuccashift/entry/entry_settings.hpp"
#include "yuccashift/entry/protocol_codec.hpp"
#include "yuccashift/entry/store_reader.hpp"
#include "yuccashift/fleet/fleet_state.hpp"
#include "yuccashift/kernel/error.hpp"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>

namespace yuccashift {

/** Platform-specific dependencies of an entry instance. */
struct EntryAdapters {
    const ProtocolCodec& protocol;
    const ItemDecoder& decoder;
    /** Creates the reader of the platform's store on the instance's event loop. */
    std::function<std::unique_ptr<StoreReader>(boost::asio::io_context&, const Clock&, const Endpoint&)> makeStore;
    /** Reads the settings file again; an error if it cannot be read or is not valid. */
    std::function<Result<EntrySettings>()> reloadSettings;
    /** Flushes buffered log lines; called ten times per second. May be empty. */
    std::function<void()> flushLog;
};

/**
 * One entry instance on one event loop: serves callers, requests forwarded by
 * other instances, the directory, readiness and metrics, exchanges heartbeats
 * and follows the published items.
 */
class EntryNode {
public:
    EntryNode(EntrySettings, EntryAdapters);
    ~EntryNode();
    EntryNode(const EntryNode&) = delete;
    EntryNode& operator=(const EntryNode&) = delete;

    /** Binds all listeners. Returns BadSettings if an address cannot be bound. */
    Result<void> listen();
    /** Serves until SIGTERM or SIGINT, then until the graceful shutdown has ended. */
    void run();

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace yuccashift
