#pragma once

#include "yuccashift/dispatch/crash_book.hpp"
#include "yuccashift/dispatch/repeat_allowance.hpp"
#include "yuccashift/dispatch/server_book.hpp"
#include "yuccashift/entry/dispatcher.hpp"
#include "yuccashift/entry/entry_settings.hpp"
#include "yuccashift/entry/home_demand.hpp"
#include "yuccashift/entry/planned_stop.hpp"
#include "yuccashift/entry/request_record.hpp"
#include "yuccashift/entry/wire_dialect.hpp"
#include "yuccashift/fleet/member_book.hpp"
#include "yuccashift/fleet/world.hpp"
#include "yuccashift/http/outbound.hpp"
#include "yuccashift/kernel/random.hpp"
#include "yuccashift/observe/metrics.hpp"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <unordered_set>

namespace yuccashift {

class RequestJob;

/** State shared by the components of one entry instance. Accessed only from its event loop. */
struct EntryCore {
    EntryCore(boost::asio::io_context&, const Clock&, EntrySettings, const WireDialect&, const ItemDecoder&, std::unique_ptr<RandomSource>);

    boost::asio::io_context& io;
    const Clock& clock;
    EntrySettings settings;
    const WireDialect& dialect;
    std::unique_ptr<RandomSource> random;
    World world;
    MemberBook members;
    ServerBook book;
    RepeatAllowance repeats;
    CrashBook crashes;
    HomeDemand homeDemand;
    /** Connection pool for backend servers. */
    OutboundPool servers;
    /** Connection pool for other instances. */
    OutboundPool peers;
    Dispatcher dispatcher;
    Metrics metrics;
    RequestRecord record;

    bool draining() const { return plannedStop.has_value(); }
    /** Set from the stop signal on. */
    std::optional<PlannedStop> plannedStop;
    /** Requests in progress; this set keeps them alive until they have ended. */
    std::unordered_set<std::shared_ptr<RequestJob>> jobs;
    /** Requests an immediate health probe of a server whose connection was lost. */
    std::function<void(std::uint64_t server)> probeSoon;
};

} // namespace yuccashift
