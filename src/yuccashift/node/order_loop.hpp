#pragma once

#include "yuccashift/node/load_report_loop.hpp"
#include "yuccashift/orders/desired_placement.hpp"
#include "yuccashift/orders/load_pacer.hpp"

namespace yuccashift {

/** Gives engines the orders that lead to what the documents ask for, where this instance is the owner. */
class OrderLoop {
public:
    OrderLoop(LoopContext, EngineControl&, const LoadReportLoop&);

    boost::asio::awaitable<void> run();

private:
    boost::asio::awaitable<void> round();
    boost::asio::awaitable<void> bringUpToDate(const DesiredEngineState&);
    std::vector<DesiredEngineState> regionPlacement() const;

    LoopContext m_context;
    EngineControl& m_control;
    const LoadReportLoop& m_loads;
    Ownership m_ownership;
    OrderPlanner m_planner;
    LoadPacer m_pacer;
};

} // namespace yuccashift
