#pragma once

#include "yuccashift/entry/entry_core.hpp"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <memory>
#include <span>
#include <vector>

namespace yuccashift {

/** Probes the health of suspect servers, to find out when they accept requests again. */
class ServerProber {
public:
    explicit ServerProber(EntryCore&);
    ~ServerProber();
    ServerProber(const ServerProber&) = delete;
    ServerProber& operator=(const ServerProber&) = delete;

    void start();
    /** Probes the server now, unless a probe of it is in progress. */
    void probe(std::uint64_t server);

private:
    class Probe;
    void tick();
    /** Suspect servers that are to be probed now. */
    std::vector<std::uint64_t> dueServers() const;
    void onProbeEnded(std::uint64_t server);
    /** Makes requests that were lost with their servers evidence for the quarantine. */
    void countCrashes(std::span<const LostRequest>);

    EntryCore& m_core;
    boost::asio::steady_timer m_timer;
    std::map<std::uint64_t, std::unique_ptr<Probe>> m_running;
};

} // namespace yuccashift
