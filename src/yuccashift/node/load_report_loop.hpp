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
 * Reads the load reports and cache events of those backend servers of the
 * region that this instance watches; the watching is split among its instances.
 */
class LoadReportLoop {
public:
    LoadReportLoop(LoopContext, EngineControl&);

    boost::asio::awaitable<void> run();
    /** The last report that this instance read itself. */
    std::optional<EngineView> lastReportOf(const BackendKey&) const;

private:
    struct Watched {
        BackendKey key;
        Endpoint address;
        bool hasCache = false;
    };

    const std::vector<Watched>& watched();
    std::vector<Watched> choose() const;
    boost::asio::awaitable<void> poll(Watched);

    LoopContext m_context;
    EngineControl& m_control;
    std::set<std::string> m_polling;
    std::unordered_map<BackendKey, EngineView> m_views;
    /** What is watched, and what it was chosen from. */
    std::vector<Watched> m_watched;
    std::vector<OwnerCandidate> m_candidates;
    std::uint64_t m_chosenGeneration = ~std::uint64_t(0);
};

/** Time between two reports of a backend server where one instance watches so many. */
milliseconds loadPollInterval(std::size_t watchedServers);

/** Instances of the own region that take part in owning backend servers. */
std::vector<OwnerCandidate> ownerCandidates(const LoopContext&);

} // namespace yuccashift
