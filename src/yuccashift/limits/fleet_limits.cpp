#include "yuccashift/limits/fleet_limits.hpp"

#include "yuccashift/kernel/hash.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace yuccashift {

namespace {

    using Seconds = std::chrono::duration<double>;

    /** Bits of a key; a few bytes in a report, and few enough collisions among tens of thousands of names. */
    constexpr unsigned keyBits = 40;
    /** An instance has heard of all others this long after its start. */
    constexpr Duration listeningTime = seconds(2);
    /** Until then it takes at most this many times an equal part. */
    constexpr double listeningShare = 4;
    /** Before the first heartbeats of the others have come, it assumes at least this many instances. */
    constexpr Duration deafTime = milliseconds(500);
    constexpr std::size_t minAssumedInstances = 16;
    /** Part of an even division that each instance keeps without any demand. */
    constexpr double idlePart = 0.1;
    /** Time constant of the demand by which the limit is divided, in seconds. */
    constexpr double smoothingTime = 0.7;
    /** The same for what is usual before a split, which may begin together with a jump of the demand; times the constant above. */
    constexpr double usualTime = 8;
    /** Requests that an instance may admit ahead of its share; arrivals at one of many instances come in clumps. */
    constexpr double requestsAhead = 3;
    /** Part of the burst from which on the fleet's balance lets an instance go further ahead of its share, */
    constexpr double wellFilled = 0.5;
    /** by as much again, and by this many requests. */
    constexpr double requestsInRoom = 6;
    /** Demand over the limit from which on all admit the same part of it; less may be chance, where requests are few. */
    constexpr double overload = 1.5;
    /** Part of the tolerance that is granted as burst; the rest is for what the others admit before a report of it comes. */
    constexpr double grantedTolerance = 0.2;
    /** Overuse, in seconds of the limit, at which nothing is admitted any more. */
    constexpr double stopDebt = 0.5;
    /** The same in requests; a limit of few requests a second is exceeded by each of them. */
    constexpr double requestsInDebt = 4;
    constexpr double maxRequestDebt = 1;
    /** Overuse at which the shares would end; they shrink in proportion, so that all instances slow down together. */
    constexpr double fadingDebt = 2;
    /** Overuse beyond this is forgiven; what is told of a peer's past may be wrong by a report. */
    constexpr double maxDebt = 6;
    /** The shares grow at most by this factor where the balance has room. */
    constexpr double maxShareFactor = 2;
    /** Part of the room left, which is nobody's, that goes to regions that are not heard. */
    constexpr double silentRoomPart = 0.9;
    /** What a silent instance or region used stays reserved for it; longer than splits and than any window of interest. */
    constexpr Duration silentHold = seconds(12);
    constexpr Duration minSilence = milliseconds(1500);
    constexpr int silenceIntervals = 5;
    /** Reports come at random from other regions, about one in an interval; a longer gap is rare. */
    constexpr Duration minRegionSilence = milliseconds(800);
    constexpr int regionSilenceIntervals = 4;
    /** A region that is heard again after this time was not cut off. */
    constexpr Duration shortGap = seconds(2);
    /** A rate that nobody reports any more ends after this time, and so does an organisation's state without any use. */
    constexpr Duration rateLifetime = seconds(60);
    /** An ended demand is reported as zero for this long, in case reports are lost. */
    constexpr int zeroIntervals = 4;
    constexpr Duration regionZeros = seconds(20);
    /** Relative change from which a demand is reported before others. */
    constexpr double significantChange = 0.25;
    /** Sums that cover less than this part of the instances that others covered lately are those of a newcomer. */
    constexpr double minSourcesPart = 0.5;
    /** Organisations that are known only by reports, at most. */
    constexpr std::size_t maxOrganisations = 16384;
    constexpr Duration maxWait = seconds(30);
    /** Weight of one request in the mean of their costs. */
    constexpr double costWeight = 1.0 / 16;

    double secondsBetween(Instant from, Instant to)
    {
        return std::max(0.0, Seconds(to - from).count());
    }

