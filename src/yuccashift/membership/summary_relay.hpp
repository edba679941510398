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
 * Relays the summaries and demands of other regions inside the own region. An
 * entry is relayed once, and not at all if another member relayed it before.
 * Not thread safe.
 */
class SummaryRelay {
public:
    /**
     * Returns the summaries that are newer than those known before.
     * @param direct whether they came from their region itself, in which case they are relayed
     */
    std::vector<wire::RegionSummary> acceptSummaries(std::span<const wire::RegionSummary>, bool direct, Instant now);
    /**
     * Accepts a region's demands, or a part of them that a member relayed. Returns false
     * if they are too old or, if `direct`, not newer than those known before.
     */
    bool acceptDemand(const wire::RegionDemand&, bool direct, Instant now);

    /** Returns at most `limit` summaries that are still to be relayed, and marks them as relayed. */
    std::vector<wire::RegionSummary> takeSummaries(std::size_t limit, Instant now);
    /** Returns the next part, at most `limit` entries, of one region's demands; an empty vector if nothing is to be relayed. */
    std::vector<wire::RegionDemand> takeDemands(std::size_t limit, Instant now);
    /** Creation time of the newest summary of a region, direct or relayed; std::nullopt if there is none. */
    std::optional<Instant> heardAt(const RegionName&) const;
    /** Removes entries that are too old to be used. */
    void expire(Instant now);

    static constexpr std::size_t maxEntries = 8192;

private:
    template <typename Message>
    struct Entry {
        Message message;
        Instant createdAt;
        bool pending = false;
        /** Number of the message's demands that were already relayed. */
        std::size_t relayedCount = 0;
    };

    static wire::RegionDemand takeNextPart(Entry<wire::RegionDemand>&, std::size_t limit, Instant now);

    std::map<std::pair<RegionName, ServiceName>, Entry<wire::RegionSummary>> m_summaries;
    std::map<RegionName, Entry<wire::RegionDemand>> m_demands;
    std::map<RegionName, Instant> m_heardAt;
    std::pair<RegionName, ServiceName> m_lastSummary;
    RegionName m_lastDemand;
};

} // namespace yuccashift
