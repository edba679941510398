#pragma once

#include "yuccashift/kernel/clock.hpp"
#include "yuccashift/orders/desired_placement.hpp"
#include "yuccashift/ports/engine_control.hpp"

#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace yuccashift {

/**
 * Orders that lead from an engine's own account to the desired state. Old
 * versions are unloaded only once the engine holds everything desired.
 * Nothing where the engine has seen a newer fencing number.
 */
std::vector<EngineOrder> missingOrders(const DesiredEngineState&, const LoadReport&);

/** An engine's account and when this instance read it. */
struct EngineView {
    LoadReport report;
    Instant readAt;
};

/** Times that govern the verification of orders. */
struct OrderTiming {
    /** Accounts older than this are not acted on. */
    Duration maxReportAge = seconds(5);
    /** Wait before orders that show no effect are given again; doubles each time. */
    Duration initialRetryDelay = seconds(10);
    Duration maxRetryDelay = seconds(300);
};

/**
 * Decides which orders to give now. It acts only as the settled owner, only
 * on an account read since then, and gives an order again only when the
 * account still lacks its effect. An engine that ignores fencing numbers gets
 * one order at a time, so that each is verified before the next.
 */
class OrderPlanner {
public:
    explicit OrderPlanner(OrderTiming);

    /**
     * Orders to give now; counts them as given.
     * @param actingSince from Ownership; nothing where this instance must not act.
     */
    std::vector<EngineOrder> nextOrders(const DesiredEngineState&, const EngineView&, std::optional<Instant> actingSince, Instant now);

    /** Takes back an order that was not given, so that it is not waited for. */
    void markNotSent(const DesiredEngineState&);

    /** Forgets engines that are not in this placement. */
    void retain(const std::vector<DesiredEngineState>&);

private:
    struct Given {
        std::vector<EngineOrder> orders;
        Instant at;
        Duration wait {};
    };
    using EngineKey = std::pair<ServiceName, BackendName>;

    bool mayAct(const EngineView&, std::optional<Instant> actingSince, Instant now) const;
    Duration waitFor(const EngineKey&, const std::vector<EngineOrder>&) const;

    OrderTiming m_timing;
    std::map<EngineKey, Given> m_given;
};

} // namespace yuccashift
