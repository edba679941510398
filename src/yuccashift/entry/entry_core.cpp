#include "yuccashift/entry/entry_core.hpp"

#include "yuccashift/entry/request_job.hpp"

namespace yuccashift {

namespace {

    /** Share of the process's memory for what is known of the prompts that servers hold. */
    constexpr std::size_t prefixMemoryDivisor = 8;

} // namespace

ProtocolCodec::~ProtocolCodec() = default;

EntryCore::EntryCore(boost::asio::io_context& ioContext, const Clock& nodeClock, EntrySettings nodeSettings, const ProtocolCodec& wireDialect, const ItemDecoder& decoder, std::unique_ptr<RandomSource> randomSource)
    : io(ioContext)
    , clock(nodeClock)
    , settings(std::move(nodeSettings))
    , listenerLimits(settings)
    , memory(MemoryAccount::limitFor(settings.memoryBytes), clock)
    , protocol(wireDialect)
    , random(std::move(randomSource))
    , fleetState(clock, decoder)
    , peerTable(clock, settings.instance)
    , serverTracker(clock)
    , retryBudget(clock, settings.retryBudgetLimits)
    , fleetLimits(clock.now(), settings.limitTolerance)
    , streamOrigins(clock, settings, peerTable)
    , promptDemand(clock)
    , serverConnections(io, clock, &memory)
    , peerConnections(io, clock, &memory)
    , planner(clock, settings, fleetState, serverTracker, peerTable, *random)
    , acceptance(clock, fleetState, serverTracker, planner, promptDemand)
    , requestRecorder(metrics)
{
    serverTracker.setMaxPrefixParts(settings.memoryBytes / prefixMemoryDivisor / PrefixCacheEstimator::bytesPerPart);
}

} // namespace yuccashift
