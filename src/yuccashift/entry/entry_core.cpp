#include "yuccashift/entry/entry_core.hpp"

#include "yuccashift/entry/request_job.hpp"

namespace yuccashift {

WireDialect::~WireDialect() = default;

EntryCore::EntryCore(boost::asio::io_context& ioContext, const Clock& nodeClock, EntrySettings nodeSettings, const WireDialect& wireDialect, const ItemDecoder& decoder, std::unique_ptr<RandomSource> randomSource)
    : io(ioContext)
    , clock(nodeClock)
    , settings(std::move(nodeSettings))
    , dialect(wireDialect)
    , random(std::move(randomSource))
    , world(clock, decoder)
    , members(clock, settings.instance)
    , book(clock)
    , repeats(clock, settings.repeats)
    , crashes(clock)
    , servers(io, clock)
    , peers(io, clock)
    , dispatcher(clock, settings, world, book, members, *random)
    , record(metrics)
{
}

} // namespace yuccashift