    double smoothed(double mean, double value, double elapsed)
    {
        return mean + (value - mean) * (1 - std::exp(-elapsed / smoothingTime));
    }

} // namespace

OrganisationKey organisationKey(std::string_view name)
{
    return hash64(name) >> (64 - keyBits);
}

std::string_view toString(LimitBound bound)
{
    switch (bound) {
    case LimitBound::None:
        return "none";
    case LimitBound::Share:
        return "share";
    case LimitBound::Fleet:
        return "fleet";
    }
    return "none";
}

FleetLimits::FleetLimits(Instant startedAt, LimitTolerance tolerance)
    : m_startedAt(startedAt)
    , m_tolerance(tolerance)
    , m_reportInterval(milliseconds(100))
    , m_lastReportAt(startedAt)
{
}

void FleetLimits::setFleet(Duration reportInterval, std::size_t instances)
{
    m_reportInterval = reportInterval;
    m_instances = std::max<std::size_t>(1, instances);
}

bool FleetLimits::listening(Instant now) const
{
    return now - m_startedAt < listeningTime;
}

bool FleetLimits::isSilent(const Party& party, Instant now) const
{
    return now - party.heardAt > (party.isRegion ? std::max(minRegionSilence, m_reportInterval * regionSilenceIntervals) : std::max(minSilence, m_reportInterval * silenceIntervals));
}

double FleetLimits::burstOf(const Entry& entry) const
{
    const double allowed = entry.limit.perSecond * Seconds(m_tolerance.window).count() + entry.limit.burst;
    return entry.burstPart * (entry.limit.burst + grantedTolerance * (allowed * m_tolerance.overage + m_tolerance.slack));
}

double FleetLimits::stopAt(const Entry& entry)
{
    const double perSecond = entry.limit.perSecond;
    return entry.burstPart * std::max(stopDebt * perSecond, std::min(requestsInDebt * usualCost(entry), maxRequestDebt * perSecond));
}

double FleetLimits::shareFactor(const Entry& entry)
{
    return std::clamp(1 + entry.balance / (fadingDebt * entry.limit.perSecond), 0.0, maxShareFactor);
}

// Where many instances get a request each now and then, their own balances hold none of them back. While more is demanded
// than the limit, they admit the same part of all requests, whatever their size, rather than all or none by turns.
double FleetLimits::partInOverload(const Entry& entry, double fleetDemand) const
{
    const double threshold = overload * entry.limit.perSecond;
    const bool lasting = entry.usualDemand > threshold && entry.balance < wellFilled * burstOf(entry);
    const bool certain = fleetDemand > threshold && entry.balance < -stopAt(entry) / 2;
    return lasting || certain ? std::min(1.0, entry.limit.perSecond * shareFactor(entry) / std::max(fleetDemand, 1.0)) : 1;
}

double FleetLimits::usualCost(const Entry& entry)
{
    return entry.meanCost > 0 ? entry.meanSquareCost / entry.meanCost : 0;
}

double FleetLimits::aheadOfShare(const Entry& entry, double share) const
{
    const double fullness = burstOf(entry) <= 0 ? 0 : std::clamp(entry.balance / (wellFilled * burstOf(entry)), 0.0, 1.0);
    return fullness * std::max(share * burstOf(entry), requestsInRoom * usualCost(entry));
}

double FleetLimits::shareDepth(const Entry& entry, double share) const
{
    return std::max(share * entry.limit.burst, requestsAhead * usualCost(entry));
}

// The own demand counts as it was reported, so that the shares of all instances add up to one at any time: a demand that
// jumps everywhere at once gives nobody more.
double FleetLimits::shareOf(const Entry& entry, Instant now) const
{
    const double even = 1 / static_cast<double>(m_instances);
    const double total = entry.meanDemanded + entry.othersDemanded;
    const double share = total <= 0 ? even : even * idlePart + (1 - idlePart) * entry.meanDemanded / total;
    if (!listening(now))
        return share;
    const bool deaf = now - m_startedAt < deafTime;
    const auto assumed = deaf ? std::max(m_instances, minAssumedInstances) : m_instances;
    return std::min(share, std::min(1.0, listeningShare / static_cast<double>(assumed)));
}

