#pragma once

#include "yuccashift/kernel/clock.hpp"
#include "yuccashift/kernel/ids.hpp"
#include "yuccashift/membership/outgoing.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <utility>
#include <vector>

namespace yuccashift {

/**
 * What other regions said of themselves, passed on inside the own region.
 * An entry is passed on once, and not at all where another member was quicker.
 * Not thread safe.
 */
class SummaryRelay {
public:
    /** Takes summaries; returns those that are newer than what was known. @param direct whether they came from their region itself */
    std::vector<wire::RegionSummary> take(std::span<const wire::RegionSummary>, bool direct, Instant now);
    /** Takes a region's demands or a part of them; false where they are not newer. */
    bool take(const wire::RegionDemand&, bool direct, Instant now);

    std::vector<wire::RegionSummary> takeSummaries(std::size_t limit, Instant now);
    /** Part of one region's demands, at most `limit` of them, or nothing. */
    std::vector<wire::RegionDemand> takeDemands(std::size_t limit, Instant now);
    /** When this region was last heard of, by whatever way. */
    std::optional<Instant> heardAt(const RegionName&) const;
    void expire(Instant now);

    static constexpr std::size_t maxEntries = 8192;

private:
    template <typename Message>
    struct Entry {
        Message message;
        Instant takenAt;
        bool toPassOn = false;
        /** Parts of the message that were passed on already. */
        std::size_t passedOn = 0;
    };

    static wire::RegionDemand takePart(Entry<wire::RegionDemand>&, std::size_t limit, Instant now);

    std::map<std::pair<RegionName, ServiceName>, Entry<wire::RegionSummary>> m_summaries;
    std::map<RegionName, Entry<wire::RegionDemand>> m_demands;
    std::map<RegionName, Instant> m_heardAt;
    std::pair<RegionName, ServiceName> m_lastSummary;
    RegionName m_lastDemand;
};

} // namespace yuccashift
