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
 * Orders that bring an engine from its reported state to the desired state. Old
 * versions are unloaded only once the engine holds everything desired. Empty if
 * the engine has seen a newer fencing number.
 */
std::vector<EngineOrder> missingOrders(const DesiredEngineState&, const LoadReport&);

/** The report of an engine and when this instance read it. */
struct EngineView {
    LoadReport report;
    Instant readAt;
};

/** Times that control the verification and retry of orders. */
struct OrderTiming {
    /** Reports older than this are not acted on. */
    Duration maxReportAge = seconds(5);
    /** Delay before orders without effect are sent again; doubles with each retry. */
    Duration initialRetryDelay = seconds(10);
    /** Upper limit of the delay between retries. */
    Duration maxRetryDelay = seconds(300);
};

/**
 * Decides which orders to send to an engine. Orders are sent only while this instance
 * is the settled owner of the engine, only on the basis of a report read since it
 * became so, and again only if the report still lacks their effect. An engine that
 * ignores fencing numbers gets one order at a time, so that each is verified before
 * the next.
 */
class OrderPlanner {
public:
    explicit OrderPlanner(OrderTiming);

    /**
     * Returns the orders to send now and records them as sent.
     * @param actingSince result of Ownership::actingSince(); std::nullopt if this instance must not act
     */
    std::vector<EngineOrder> nextOrders(const DesiredEngineState&, const EngineView&, std::optional<Instant> actingSince, Instant now);

    /** Discards the record of an engine's orders because one was not sent, so that the next call does not wait for its effect. */
    void markNotSent(const DesiredEngineState&);

    /** Discards the records of engines that are not in this placement. */
    void retain(const std::vector<DesiredEngineState>&);

private:
    struct SentOrders {
        std::vector<EngineOrder> orders;
        Instant sentAt;
        Duration retryDelay {};
    };
    using EngineKey = std::pair<ServiceName, BackendName>;

    bool mayAct(const EngineView&, std::optional<Instant> actingSince, Instant now) const;
    Duration retryDelayFor(const EngineKey&, const std::vector<EngineOrder>&) const;

    OrderTiming m_timing;
    std::map<EngineKey, SentOrders> m_sent;
};

} // namespace yuccashift
