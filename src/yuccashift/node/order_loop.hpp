#pragma once

#include "yuccashift/node/load_report_loop.hpp"
#include "yuccashift/orders/desired_placement.hpp"
#include "yuccashift/orders/load_pacer.hpp"

namespace yuccashift {

/**
 * Brings the engines that this instance owns to the state that the documents
 * ask for, by sending them the missing orders.
 */
class OrderLoop {
public:
    OrderLoop(LoopContext, EngineControl&, const LoadReportLoop&);

    /** Never returns. */
    boost::asio::awaitable<void> run();

private:
    boost::asio::awaitable<void> reconcileRegion();
    boost::asio::awaitable<void> reconcileEngine(const DesiredEngineState&);
    std::vector<DesiredEngineState> regionPlacement() const;

    LoopContext m_context;
    EngineControl& m_control;
    const LoadReportLoop& m_loadLoop;
    Ownership m_ownership;
    OrderPlanner m_planner;
    LoadPacer m_pacer;
};

} // namespace yuccashift
