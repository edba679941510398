#include "standins/common/model_set.hpp"

#include "standins/common/http_server.hpp"

namespace standins {

namespace {

    constexpr unsigned statusOk = 200;
    constexpr std::chrono::milliseconds weightRetry { 200 };
    constexpr std::size_t maxKeptOrders = 4096;

    std::string field(const boost::json::object& order, std::string_view name)
    {
        const auto* value = order.if_contains(name);
        return value != nullptr && value->is_string() ? std::string(value->as_string()) : std::string();
    }

} // namespace

ModelSet::ModelSet(OrderOptions options)
    : m_options(std::move(options))
{
}

void ModelSet::addAtStart(const std::string& spec)
{
    const auto first = spec.find(':');
    const auto name = spec.substr(0, first);
    auto& model = m_models[name];
    if (first == std::string::npos)
        return;
    const auto second = spec.find(':', first + 1);
    model.version = spec.substr(first + 1, second - first - 1);
    if (second != std::string::npos)
        model.adapters.insert(spec.substr(second + 1));
}

bool ModelSet::serves(const std::string& model) const
{
    const auto colon = model.find(':');
    const auto it = m_models.find(model.substr(0, colon));
    if (it == m_models.end())
        return false;
    return colon == std::string::npos || it->second.adapters.contains(model.substr(colon + 1));
}

bool ModelSet::order(const boost::json::object& order)
{
    const auto fence = order.at("fence").to_number<std::uint64_t>();
    boost::json::object record = order;
    const bool accepted = !m_options.checksFences || fence >= m_fence;
    record["accepted"] = accepted;
    if (m_orders.size() == maxKeptOrders)
        m_orders.erase(m_orders.begin());
    m_orders.push_back(record);
    if (!accepted)
        return false;
    m_fence = std::max(m_fence, fence);
    const auto kind = field(order, "kind");
    if (kind == "load-model" || kind == "load-adapter") {
        m_loads.push_back(order);
        m_arrived.notifyAll();
    } else {
        apply(order);
    }
    return true;
}

boost::asio::awaitable<void> ModelSet::run()
{
    while (true) {
        while (m_loads.empty())
            co_await m_arrived.wait();
        const auto order = m_loads.front();
        m_loads.erase(m_loads.begin());
        co_await readWeights(field(order, "model"), field(order, "version"));
        co_await sleepFor(m_options.loadTime);
        apply(order);
    }
}

boost::asio::awaitable<void> ModelSet::readWeights(std::string model, std::string version)
{
    const auto target = std::string("/v1/weights/").append(model).append("/").append(version);
    while (!m_options.weightStore.empty()) {
        unsigned status = 0;
        try {
            const auto answer = co_await httpGet(m_options.weightStore, target);
            status = answer.first;
        } catch (const std::exception&) {
            status = 0;
        }
        if (status == statusOk)
            co_return;
        co_await sleepFor(weightRetry);
    }
}

void ModelSet::apply(const boost::json::object& order)
{
    const auto kind = field(order, "kind");
    const auto name = field(order, "model");
    if (kind == "load-model") {
        const auto version = field(order, "version");
        auto& model = m_models[name];
        if (model.version != version)
            model = { version, {} };
    } else if (kind == "load-adapter") {
        m_models[name].adapters.insert(field(order, "adapter"));
    } else if (kind == "unload-model") {
        m_models.erase(name);
    } else if (kind == "set-role") {
        m_role = field(order, "role");
    }
}

boost::json::array ModelSet::models() const
{
    boost::json::array models;
    for (const auto& [name, model] : m_models) {
        boost::json::array adapters(model.adapters.begin(), model.adapters.end());
        models.push_back({ { "name", name }, { "version", model.version }, { "adapters", std::move(adapters) } });
    }
    return models;
}

} // namespace standins
