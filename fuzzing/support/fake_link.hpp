#pragma once

#include "fuzzing/support/check.hpp"

#include <functional>
#include <set>
#include <utility>

namespace yuccashift::fuzzing {

/** Simulated network between numbered instances, which can delay, reorder, duplicate and lose messages. */
template <typename Message>
class FakeLink {
public:
    struct Item {
        std::size_t from = 0;
        std::size_t to = 0;
        Message message;
    };

    /** Drops the message if the two instances are partitioned from each other. */
    void send(std::size_t from, std::size_t to, Message message)
    {
        if (!isCut(from, to))
            m_items.push_back({ from, to, std::move(message) });
    }

    /** Removes and returns the pending message that `choice` selects; std::nullopt if none is pending. */
    std::optional<Item> take(std::uint32_t choice)
    {
        if (m_items.empty())
            return std::nullopt;
        const auto it = m_items.begin() + pick(choice, m_items.size());
        auto item = std::move(*it);
        m_items.erase(it);
        return item;
    }

    void lose(std::uint32_t choice) { take(choice); }

    void duplicate(std::uint32_t choice)
    {
        if (!m_items.empty())
            m_items.push_back(m_items[pick(choice, m_items.size())]);
    }

    void cut(std::size_t left, std::size_t right) { m_cuts.insert(std::minmax(left, right)); }
    void healAll() { m_cuts.clear(); }
    bool isCut(std::size_t left, std::size_t right) const { return m_cuts.contains(std::minmax(left, right)); }
    bool hasCuts() const { return !m_cuts.empty(); }
    bool empty() const { return m_items.empty(); }
    std::size_t size() const { return m_items.size(); }

private:
    std::vector<Item> m_items;
    std::set<std::pair<std::size_t, std::size_t>> m_cuts;
};

} // namespace yuccashift::fuzzing
