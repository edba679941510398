#pragma once

#include "review/stage/net.hpp"

#include <condition_variable>
#include <deque>
#include <map>

namespace stage {

/** The platform's metadata store, as far as the system reads it: pages and watches, one era, the whole history. */
class Store {
public:
    explicit Store(const std::string& ip);
    ~Store();
    Store(const Store&) = delete;
    Store& operator=(const Store&) = delete;

    std::uint16_t port() const { return m_server.port(); }
    void put(const std::string& key, const std::string& value);
    void remove(const std::string& key);
    /** While it is down, the store answers all calls with 503, those that wait included. */
    void setDown(bool down);

private:
    struct Change {
        std::string key;
        std::optional<std::string> value;
        std::int64_t revision = 0;
    };

    void serve(Connection& connection);
    std::string page(const std::string& after);
    bool isDown();
    std::string eventsAfter(std::int64_t after, std::chrono::milliseconds wait);
    void write(const std::string& key, std::optional<std::string> value);

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, std::pair<std::string, std::int64_t>> m_items;
    std::deque<Change> m_history;
    std::int64_t m_revision = 1;
    bool m_stopping = false;
    bool m_down = false;
    Server m_server;
};

} // namespace stage
