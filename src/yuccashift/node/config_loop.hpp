#pragma once

#include "yuccashift/config/source_reader.hpp"
#include "yuccashift/node/loop_context.hpp"
#include "yuccashift/ports/config_source.hpp"

#include <memory>

namespace yuccashift {

class RandomSource;

/**
 * Reads the configuration service: by a watch where this instance is one of
 * its region's watchers, otherwise by rare polls. Peers bring the rest.
 */
class ConfigLoop {
public:
    ConfigLoop(LoopContext, ConfigSource&);

    boost::asio::awaitable<void> run();

private:
    boost::asio::awaitable<void> take(SourceStep);
    void takeListing(const Result<ConfigListing>&);
    void takeText(const ServiceName&, Result<std::string>);
    void noteFailure(const Error&, const ServiceName&);

    LoopContext m_context;
    ConfigSource& m_source;
    std::unique_ptr<RandomSource> m_random;
    SourceReader m_reader;
    /** Whether the last call failed, so that an outage is logged once. */
    bool m_failing = false;
};

} // namespace yuccashift
