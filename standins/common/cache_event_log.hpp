#pragma once

#include "standins/common/signal.hpp"

#include <boost/json/array.hpp>
#include <cstdint>
#include <deque>
#include <random>

namespace standins {

/** Log of cache events that readers see with a delay and with some events lost. */
class CacheEventLog {
public:
    CacheEventLog(Clock::duration lag, unsigned gapPercent);

    void add(std::uint64_t block, bool stored);
    /** Returns the events after this sequence number that are older than the lag. */
    boost::json::array after(std::uint64_t sequence) const;

private:
    struct Event {
        std::uint64_t sequence;
        Clock::time_point at;
        std::uint64_t block;
        bool stored;
    };

    Clock::duration m_lag;
    unsigned m_gapPercent;
    std::uint64_t m_sequence = 0;
    std::deque<Event> m_events;
    std::mt19937 m_random;
};

/** Converts a block hash to its 16 hex digits; blockFromName() is the inverse. */
std::string blockName(std::uint64_t);
std::uint64_t blockFromName(const std::string&);

} // namespace standins
