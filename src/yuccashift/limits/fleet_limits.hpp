#pragma once

#include "yuccashift/kernel/clock.hpp"
#include "yuccashift/kernel/ids.hpp"

#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace yuccashift {

/** Short hash of an organisation's name, by which reports name it. */
using OrganisationKey = std::uint64_t;

OrganisationKey organisationKey(std::string_view name);

/** Limit of one organisation over all instances together. */
struct FleetLimit {
    /** Tokens per second, or requests, as the configuration counts. */
    double perSecond = 0;
    /** Tokens that may be used at once after a time of less use. */
    double burst = 0;
    bool operator==(const FleetLimit&) const = default;
};

/** By how much all instances together may exceed a limit in any window, since they know of each other late. */
struct LimitTolerance {
    Duration window = seconds(8);
    /** Part of what the limit allows in the window. */
    double overage = 0;
    /** Tokens on top of that. */
    double slack = 0;
};

/** What an instance, or all instances of a region, were asked for and admitted since the report before. */
struct UsageRate {
    OrganisationKey organisation = 0;
    /** Tokens per second. */
    double demanded = 0;
    double admitted = 0;
};

/** Which bound refused a request. */
enum class LimitBound : std::uint8_t {
    None,
    /** This instance has used its share. */
    Share,
    /** All instances together have used the limit, as far as this one knows. */
    Fleet,
};

std::string_view toString(LimitBound);

/** The decision on one request, with what it rests on. */
struct LimitDecision {
    LimitBound bound = LimitBound::None;
    /** Time until there is room for this caller, after those that were refused before it. */
    Duration retryAfter {};
    /** Part of the limit that is this instance's. */
    double share = 0;
    /** Tokens per second that callers demand here, and at all instances. */
    double ownDemand = 0;
    double fleetDemand = 0;
    /** Tokens per second that the others are charged with. */
    double othersUse = 0;
    /** Tokens left of the fleet's limit, as far as this instance knows; negative after overuse. */
    double balance = 0;
    /** Age of the oldest report that the decision rests on. */
    Duration oldestReport {};

    bool admitted() const { return bound == LimitBound::None; }
};

/**
 * Keeps organisations to limits that hold over all instances together, with no
 * shared state. Each instance keeps a copy of one token bucket of the whole
 * fleet, charged with its own requests at once and with those of the others by
 * the rates that they report. How far an instance may go ahead of the reports is
 * bounded by a bucket of its own, which gets the instance's share of the limit:
 * its part of all demand. One that is not heard any more keeps what it used.
 * Requests are admitted while both balances are positive, and may exceed them
 * once, so that large requests do not starve where shares are small.
 */
class FleetLimits {
public:
    explicit FleetLimits(Instant startedAt, LimitTolerance = {});

    /** Sets the time between reports to the own region, and the number of instances known, with this one. */
    void setFleet(Duration reportInterval, std::size_t instances);

    /**
     * Decides on a request, and charges it if it is admitted. A limit of zero per second admits all.
     * @param draw a random number in [0, 1), by which requests are chosen while there are too many
     */
    LimitDecision admit(OrganisationKey, const FleetLimit&, double cost, double draw, Instant now);
    /** Gives back what an admitted request was charged, since it never ran. */
    void giveBack(OrganisationKey, double cost, Instant now);

    /**
     * Ends an interval and returns what to report of it to the own region: first what changed
     * most, then what was reported longest ago. To be called once in every report interval.
     */
    std::vector<UsageRate> takeReport(std::size_t maxCount, Instant now);
    /** Sums of the own region, for other regions. */
    std::vector<UsageRate> regionReport(std::size_t maxCount, Instant now);
    /** Number of instances that the sums of the own region cover. */
    std::size_t regionSources(Instant now) const;

    /** Takes the report of an instance of the own region. A new incarnation has used nothing. */
    void onInstanceReport(const InstanceId&, Incarnation, std::span<const UsageRate>, Instant now);
    /** Takes the sums of another region. Those that cover far fewer instances than others of late are ignored. */
    void onRegionReport(const RegionName&, std::size_t sources, std::span<const UsageRate>, Instant now);

    /** Forgets what is idle, and instances and regions that have been silent for long. To be called about once a second. */
    void expire(Instant now);

