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

/** The adapters that an entry instance is built on. */
struct EntryAdapters {
    const ProtocolCodec& protocol;
    const ItemDecoder& decoder;
    /** Creates the reader of published items on the instance's event loop. */
    std::function<std::unique_ptr<StoreReader>(boost::asio::io_context&, const Clock&, const Endpoint&)> makeStore;
    /** Reads the settings again; nothing where they cannot be read now. */
    std::function<Result<EntrySettings>()> reloadSettings;
    /** Called ten times a second and at the end, to hand out log lines. */
    std::function<void()> flushLog;
};

/**
 * One entry instance on one event loop: callers, hops from other instances,
 * directory, readiness, heartbeats and the published items.
 */
class EntryNode {
public:
    EntryNode(EntrySettings, EntryAdapters);
    ~EntryNode();
    EntryNode(const EntryNode&) = delete;
    EntryNode& operator=(const EntryNode&) = delete;

    /** Binds all listeners. BadSettings where an address cannot be had. */
    Result<void> listen();
    /** Serves until SIGTERM or SIGINT and the end of what is in progress. */
    void run();

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace yuccashift
