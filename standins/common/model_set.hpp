#pragma once

#include "standins/common/signal.hpp"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace standins {

/** How an engine validates orders and executes model loads. */
struct OrderOptions {
    bool checksFences = true;
    /** Time that loading takes after the weights have been read. */
    std::chrono::milliseconds loadTime { 200 };
    /** Endpoint of the weight store; if empty, no weights are read. */
    std::string weightStore;
};

/** Models, adapters and role of an engine, which orders change. */
class ModelSet {
public:
    explicit ModelSet(OrderOptions);

    /** Adds a model at startup, without an order. The format is `name`, `name:version` or `name:version:adapter`. */
    void addAtStart(const std::string& spec);
    /** Returns whether `name` or `name:adapter` can be served. */
    bool serves(const std::string& model) const;
    /** Records an order and accepts it. Returns false if fences are checked and its fencing number is outdated. */
    bool order(const boost::json::object&);
    /** Executes accepted load orders one at a time, in an endless loop. */
    boost::asio::awaitable<void> run();

    boost::json::array models() const;
    const boost::json::array& orders() const { return m_orders; }
    std::uint64_t fence() const { return m_fence; }
    const std::string& role() const { return m_role; }

private:
    struct Model {
        std::string version;
        std::set<std::string> adapters;
    };

    boost::asio::awaitable<void> readWeights(std::string model, std::string version);
    void apply(const boost::json::object&);

    OrderOptions m_options;
    std::map<std::string, Model> m_models;
    std::vector<boost::json::object> m_loads;
    boost::json::array m_orders;
    std::uint64_t m_fence = 0;
    std::string m_role = "both";
    Signal m_arrived;
};

} // namespace standins
