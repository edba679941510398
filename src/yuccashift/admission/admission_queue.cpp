#include "yuccashift/admission/admission_queue.hpp"

#include <algorithm>

namespace yuccashift {
namespace {

    /** Admissions by which an organisation may run ahead of its share, per unit of weight. */
    constexpr double slack = 4;
    constexpr double leastWeight = 0.001;

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

void AdmissionQueue::unlink(Class& group, const OrganisationName& name, const Organisation& organisation)
{
    if (organisation.waiting.empty())
        return;
    group.backlog.erase({ backlogOf(organisation.waiting, organisation.weight), name });
    if (organisation.eligible)
        group.eligible.erase({ *organisation.waiting.begin(), name });
    else
        group.ahead.erase({ organisation.served, name });
    group.totalWeight -= organisation.weight;
}

void AdmissionQueue::link(Class& group, const OrganisationName& name, Organisation& organisation)
{
    if (organisation.waiting.empty())
        return;
    organisation.eligible = organisation.served <= group.virtualTime + slack / organisation.weight;
    group.backlog.insert({ backlogOf(organisation.waiting, organisation.weight), name });
    if (organisation.eligible)
        group.eligible.insert({ *organisation.waiting.begin(), name });
    else
        group.ahead.insert({ organisation.served, name });
    group.totalWeight += organisation.weight;
}

/** Moves organisations whose turn has come again among the eligible. */
void AdmissionQueue::promote(Class& group)
{
    if (group.eligible.empty() && !group.ahead.empty())
        group.virtualTime = std::max(group.virtualTime, group.ahead.begin()->first);
    while (!group.ahead.empty()) {
        const auto name = group.ahead.begin()->second;
        auto& organisation = group.organisations[name];
        if (organisation.served > group.virtualTime + slack / organisation.weight)
            return;
        unlink(group, name, organisation);
        link(group, name, organisation);
    }
}

/** Counts one admission: the organisation's share moves on, and so does virtual time. */
void AdmissionQueue::charge(Class& group, const OrganisationName& name, double weight)
{
    const auto it = group.organisations.find(name);
    if (it != group.organisations.end()) {
        unlink(group, name, it->second);
        it->second.served = std::max(it->second.served, group.virtualTime) + 1 / weight;
        link(group, name, it->second);
    }
    if (group.totalWeight > 0)
        group.virtualTime += 1 / group.totalWeight;
}

void AdmissionQueue::insert(const WaitingRequest& request)
{
    auto& group = classOf(request.priority);
    auto& organisation = group.organisations[request.organisation];
    unlink(group, request.organisation, organisation);
    organisation.weight = std::max(request.weight, leastWeight);
    organisation.served = std::max(organisation.served, group.virtualTime);
    organisation.waiting.insert({ request.deadline, request.id });
    link(group, request.organisation, organisation);
    ++group.size;
    m_latestStarts.insert({ latestStart(request), request.id });
    m_requests.emplace(request.id, request);
}

WaitingRequest AdmissionQueue::remove(std::uint64_t id)
{
    const auto it = m_requests.find(id);
    WaitingRequest request = std::move(it->second);
    m_requests.erase(it);
    m_latestStarts.erase({ latestStart(request), id });
    auto& group = classOf(request.priority);
    auto& organisation = group.organisations[request.organisation];
    unlink(group, request.organisation, organisation);
    organisation.waiting.erase({ request.deadline, id });
    link(group, request.organisation, organisation);
    --group.size;
    if (organisation.waiting.empty() && organisation.served <= group.virtualTime)
        group.organisations.erase(request.organisation);
    return request;
}

std::optional<std::uint64_t> AdmissionQueue::findVictim(const WaitingRequest& request) const
{
    for (std::size_t n = priorities; n-- > 0;) {
        const auto& group = m_classes[n];
        if (group.size == 0 || n < static_cast<std::size_t>(request.priority))
            continue;
        const auto& name = group.backlog.rbegin()->second;
        // Within one priority only an organisation that holds more than the asker makes room.
        if (n == static_cast<std::size_t>(request.priority)) {
            const auto own = group.organisations.find(request.organisation);
            const double claim = own == group.organisations.end() ? 0 : backlogOf(own->second.waiting, own->second.weight);
            if (name == request.organisation || group.backlog.rbegin()->first <= claim + 1 / std::max(request.weight, leastWeight))
                return std::nullopt;
        }
        return group.organisations.at(name).waiting.rbegin()->second;
    }
    return std::nullopt;
}

Duration AdmissionQueue::expectedWait(const WaitingRequest& request, Duration interval) const
{
    double ahead = 0;
    for (std::size_t n = 0; n < static_cast<std::size_t>(request.priority); ++n)
        ahead += static_cast<double>(m_classes[n].size);
    const auto& group = classOf(request.priority);
    const auto it = group.organisations.find(request.organisation);
    double own = 0;
    if (it != group.organisations.end() && !it->second.waiting.empty()) {
        const auto first = it->second.waiting.begin()->first;
        const auto last = it->second.waiting.rbegin()->first;
        // Position among the organisation's own deadlines, taken as evenly spread.
        const double position = last > first ? std::chrono::duration<double>(request.deadline - first) / (last - first) : 1;
        own = std::clamp(position, 0.0, 1.0) * static_cast<double>(it->second.waiting.size());
    }
    const double weight = std::max(request.weight, leastWeight);
    const bool counted = it != group.organisations.end() && !it->second.waiting.empty();
    const double totalWeight = group.totalWeight + (counted ? 0 : weight);
    const double fairTurn = (own + 1) * totalWeight / weight - 1;
    ahead += std::min(static_cast<double>(group.size), std::max(own, fairTurn));
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
    for (auto& group : m_classes) {
        promote(group);
        // A request that cannot finish is left for expire(); the organisation's next one may.
        while (!group.eligible.empty()) {
            const auto id = group.eligible.begin()->first.second;
            const auto& request = m_requests.at(id);
            if (latestStart(request) < now) {
                m_expired.push_back(id);
                remove(id);
                promote(group);
                continue;
            }
            auto taken = remove(id);
            charge(group, taken.organisation, std::max(taken.weight, leastWeight));
            return taken;
        }
    }
    return std::nullopt;
}

std::optional<Priority> AdmissionQueue::nextPriority() const
{
    for (std::size_t n = 0; n < priorities; ++n) {
        if (m_classes[n].size > 0)
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
