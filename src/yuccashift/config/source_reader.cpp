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

void SourceReader::setRole(bool watcher, std::size_t fleet)
{
    const bool takesOver = watcher && !m_watcher;
    m_watcher = watcher;
    m_pacer.setFleet(fleet);
    // A new watcher does not wait for the poll it had planned.
    if (takesOver)
        m_nextListing = std::min(m_nextListing, m_listedAt);
}

SourceStep SourceReader::next(Instant now)
{
    if (now < m_heldOffUntil)
        return { SourceAction::Wait, until(m_heldOffUntil, now), 0, {} };
    if (const auto service = nextMissing(now))
        return paced({ SourceAction::Read, {}, 0, *service }, now);
    if (now < m_nextListing)
        return { SourceAction::Wait, until(m_nextListing, now), 0, {} };
    if (m_watcher && m_listing)
        return paced({ SourceAction::Watch, m_timing.watchWait, m_listing->index, {} }, now);
    return paced({ SourceAction::List, {}, 0, {} }, now);
}

SourceStep SourceReader::paced(SourceStep step, Instant now)
{
    const auto wait = m_pacer.reserve(now);
    if (wait > Duration::zero())
        return { SourceAction::Wait, std::min(wait, m_timing.longestWait), 0, {} };
    return step;
}

Duration SourceReader::until(Instant moment, Instant now) const
{
    return std::min(moment - now, m_timing.longestWait);
}

bool SourceReader::isMissing(const PublishedRevision& published, const DocumentSet& set) const
{
    const auto held = set.documents.find(published.service);
    if (held != set.documents.end() && held->second.version.revision >= published.revision)
        return false;
    if (m_unreadable.contains(published.service))
        return false;
    const auto read = m_read.find(published.service);
    return read == m_read.end() || read->second < published.revision;
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
        // Every instance has an order of its own: after a common restart they
        // read different documents first and bring them to each other.
        const auto weight = rendezvousWeight(hash64(published.service), m_self);
        if (chosen == nullptr || weight > chosenWeight) {
            chosen = &published;
            chosenWeight = weight;
        }
    }
    m_complete = m_complete || (chosen == nullptr && m_unreadable.empty());
    if (chosen == nullptr || leaveToPeers(now))
        return std::nullopt;
    return chosen->service;
}

bool SourceReader::leaveToPeers(Instant now) const
{
    return !m_watcher && m_complete && now - m_listedAt < m_timing.peerGrace;
}

void SourceReader::onListing(const ConfigListing& listing, Instant now)
{
    m_failures = 0;
    m_unreadable.clear();
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
        m_heldOffUntil = now + m_timing.staleRetry;
    else
        m_read[service] = it->revision;
}

void SourceReader::onFailure(const ServiceName& service, Instant now)
{
    if (!service.empty())
        m_unreadable.insert(service);
    // An instance that knows nothing yet cannot wait for the next poll either.
    const auto& timing = m_watcher || !m_listing ? m_timing.watcherRetry : m_timing.poll;
    m_heldOffUntil = now + nextPollDelay(timing, m_failures, m_random);
    ++m_failures;
}

std::vector<ServiceName> SourceReader::stale() const
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