void FleetLimits::settle(Entry& entry, Instant now) const
{
    const double elapsed = secondsBetween(entry.settledAt, now);
    entry.settledAt = std::max(entry.settledAt, now);
    const double perSecond = entry.limit.perSecond;
    if (perSecond <= 0 || elapsed <= 0)
        return;
    entry.usualDemand = smoothed(entry.usualDemand, entry.meanDemanded + entry.othersDemanded, elapsed / usualTime);
    const double factor = shareFactor(entry);
    const double share = shareOf(entry, now);
    const double deepestDebt = std::max(maxDebt * share * perSecond, requestsInDebt * usualCost(entry));
    entry.shareBalance = std::clamp(entry.shareBalance + share * perSecond * factor * elapsed, -deepestDebt, shareDepth(entry, share));
    entry.balance = std::clamp(entry.balance + (perSecond - entry.othersCharged) * elapsed, -std::max(maxDebt * perSecond, requestsInDebt * usualCost(entry)), std::max(0.0, burstOf(entry)));
}

// A silent instance has most likely stopped, and is charged what it used. A silent region is most likely cut off and goes
// on: it also gets half of its part of the room that is left, and its part of the burst, so that the sides of a split
// stay in the bound together.
void FleetLimits::sumOthers(Entry& entry, Instant now) const
{
    entry.othersDemanded = 0;
    entry.othersCharged = 0;
    entry.burstPart = 1;
    for (auto& rate : entry.rates) {
        const auto& party = m_parties[rate.party];
        const bool silent = isSilent(party, now);
        if (party.isRegion)
            reserveBurst(entry, rate, silent, now);
        entry.othersDemanded += rate.meanDemanded;
        entry.othersCharged += silent ? rate.usualAdmitted : rate.admitted;
        if (!silent || !party.isRegion || rate.fleetUsual <= 0)
            continue;
        const double part = rate.usualAdmitted / rate.fleetUsual;
        entry.burstPart = std::max(0.0, entry.burstPart - part);
        entry.othersCharged += silentRoomPart * part * std::max(0.0, entry.limit.perSecond - rate.fleetUsual);
    }
}

// What was left of the burst when the region was last heard belongs to it in part, and both sides may be using it. It is
// given back after a short gap in the reports.
void FleetLimits::reserveBurst(Entry& entry, PartyRate& rate, bool silent, Instant now)
{
    if (silent && rate.reservedBurst <= 0 && rate.fleetUsual > 0) {
        rate.reservedBurst = rate.balance * rate.usualAdmitted / rate.fleetUsual;
        entry.balance -= rate.reservedBurst;
    } else if (!silent && rate.reservedBurst > 0) {
        if (now - rate.reportedAt < shortGap)
            entry.balance += rate.reservedBurst;
        rate.reservedBurst = 0;
    }
}

double FleetLimits::fleetUsual(const Entry& entry)
{
    return std::accumulate(entry.rates.begin(), entry.rates.end(), entry.usualAdmitted, [](double sum, const PartyRate& it) { return sum + it.usualAdmitted; });
}

void FleetLimits::setLimit(Entry& entry, const FleetLimit& limit, Instant now) const
{
    if (entry.limit == limit)
        return;
    const bool isNew = entry.limit.perSecond <= 0;
    entry.limit = limit;
    sumOthers(entry, now);
    if (!isNew) {
        entry.balance = std::min(entry.balance, burstOf(entry));
        return;
    }
    // What a process that has just started would grant may have been used by its predecessor.
    const bool knowsOthers = !listening(now);
    entry.balance = knowsOthers ? burstOf(entry) * std::clamp(1 - entry.othersCharged / limit.perSecond, 0.0, 1.0) : 0;
    entry.shareBalance = knowsOthers ? shareDepth(entry, shareOf(entry, now)) : usualCost(entry);
}

