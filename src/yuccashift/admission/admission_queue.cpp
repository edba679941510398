#include "yuccashift/admission/admission_queue.hpp"

#include <algorithm>

namespace yuccashift {
namespace {

    /** Admissions by which an organisation may run ahead of its share; divided by its weight to give virtual time. */
    constexpr double maxAdmissionsAhead = 4;
    constexpr double minWeight = 0.001;

    Instant latestStart(const WaitingRequest& request)
    {
        return request.deadline - request.expectedServiceTime;
    }

    double backlogOf(const std::set<std::pair<Instant, std::uint64_t>>& waiting, double weight)
    {
        return static_cast<double>(waiting.size()) / weight;
    }

} // namespace

AdmissionQueue::AdmissionQueue(std::size_t limit)
    : m_limit(limit)
{
}

void AdmissionQueue::setLimit(std::size_t limit)
{
    m_limit = limit;
}

void AdmissionQueue::unlink(PriorityLevel& level, const OrganisationName& name, const Organisation& organisation)
{
    if (organisation.waiting.empty())
        return;
    level.backlog.erase({ backlogOf(organisation.waiting, organisation.weight), name });
    if (organisation.eligible)
        level.eligible.erase({ *organisation.waiting.begin(), name });
    else
        level.ahead.erase({ organisation.servedUntil, name });
    level.totalWeight -= organisation.weight;
}

void AdmissionQueue::link(PriorityLevel& level, const OrganisationName& name, Organisation& organisation)
{
    if (organisation.waiting.empty())
        return;
    organisation.eligible = organisation.servedUntil <= level.virtualTime + maxAdmissionsAhead / organisation.weight;
    level.backlog.insert({ backlogOf(organisation.waiting, organisation.weight), name });
    if (organisation.eligible)
        level.eligible.insert({ *organisation.waiting.begin(), name });
    else
        level.ahead.insert({ organisation.servedUntil, name });
    level.totalWeight += organisation.weight;
}

/**
 * Makes organisations eligible again once virtual time has caught up with the share
 * they used. If none is eligible, virtual time first advances to the next one.
 */
void AdmissionQueue::promote(PriorityLevel& level)
{
    if (level.eligible.empty() && !level.ahead.empty())
        level.virtualTime = std::max(level.virtualTime, level.ahead.begin()->first);
    while (!level.ahead.empty()) {
        const auto name = level.ahead.begin()->second;
        auto& organisation = level.organisations[name];
        if (organisation.servedUntil > level.virtualTime + maxAdmissionsAhead / organisation.weight)
            return;
        unlink(level, name, organisation);
        link(level, name, organisation);
    }
}

/** Counts one admission: advances the organisation's used share and the virtual time. */
void AdmissionQueue::charge(PriorityLevel& level, const OrganisationName& name, double weight)
{
    const auto it = level.organisations.find(name);
    if (it != level.organisations.end()) {
        unlink(level, name, it->second);
        it->second.servedUntil = std::max(it->second.servedUntil, level.virtualTime) + 1 / weight;
        link(level, name, it->second);
    }
    if (level.totalWeight > 0)
        level.virtualTime += 1 / level.totalWeight;
}

void AdmissionQueue::insert(const WaitingRequest& request)
{
    auto& level = levelOf(request.priority);
    auto& organisation = level.organisations[request.organisation];
    unlink(level, request.organisation, organisation);
    organisation.weight = std::max(request.weight, minWeight);
    organisation.servedUntil = std::max(organisation.servedUntil, level.virtualTime);
    organisation.waiting.insert({ request.deadline, request.id });
    link(level, request.organisation, organisation);
    ++level.size;
    m_latestStarts.insert({ latestStart(request), request.id });
    m_requests.emplace(request.id, request);
}

WaitingRequest AdmissionQueue::remove(std::uint64_t id)
{
    const auto it = m_requests.find(id);
    WaitingRequest request = std::move(it->second);
    m_requests.erase(it);
    m_latestStarts.erase({ latestStart(request), id });
    auto& level = levelOf(request.priority);
    auto& organisation = level.organisations[request.organisation];
    unlink(level, request.organisation, organisation);
    organisation.waiting.erase({ request.deadline, id });
    link(level, request.organisation, organisation);
    --level.size;
    if (organisation.waiting.empty() && organisation.servedUntil <= level.virtualTime)
        level.organisations.erase(request.organisation);
    return request;
}

std::optional<std::uint64_t> AdmissionQueue::findVictim(const WaitingRequest& request) const
{
    for (std::size_t n = priorityCount; n-- > 0;) {
        const auto& level = m_levels[n];
        if (level.size == 0 || n < static_cast<std::size_t>(request.priority))
            continue;
        const auto& name = level.backlog.rbegin()->second;
        // Within a priority, evict only from another organisation whose backlog over weight
        // exceeds the one that the requesting organisation would have.
        if (n == static_cast<std::size_t>(request.priority)) {
            const auto requester = level.organisations.find(request.organisation);
            const double ownBacklog = requester == level.organisations.end() ? 0 : backlogOf(requester->second.waiting, requester->second.weight);
            if (name == request.organisation || level.backlog.rbegin()->first <= ownBacklog + 1 / std::max(request.weight, minWeight))
                return std::nullopt;
        }
        return level.organisations.at(name).waiting.rbegin()->second;
    }
    return std::nullopt;
}

Duration AdmissionQueue::expectedWait(const WaitingRequest& request, Duration interval) const
{
    double ahead = 0;
    for (std::size_t n = 0; n < static_cast<std::size_t>(request.priority); ++n)
        ahead += static_cast<double>(m_levels[n].size);
    const auto& level = levelOf(request.priority);
    const auto it = level.organisations.find(request.organisation);
    double ownAhead = 0;
    if (it != level.organisations.end() && !it->second.waiting.empty()) {
        const auto first = it->second.waiting.begin()->first;
        const auto last = it->second.waiting.rbegin()->first;
        // Estimates the position in the organisation's queue as if its deadlines were evenly spaced.
        const double position = last > first ? std::chrono::duration<double>(request.deadline - first) / (last - first) : 1;
        ownAhead = std::clamp(position, 0.0, 1.0) * static_cast<double>(it->second.waiting.size());
    }
    const double weight = std::max(request.weight, minWeight);
    const bool hasWaiting = it != level.organisations.end() && !it->second.waiting.empty();
    const double totalWeight = level.totalWeight + (hasWaiting ? 0 : weight);
    const double fairPosition = (ownAhead + 1) * totalWeight / weight - 1;
    ahead += std::min(static_cast<double>(level.size), std::max(ownAhead, fairPosition));
    return std::chrono::duration_cast<Duration>(interval * ahead);
}

Result<PushOutcome> AdmissionQueue::push(const WaitingRequest& request, Duration interval, Instant now)
{
    const Duration wait = expectedWait(request, interval);
    if (now + wait > latestStart(request)) {
        Error error { ErrorKind::DeadlineUnreachable, "the queue is too long for the deadline", std::nullopt, wait };
        return tl::unexpected<Error>(std::move(error));
    }
    PushOutcome outcome;
    if (m_requests.size() >= m_limit) {
        outcome.displaced = findVictim(request);
        if (!outcome.displaced) {
            Error error { ErrorKind::QueueFull, "the queue is full", std::nullopt, wait };
            return tl::unexpected<Error>(std::move(error));
        }
        remove(*outcome.displaced);
    }
    insert(request);
    return outcome;
}

std::optional<WaitingRequest> AdmissionQueue::pop(Instant now)
{
    for (auto& level : m_levels) {
        promote(level);
        // Requests that can no longer finish in time are left to expire(); the next eligible request is tried instead.
        while (!level.eligible.empty()) {
            const auto id = level.eligible.begin()->first.second;
            const auto& request = m_requests.at(id);
            if (latestStart(request) < now) {
                m_expired.push_back(id);
                remove(id);
                promote(level);
                continue;
            }
            auto taken = remove(id);
            charge(level, taken.organisation, std::max(taken.weight, minWeight));
            return taken;
        }
    }
    return std::nullopt;
}

std::optional<Priority> AdmissionQueue::nextPriority() const
{
    for (std::size_t n = 0; n < priorityCount; ++n) {
        if (m_levels[n].size > 0)
            return static_cast<Priority>(n);
    }
    return std::nullopt;
}

bool AdmissionQueue::cancel(std::uint64_t id)
{
    if (!m_requests.contains(id))
        return false;
    remove(id);
    return true;
}

std::vector<std::uint64_t> AdmissionQueue::expire(Instant now)
{
    std::vector<std::uint64_t> expired = std::exchange(m_expired, {});
    while (!m_latestStarts.empty() && m_latestStarts.begin()->first < now) {
        const auto id = m_latestStarts.begin()->second;
        expired.push_back(id);
        remove(id);
    }
    return expired;
}

std::optional<Instant> AdmissionQueue::nextExpiry() const
{
    if (m_latestStarts.empty())
        return std::nullopt;
    return m_latestStarts.begin()->first;
}

} // namespace yuccashift
