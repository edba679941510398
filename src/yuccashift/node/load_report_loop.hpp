#pragma once

#include "yuccashift/node/loop_context.hpp"
#include "yuccashift/orders/order_planner.hpp"
#include "yuccashift/orders/ownership.hpp"
#include "yuccashift/ports/engine_control.hpp"
#include "yuccashift/routing/backend_key.hpp"

#include <memory>
#include <optional>
#include <set>
#include <unordered_map>

namespace yuccashift {

/**
 * Polls the load reports and cache events of the backend servers that this
 * instance watches. Each backend server of the region is watched by one of the
 * region's instances.
 */
class LoadReportLoop {
public:
    LoadReportLoop(LoopContext, EngineControl&);

    /** Never returns. */
    boost::asio::awaitable<void> run();
    /** The last report that this instance read from the backend server; std::nullopt if it has read none. */
    std::optional<EngineView> lastReportOf(const BackendKey&) const;

private:
    struct WatchedServer {
        BackendKey key;
        Endpoint address;
        bool hasCache = false;
    };

    const std::vector<WatchedServer>& watchedServers();
    std::vector<WatchedServer> selectWatchedServers() const;
    boost::asio::awaitable<void> poll(WatchedServer);

    LoopContext m_context;
    EngineControl& m_control;
    std::set<std::string> m_activePolls;
    std::unordered_map<BackendKey, EngineView> m_lastReports;
    /** The watched servers, and below the candidates and document generation that they were selected from. */
    std::vector<WatchedServer> m_watchedServers;
    std::vector<OwnerCandidate> m_candidates;
    std::uint64_t m_selectionGeneration = ~std::uint64_t(0);
};

/** Time between two polls of a backend server by an instance that watches this many servers. */
milliseconds loadPollInterval(std::size_t watchedServers);

/** The live instances of this region, among which the ownership of its backend servers is divided. */
std::vector<OwnerCandidate> ownerCandidates(const LoopContext&);

} // namespace yuccashift
