#pragma once

#include "yuccashift/ports/config_source.hpp"
#include "yuccashift/ports/engine_control.hpp"
#include "yuccashift/ports/instance_list.hpp"

#include <condition_variable>
#include <map>
#include <mutex>

namespace yuccashift::fakes {

/** State of the simulated platform. Fakes read it directly; PlatformServer serves it over HTTP. Thread safe. */
class PlatformModel {
public:
    struct Published {
        Revision revision = 0;
        std::string text;
    };

    /** While the platform is down, fakes return an error and PlatformServer closes its connections without answering. */
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

    /** Waits until the index exceeds `index` or `wait` has passed, then returns the listing. */
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

    /** Events with a higher sequence number than `sequence`; missing events are not filled in. */
    std::vector<CacheEvent> eventsAfter(std::uint64_t sequence) const
    {
        std::vector<CacheEvent> later;
        for (const auto& event : events) {
            if (event.sequence > sequence)
                later.push_back(event);
        }
        return later;
    }

    /** Accepts an order; returns false if fencing numbers are checked and the order's is outdated. */
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
