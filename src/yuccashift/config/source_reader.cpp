#include "yuccashift/config/source_reader.hpp"

#include "yuccashift/kernel/hash.hpp"
#include "yuccashift/kernel/random.hpp"
#include "yuccashift/kernel/rendezvous.hpp"

#include <algorithm>

namespace yuccashift {

SourceReader::SourceReader(InstanceId self, const DocumentStore& store, RandomSource& random, Instant now, SourceTiming timing)
    : m_self(std::move(self))
    , m_store(store)
    , m_random(random)
    , m_timing(timing)
    , m_pacer(now)
    , m_nextListing(now)
{
}

void SourceReader::setRole(bool watcher, std::size_t instanceCount)
{
    const bool becomesWatcher = watcher && !m_watcher;
    m_watcher = watcher;
    m_pacer.setInstanceCount(instanceCount);
    // A new watcher starts to watch at once instead of waiting for its next poll.
    if (becomesWatcher)
        m_nextListing = std::min(m_nextListing, m_listedAt);
}

SourceStep SourceReader::next(Instant now)
{
    if (now < m_backOffUntil)
        return { SourceAction::Wait, remainingTime(m_backOffUntil, now), 0, {} };
    if (const auto service = nextMissing(now))
        return applyReadRate({ SourceAction::Read, {}, 0, *service }, now);
    if (now < m_nextListing)
        return { SourceAction::Wait, remainingTime(m_nextListing, now), 0, {} };
    if (m_watcher && m_listing)
        return applyReadRate({ SourceAction::Watch, m_timing.watchWait, m_listing->index, {} }, now);
    return applyReadRate({ SourceAction::List, {}, 0, {} }, now);
}

SourceStep SourceReader::applyReadRate(SourceStep step, Instant now)
{
    const auto wait = m_pacer.reserve(now);
    if (wait > Duration::zero())
        return { SourceAction::Wait, std::min(wait, m_timing.maxWait), 0, {} };
    return step;
}

Duration SourceReader::remainingTime(Instant moment, Instant now) const
{
    return std::min(moment - now, m_timing.maxWait);
}

bool SourceReader::isMissing(const PublishedRevision& published, const DocumentSet& set) const
{
    const auto held = set.documents.find(published.service);
    if (held != set.documents.end() && held->second.version.revision >= published.revision)
        return false;
    if (m_failedReads.contains(published.service))
        return false;
    const auto read = m_readRevisions.find(published.service);
    return read == m_readRevisions.end() || read->second < published.revision;
}

std::optional<ServiceName> SourceReader::nextMissing(Instant now)
{
    if (!m_listing)
        return std::nullopt;
    const auto set = m_store.snapshot();
    const PublishedRevision* chosen = nullptr;
    std::uint64_t chosenWeight = 0;
    for (const auto& published : m_listing->documents) {
        if (!isMissing(published, *set))
            continue;
        // Each instance reads in a different order: after a restart of all instances
        // they read different documents first and send them to each other.
        const auto weight = rendezvousWeight(hash64(published.service), m_self);
        if (chosen == nullptr || weight > chosenWeight) {
            chosen = &published;
            chosenWeight = weight;
        }
    }
    m_complete = m_complete || (chosen == nullptr && m_failedReads.empty());
    if (chosen == nullptr || shouldWaitForPeers(now))
        return std::nullopt;
    return chosen->service;
}

bool SourceReader::shouldWaitForPeers(Instant now) const
{
    return !m_watcher && m_complete && now - m_listedAt < m_timing.peerGrace;
}

void SourceReader::onListing(const ConfigListing& listing, Instant now)
{
    m_failures = 0;
    m_failedReads.clear();
    m_listing = listing;
    m_listedAt = now;
    m_nextListing = m_watcher ? now : now + nextPollDelay(m_timing.poll, 0, m_random);
}

void SourceReader::onText(const ServiceName& service, const Result<Acceptance>& acceptance, Instant now)
{
    m_failures = 0;
    if (!m_listing)
        return;
    const auto it = std::ranges::find(m_listing->documents, service, &PublishedRevision::service);
    if (it == m_listing->documents.end())
        return;
    if (acceptance && acceptance->revision < it->revision)
        m_backOffUntil = now + m_timing.staleRetry;
    else
        m_readRevisions[service] = it->revision;
}

void SourceReader::onFailure(const ServiceName& service, Instant now)
{
    if (!service.empty())
        m_failedReads.insert(service);
    // An instance without any listing also uses the shorter delays, because it has no documents to work with yet.
    const auto& timing = m_watcher || !m_listing ? m_timing.watcherRetry : m_timing.poll;
    m_backOffUntil = now + nextPollDelay(timing, m_failures, m_random);
    ++m_failures;
}

std::vector<ServiceName> SourceReader::staleServices() const
{
    std::vector<ServiceName> services;
    if (!m_listing)
        return services;
    const auto set = m_store.snapshot();
    for (const auto& published : m_listing->documents) {
        const auto held = set->documents.find(published.service);
        if (held != set->documents.end() && held->second.version.revision > published.revision)
            services.push_back(published.service);
    }
    return services;
}

} // namespace yuccashift