LimitDecision FleetLimits::admit(OrganisationKey organisation, const FleetLimit& limit, double cost, double draw, Instant now)
{
    LimitDecision decision;
    if (limit.perSecond <= 0)
        return decision;
    auto& entry = m_entries[organisation];
    settle(entry, now);
    entry.meanCost += (cost - entry.meanCost) * costWeight;
    entry.meanSquareCost += (cost * cost - entry.meanSquareCost) * costWeight;
    setLimit(entry, limit, now);
    entry.demandedTokens += cost;
    entry.usedAt = now;
    decision.share = shareOf(entry, now);
    decision.ownDemand = entry.meanDemanded;
    decision.othersUse = entry.othersCharged;
    decision.fleetDemand = entry.meanDemanded + entry.othersDemanded;
    if (entry.balance <= -stopAt(entry) || draw >= partInOverload(entry, decision.fleetDemand))
        decision.bound = LimitBound::Fleet;
    else if (entry.shareBalance < -aheadOfShare(entry, decision.share))
        decision.bound = LimitBound::Share;
    if (decision.admitted()) {
        entry.balance -= cost;
        entry.shareBalance -= cost;
        entry.admittedTokens += cost;
    } else {
        decision.retryAfter = waitOfRefused(entry, cost, decision.share, now);
        for (const auto& rate : entry.rates)
            decision.oldestReport = std::max(decision.oldestReport, now - rate.reportedAt);
    }
    decision.balance = entry.balance;
    return decision;
}

// The refused form a queue in time: each is told when its tokens fit after those of the ones before it, so that they do
// not come back together. Where few requests meet, the instance's part of the limit is estimated with this request in it.
Duration FleetLimits::waitOfRefused(Entry& entry, double cost, double share, Instant now)
{
    const double perSecond = entry.limit.perSecond;
    const double own = std::max(entry.meanDemanded, cost);
    const double rate = perSecond * std::max(share, own / (own + entry.othersDemanded));
    const double longestWait = Seconds(maxWait).count();
    const double fleetWait = std::max(0.0, -stopAt(entry) - entry.balance) / perSecond;
    const double shareWait = std::max(0.0, -entry.shareBalance) / rate;
    const auto room = now + std::chrono::duration_cast<Duration>(Seconds(std::min(std::max(fleetWait, shareWait), longestWait)));
    entry.roomAt = std::min(std::max(entry.roomAt, room), now + maxWait) + std::chrono::duration_cast<Duration>(Seconds(std::min(cost / rate, longestWait)));
    return std::min<Duration>(entry.roomAt - now, maxWait);
}

void FleetLimits::giveBack(OrganisationKey organisation, double cost, Instant now)
{
    const auto it = m_entries.find(organisation);
    if (it == m_entries.end())
        return;
    auto& entry = it->second;
    settle(entry, now);
    entry.balance = std::min(entry.balance + cost, std::max(0.0, burstOf(entry)));
    entry.shareBalance = std::min(entry.shareBalance + cost, shareDepth(entry, shareOf(entry, now)));
    entry.admittedTokens -= cost;
}

UsageRate FleetLimits::ownRate(OrganisationKey key, const Entry& entry, Instant now) const
{
    // The others charge a rate until the next report, so that it covers the time since the last one.
    const auto since = entry.sent.demanded > 0 ? entry.sent.at : m_lastReportAt;
    const double elapsed = secondsBetween(since, std::max(now, since + m_reportInterval));
    return { key, entry.demandedTokens / elapsed, std::max(0.0, entry.admittedTokens) / elapsed };
}

UsageRate FleetLimits::regionRate(OrganisationKey key, const Entry& entry, Instant now) const
{
    UsageRate sum { key, entry.meanDemanded, entry.lastAdmitted };
    for (const auto& rate : entry.rates) {
        const auto& party = m_parties[rate.party];
        if (party.isRegion)
            continue;
        sum.demanded += rate.meanDemanded;
        sum.admitted += isSilent(party, now) ? rate.usualAdmitted : rate.admitted;
    }
    return sum;
}

