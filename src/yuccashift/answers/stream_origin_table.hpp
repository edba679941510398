#pragma once

#include "yuccashift/answers/stream_software.hpp"
#include "yuccashift/kernel/clock.hpp"

#include <boost/unordered/unordered_flat_map.hpp>
#include <cstddef>
#include <cstdint>

namespace yuccashift {

/** Hash of the id of the caller's attempt that brought the first event of a stream. */
using AttemptHash = std::uint32_t;

/** The software that began each of the latest streams. Keeps an entry for `lifetime` at least, unless there are too many. */
class StreamOriginTable {
public:
    /** Entries are dropped after twice this time at the latest. */
    static constexpr Duration lifetime = seconds(30);
    /** Beyond this many entries the oldest ones are dropped sooner. */
    static constexpr std::size_t maxEntries = 32768;

    /** Records the software of a stream; the first record of an attempt stands. */
    void record(AttemptHash, SoftwareId, Instant now);
    /** 0 if the stream is unknown. */
    SoftwareId find(AttemptHash) const;
    std::size_t size() const { return m_current.size() + m_previous.size(); }

private:
    using Generation = boost::unordered_flat_map<AttemptHash, SoftwareId>;

    Generation m_current;
    Generation m_previous;
    Instant m_currentSince {};
};

} // namespace yuccashift
