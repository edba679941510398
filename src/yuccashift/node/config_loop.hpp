#pragma once

#include "yuccashift/config/watcher_choice.hpp"
#include "yuccashift/node/loop_context.hpp"
#include "yuccashift/platform/config_source.hpp"

#include <map>

namespace yuccashift {

/**
 * Reads the configuration service: by a watch where this instance is one of
 * its region's watchers, otherwise by rare polls. Peers bring the rest.
 */
class ConfigLoop {
public:
    ConfigLoop(LoopContext, ConfigSource&);

    boost::asio::awaitable<void> run();

private:
    boost::asio::awaitable<void> readOnce();
    boost::asio::awaitable<Result<ConfigListing>> nextListing();
    boost::asio::awaitable<void> takeListing(const ConfigListing&);
    boost::asio::awaitable<void> takeDocument(const PublishedRevision&);
    boost::asio::awaitable<void> paced();
    boost::asio::awaitable<void> waitForPoll();
    bool isWatcherNow() const;

    LoopContext m_context;
    ConfigSource& m_source;
    ReadPacer m_pacer;
    std::uint64_t m_index = 0;
    bool m_listed = false;
    std::uint32_t m_failures = 0;
    /** Revisions read here, so that a rejected text is read only once. */
    std::map<ServiceName, Revision> m_read;
};

} // namespace yuccashift