void FleetLimits::addCandidate(std::vector<Candidate>& candidates, const UsageRate& rate, double mean, Sent& sent, Duration zerosFor, Instant now)
{
    // A mean fades and never reaches zero.
    const bool isActive = rate.demanded >= 1 || rate.admitted >= 1;
    // What the others were told last stands until they are told of its end, and their mean fades only with reports.
    const bool isHeldByOthers = sent.demanded >= 1 || mean >= 1;
    if (!isActive && !isHeldByOthers && now - sent.activeAt > zerosFor)
        return;
    const double change = std::abs(rate.demanded - sent.demanded) / std::max({ rate.demanded, sent.demanded, 1.0 });
    candidates.push_back({ rate.organisation, rate, &sent, change >= significantChange ? change : 0 });
}

// Half of the room is for what changed, the rest for what was reported longest ago, so that nothing waits for ever.
std::vector<FleetLimits::Candidate> FleetLimits::select(std::vector<Candidate> candidates, std::size_t maxCount, Instant now)
{
    if (candidates.size() > maxCount) {
        const auto changed = candidates.begin() + static_cast<std::ptrdiff_t>(maxCount / 2);
        const auto end = candidates.begin() + static_cast<std::ptrdiff_t>(maxCount);
        std::ranges::nth_element(candidates, changed, std::greater {}, &Candidate::relativeChange);
        std::nth_element(changed, end, candidates.end(), [](const Candidate& left, const Candidate& right) { return left.sent->at < right.sent->at; });
        candidates.erase(end, candidates.end());
    }
    for (const auto& it : candidates) {
        it.sent->at = now;
        it.sent->demanded = it.rate.demanded;
        if (it.rate.demanded >= 1 || it.rate.admitted >= 1)
            it.sent->activeAt = now;
    }
    return candidates;
}

std::vector<UsageRate> FleetLimits::takeReport(std::size_t maxCount, Instant now)
{
    std::vector<Candidate> candidates;
    for (auto& [key, entry] : m_entries)
        addCandidate(candidates, ownRate(key, entry, now), entry.meanDemanded, entry.sent, m_reportInterval * zeroIntervals, now);
    std::vector<UsageRate> report;
    for (const auto& it : select(std::move(candidates), maxCount, now)) {
        auto& entry = m_entries[it.key];
        settle(entry, now);
        const double elapsed = secondsBetween(m_lastReportAt, now);
        entry.meanDemanded = smoothed(entry.meanDemanded, it.rate.demanded, elapsed);
        entry.meanAdmitted = smoothed(entry.meanAdmitted, it.rate.admitted, elapsed);
        entry.usualAdmitted = smoothed(entry.usualAdmitted, it.rate.admitted, elapsed / usualTime);
        entry.lastAdmitted = it.rate.admitted;
        entry.demandedTokens = 0;
        entry.admittedTokens = std::min(0.0, entry.admittedTokens);
        report.push_back(it.rate);
    }
    m_lastReportAt = now;
    return report;
}

std::vector<UsageRate> FleetLimits::regionReport(std::size_t maxCount, Instant now)
{
    std::vector<Candidate> candidates;
    for (auto& [key, entry] : m_entries)
        addCandidate(candidates, regionRate(key, entry, now), 0, entry.sentToRegions, regionZeros, now);
    std::vector<UsageRate> report;
    for (const auto& it : select(std::move(candidates), maxCount, now))
        report.push_back(it.rate);
    return report;
}

std::size_t FleetLimits::regionSources(Instant now) const
{
    return 1 + static_cast<std::size_t>(std::ranges::count_if(m_partyById, [&](const auto& it) {
        const auto& party = m_parties[it.second];
        return !party.isRegion && !isSilent(party, now);
    }));
}

std::uint32_t FleetLimits::partyIndex(std::uint64_t id, bool isRegion, Instant now)
{
    const auto known = m_partyById.find(id);
    if (known != m_partyById.end())
        return known->second;
    const auto unused = std::ranges::find(m_parties, std::uint64_t { 0 }, &Party::id);
    const auto index = static_cast<std::uint32_t>(unused - m_parties.begin());
    if (unused == m_parties.end())
        m_parties.emplace_back();
    auto& party = m_parties[index];
    party = {};
    party.id = id;
    party.isRegion = isRegion;
    party.heardAt = now;
    m_partyById[id] = index;
    return index;
}