    std::size_t organisations() const { return m_entries.size(); }
    /** Reported rates that are held, of all organisations. */
    std::size_t heldRates() const;
    /** Regions and instances of the own region that are not heard and keep what they used. */
    std::size_t silentParties(Instant now) const;

private:
    /** An instance of the own region, or another region. */
    struct Party {
        std::uint64_t id = 0;
        Incarnation incarnation = 0;
        bool isRegion = false;
        /** Instances that the sums of the region covered, and when that was last said. */
        std::size_t sources = 0;
        Instant sourcesAt;
        Instant heardAt;
    };
    struct PartyRate {
        std::uint32_t party = 0;
        float admitted = 0;
        float meanDemanded = 0;
        /** Smoothed over some seconds; what is kept for one that is not heard. */
        float usualAdmitted = 0;
        /** The same of all together, at the time of a region's report. */
        float fleetUsual = 0;
        /** Balance at that time, and what is kept of it for the region while it is not heard. */
        float balance = 0;
        float reservedBurst = 0;
        Instant reportedAt;
    };
    /** How an organisation was last in a report. */
    struct Sent {
        double demanded = 0;
        Instant at;
        /** When it was last reported with a demand. */
        Instant activeAt;
    };
    struct Entry {
        FleetLimit limit;
        double balance = 0;
        double shareBalance = 0;
        Instant settledAt;
        Instant usedAt;
        /** Own tokens that are not reported yet; given back ones may make the second negative. */
        double demandedTokens = 0;
        double admittedTokens = 0;
        /** Own rates as they were reported; the means are smoothed. */
        double meanDemanded = 0;
        double meanAdmitted = 0;
        double lastAdmitted = 0;
        double usualAdmitted = 0;
        /** Of the costs of requests. */
        double meanCost = 0;
        double meanSquareCost = 0;
        /** Sums over the others. */
        double othersDemanded = 0;
        /** Demand of all, smoothed over some seconds. */
        double usualDemand = 0;
        double othersCharged = 0;
        /** Part of the burst that is not kept for regions that are not heard. */
        double burstPart = 1;
        /** When callers that were refused before are expected to have been served. */
        Instant roomAt;
        Sent sent;
        Sent sentToRegions;
        std::vector<PartyRate> rates;
    };

    struct Candidate {
        OrganisationKey key = 0;
        UsageRate rate;
        Sent* sent = nullptr;
        double relativeChange = 0;
    };

    bool listening(Instant now) const;
    bool isSilent(const Party&, Instant now) const;
    std::uint32_t partyIndex(std::uint64_t id, bool isRegion, Instant now);
    void dropRatesOf(std::uint32_t party, Instant now);
    void applyRates(std::uint32_t party, std::span<const UsageRate>, Instant now);
    void setLimit(Entry&, const FleetLimit&, Instant now) const;
    /** Brings the balances up to date; to be called before anything changes that they depend on. */
    void settle(Entry&, Instant now) const;
    /** Recalculates the sums over the others. */
    void sumOthers(Entry&, Instant now) const;
    static void reserveBurst(Entry&, PartyRate&, bool silent, Instant now);
    static double fleetUsual(const Entry&);
    double shareOf(const Entry&, Instant now) const;
    /** Most that an instance with this share may go ahead of its reports. */
    double shareDepth(const Entry&, double share) const;
    /** How far an instance may go into debt of its share while the fleet's balance is well filled. */
    double aheadOfShare(const Entry&, double share) const;
    /** Overuse at which nothing is admitted any more. */
    static double stopAt(const Entry&);
    /** Factor by which the shares shrink after overuse and grow while there is room. */
    static double shareFactor(const Entry&);
    /** Part of the requests that is admitted while more is demanded than the limit. */
    double partInOverload(const Entry&, double fleetDemand) const;
    /** Cost of the request to which a token usually belongs. */
    static double usualCost(const Entry&);
    /** Burst that is granted: that of the limit, and the part of the tolerance that reports which come late leave unused. */
    double burstOf(const Entry&) const;
    static Duration waitOfRefused(Entry&, double cost, double share, Instant now);
    UsageRate ownRate(OrganisationKey, const Entry&, Instant now) const;
    UsageRate regionRate(OrganisationKey, const Entry&, Instant now) const;
    static void addCandidate(std::vector<Candidate>&, const UsageRate&, double mean, Sent&, Duration zerosFor, Instant now);
    static std::vector<Candidate> select(std::vector<Candidate>, std::size_t maxCount, Instant now);

    Instant m_startedAt;
    LimitTolerance m_tolerance;
    Duration m_reportInterval;
    std::size_t m_instances = 1;
    Instant m_lastReportAt;
    std::unordered_map<OrganisationKey, Entry> m_entries;
    std::vector<Party> m_parties;
    std::unordered_map<std::uint64_t, std::uint32_t> m_partyById;
};

} // namespace yuccashift
