#include "yuccashift/orders/order_planner.hpp"

#include <algorithm>
#include <set>

namespace yuccashift {

namespace {

    EngineOrder makeOrder(const DesiredEngineState& desired, OrderKind kind)
    {
        EngineOrder order;
        order.kind = kind;
        order.fencingToken = desired.fence;
        return order;
    }

    const ModelSpec* findVersion(const std::vector<ModelSpec>& models, const ModelSpec& desired)
    {
        const auto it = std::ranges::find_if(models, [&](const ModelSpec& model) {
            return model.name == desired.name && model.version == desired.version;
        });
        return it == models.end() ? nullptr : &*it;
    }

    bool hasAdapter(const ModelSpec& model, const std::string& adapter)
    {
        return std::ranges::find(model.adapters, adapter) != model.adapters.end();
    }

    void addLoads(const DesiredEngineState& desired, const LoadReport& report, std::vector<EngineOrder>& orders)
    {
        for (const auto& model : desired.models) {
            const auto* reported = findVersion(report.models, model);
            if (!reported) {
                auto order = makeOrder(desired, OrderKind::LoadModel);
                order.model = model.name;
                order.version = model.version;
                orders.push_back(std::move(order));
                continue;
            }
            for (const auto& adapter : model.adapters) {
                if (hasAdapter(*reported, adapter))
                    continue;
                auto order = makeOrder(desired, OrderKind::LoadAdapter);
                order.model = model.name;
                order.version = model.version;
                order.adapter = adapter;
                orders.push_back(std::move(order));
            }
        }
    }

    void addUnloads(const DesiredEngineState& desired, const LoadReport& report, std::vector<EngineOrder>& orders)
    {
        for (const auto& reported : report.models) {
            if (findVersion(desired.models, reported))
                continue;
            auto order = makeOrder(desired, OrderKind::UnloadModel);
            order.model = reported.name;
            order.version = reported.version;
            orders.push_back(std::move(order));
        }
    }

} // namespace

std::vector<EngineOrder> missingOrders(const DesiredEngineState& desired, const LoadReport& report)
{
    if (report.highestFencingToken > desired.fence)
        return {};
    std::vector<EngineOrder> orders;
    if (report.role != desired.role) {
        orders.push_back(makeOrder(desired, OrderKind::SetRole));
        orders.back().role = desired.role;
    }
    addLoads(desired, report, orders);
    if (orders.empty() && !desired.addressShared)
        addUnloads(desired, report, orders);
    return orders;
}

OrderPlanner::OrderPlanner(OrderTiming timing)
    : m_timing(timing)
{
}

bool OrderPlanner::mayAct(const EngineView& view, std::optional<Instant> actingSince, Instant now) const
{
    return actingSince && view.readAt >= *actingSince && now - view.readAt <= m_timing.maxReportAge && !view.report.leaving;
}

Duration OrderPlanner::retryDelayFor(const EngineKey& key, const std::vector<EngineOrder>& orders) const
{
    const auto it = m_sent.find(key);
    if (it == m_sent.end() || it->second.orders != orders)
        return m_timing.initialRetryDelay;
    return std::min(it->second.retryDelay * 2, m_timing.maxRetryDelay);
}

std::vector<EngineOrder> OrderPlanner::nextOrders(const DesiredEngineState& desired, const EngineView& view, std::optional<Instant> actingSince, Instant now)
{
    if (!mayAct(view, actingSince, now))
        return {};
    const EngineKey key { desired.service, desired.backend };
    auto orders = missingOrders(desired, view.report);
    if (orders.empty()) {
        m_sent.erase(key);
        return {};
    }
    if (desired.fenceMode == FenceMode::Ignored)
        orders.resize(1);
    const auto it = m_sent.find(key);
    const bool isRetry = it != m_sent.end() && it->second.orders == orders;
    if (isRetry && now - it->second.sentAt < it->second.retryDelay)
        return {};
    // A report read before the last orders were sent cannot show their effect.
    if (it != m_sent.end() && view.readAt <= it->second.sentAt)
        return {};
    m_sent[key] = { orders, now, retryDelayFor(key, orders) };
    return orders;
}

void OrderPlanner::markNotSent(const DesiredEngineState& desired)
{
    m_sent.erase({ desired.service, desired.backend });
}

void OrderPlanner::retain(const std::vector<DesiredEngineState>& placement)
{
    std::set<EngineKey> keys;
    for (const auto& engine : placement)
        keys.emplace(engine.service, engine.backend);
    std::erase_if(m_sent, [&](const auto& entry) { return !keys.contains(entry.first); });
}

} // namespace yuccashift