void FleetLimits::dropRatesOf(std::uint32_t party, Instant now)
{
    for (auto& [key, entry] : m_entries) {
        settle(entry, now);
        if (std::erase_if(entry.rates, [&](const PartyRate& it) { return it.party == party; }) > 0)
            sumOthers(entry, now);
    }
}

void FleetLimits::applyRates(std::uint32_t index, std::span<const UsageRate> rates, Instant now)
{
    const auto& party = m_parties[index];
    for (const auto& it : rates) {
        const auto known = m_entries.find(it.organisation);
        if (known == m_entries.end() && m_entries.size() >= maxOrganisations)
            continue;
        auto& entry = known == m_entries.end() ? m_entries[it.organisation] : known->second;
        settle(entry, now);
        auto rate = std::ranges::find(entry.rates, index, &PartyRate::party);
        if (rate == entry.rates.end())
            rate = entry.rates.insert(rate, { index, 0, 0, 0, 0, 0, 0, now - m_reportInterval });
        if (party.isRegion)
            reserveBurst(entry, *rate, false, now);
        const double elapsed = secondsBetween(rate->reportedAt, now);
        const double demanded = std::max(0.0, it.demanded);
        const double admitted = std::max(0.0, it.admitted);
        // Sums of a region are made of means.
        rate->meanDemanded = static_cast<float>(party.isRegion ? demanded : smoothed(rate->meanDemanded, demanded, elapsed));
        rate->usualAdmitted = static_cast<float>(smoothed(rate->usualAdmitted, admitted, elapsed / usualTime));
        rate->admitted = static_cast<float>(admitted);
        rate->reportedAt = now;
        rate->fleetUsual = party.isRegion ? static_cast<float>(fleetUsual(entry)) : 0;
        rate->balance = static_cast<float>(std::max(0.0, entry.balance));
        sumOthers(entry, now);
    }
}

void FleetLimits::onInstanceReport(const InstanceId& instance, Incarnation incarnation, std::span<const UsageRate> rates, Instant now)
{
    const auto index = partyIndex(hash64(instance) | 1, false, now);
    auto& party = m_parties[index];
    if (party.incarnation != incarnation && party.incarnation != 0)
        dropRatesOf(index, now);
    party.incarnation = incarnation;
    party.heardAt = now;
    applyRates(index, rates, now);
}

void FleetLimits::onRegionReport(const RegionName& region, std::size_t sources, std::span<const UsageRate> rates, Instant now)
{
    const auto index = partyIndex(hash64("region " + region) | 1, true, now);
    auto& party = m_parties[index];
    const bool isNewcomer = static_cast<double>(sources) < minSourcesPart * static_cast<double>(party.sources);
    if (isNewcomer && now - party.sourcesAt < listeningTime)
        return;
    party.sources = sources;
    party.sourcesAt = now;
    party.heardAt = now;
    applyRates(index, rates, now);
}

void FleetLimits::expire(Instant now)
{
    for (std::uint32_t index = 0; index < m_parties.size(); ++index) {
        auto& party = m_parties[index];
        if (party.id == 0 || now - party.heardAt < silentHold)
            continue;
        dropRatesOf(index, now);
        m_partyById.erase(party.id);
        party = {};
    }
    for (auto& [key, entry] : m_entries) {
        settle(entry, now);
        std::erase_if(entry.rates, [&](const PartyRate& it) { return now - it.reportedAt > rateLifetime; });
        sumOthers(entry, now);
    }
    std::erase_if(m_entries, [&](const auto& it) { return it.second.rates.empty() && now - it.second.usedAt > rateLifetime; });
}

std::size_t FleetLimits::heldRates() const
{
    std::size_t count = 0;
    for (const auto& [key, entry] : m_entries)
        count += entry.rates.size();
    return count;
}

std::size_t FleetLimits::silentParties(Instant now) const
{
    return static_cast<std::size_t>(std::ranges::count_if(m_parties, [&](const Party& it) { return it.id != 0 && isSilent(it, now); }));
}

} // namespace yuccashift
