#pragma once

#include "yuccashift/ports/config_source.hpp"
#include "yuccashift/ports/engine_control.hpp"
#include "yuccashift/ports/instance_list.hpp"

#include <condition_variable>
#include <map>
#include <mutex>

namespace yuccashift::fakes {

/** What the platform holds; fakes read it directly, PlatformServer serves it over HTTP. Thread safe. */
class PlatformModel {
public:
    struct Published {
        Revision revision = 0;
        std::string text;
    };

    /** A service that is down answers nothing. */
    void setDown(bool down)
    {
        const std::lock_guard lock(m_mutex);
        m_down = down;
    }

    bool isDown() const
    {
        const std::lock_guard lock(m_mutex);
        return m_down;
    }

    void publish(const ServiceName& service, Revision revision, std::string text)
    {
        const std::lock_guard lock(m_mutex);
        m_documents[service] = { revision, std::move(text) };
        ++m_index;
        m_changed.notify_all();
    }

    ConfigListing list() const
    {
        const std::lock_guard lock(m_mutex);
        return listLocked();
    }

    std::optional<std::string> text(const ServiceName& service) const
    {
        const std::lock_guard lock(m_mutex);
        const auto it = m_documents.find(service);
        return it == m_documents.end() ? std::nullopt : std::optional(it->second.text);
    }

    /** The listing once its index exceeds this one or the wait has passed. */
    ConfigListing waitFor(std::uint64_t index, Duration wait)
    {
        std::unique_lock lock(m_mutex);
        m_changed.wait_for(lock, wait, [&] { return m_index > index; });
        return listLocked();
    }

    InstanceListing listing;
    LoadReport report;
    std::vector<CacheEvent> events;
    bool checksFences = true;
    std::vector<EngineOrder> orders;

    /** Events after this number; the missing ones leave gaps. */
    std::vector<CacheEvent> eventsAfter(std::uint64_t sequence) const
    {
        std::vector<CacheEvent> later;
        for (const auto& event : events) {
            if (event.sequence > sequence)
                later.push_back(event);
        }
        return later;
    }

    /** False for an old fencing number where these are checked. */
    bool take(const EngineOrder& order)
    {
        const std::lock_guard lock(m_mutex);
        if (checksFences && order.fencingToken < report.highestFencingToken)
            return false;
        if (checksFences)
            report.highestFencingToken = order.fencingToken;
        orders.push_back(order);
        return true;
    }

private:
    ConfigListing listLocked() const
    {
        ConfigListing listing { m_index, {} };
        for (const auto& [service, published] : m_documents)
            listing.documents.push_back({ service, published.revision });
        return listing;
    }

    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    bool m_down = false;
    std::uint64_t m_index = 0;
    std::map<ServiceName, Published> m_documents;
};

} // namespace yuccashift::fakes
