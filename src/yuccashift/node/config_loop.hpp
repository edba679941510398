#pragma once

#include "yuccashift/config/source_reader.hpp"
#include "yuccashift/node/loop_context.hpp"
#include "yuccashift/ports/config_source.hpp"

#include <memory>

namespace yuccashift {

class RandomSource;

/**
 * Reads service documents from the configuration service. An instance that is
 * one of its region's watchers holds a watch there; every other instance polls
 * rarely and receives most changes from its peers.
 */
class ConfigLoop {
public:
    ConfigLoop(LoopContext, ConfigSource&);

    /** Never returns. */
    boost::asio::awaitable<void> run();

private:
    boost::asio::awaitable<void> execute(SourceStep);
    void handleListing(const Result<ConfigListing>&);
    void handleText(const ServiceName&, Result<std::string>);
    void recordFailure(const Error&, const ServiceName&);

    LoopContext m_context;
    ConfigSource& m_source;
    std::unique_ptr<RandomSource> m_random;
    SourceReader m_reader;
    /** Whether the last call failed; only the first failure of an outage is logged. */
    bool m_lastCallFailed = false;
};

} // namespace yuccashift
