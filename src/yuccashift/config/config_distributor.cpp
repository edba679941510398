#include "yuccashift/config/config_distributor.hpp"

#include "yuccashift/config/text_delta.hpp"
#include "yuccashift/kernel/hash.hpp"
#include "yuccashift/kernel/random.hpp"
#include "yuccashift/kernel/rendezvous.hpp"

#include <algorithm>
#include <array>

namespace yuccashift {

namespace {

    // A delta must be smaller than the text by at least this factor; otherwise it is not worth the CPU time.
    constexpr std::size_t minSavingFactor = 2;
    constexpr std::size_t requiredStartupAnswers = 2;
    constexpr std::size_t startupPullCount = 3;

    wire::DocumentRevision toWire(const ServiceName& service, const DocumentVersion& version)
    {
        wire::DocumentRevision revision;
        revision.serviceName = service;
        revision.revision = static_cast<std::int64_t>(version.revision);
        revision.textHash = static_cast<std::int64_t>(version.textHash);
        return revision;
    }

    DocumentVersion versionOf(const wire::DocumentRevision& revision)
    {
        return { static_cast<Revision>(revision.revision), static_cast<std::uint64_t>(revision.textHash) };
    }

    wire::DocumentText toWire(const ServiceName& service, const StoredDocument& held)
    {
        wire::DocumentText text;
        text.serviceName = service;
        text.revision = static_cast<std::int64_t>(held.version.revision);
        text.text = *held.text;
        return text;
    }

    wire::Frame pushFrame(wire::DocumentPush push)
    {
        wire::Frame frame;
        frame.documentPush = std::move(push);
        frame.__isset.documentPush = true;
        return frame;
    }

    wire::Frame pullFrame(wire::DocumentPull pull)
    {
        wire::Frame frame;
        frame.documentPull = std::move(pull);
        frame.__isset.documentPull = true;
        return frame;
    }

    // Each revision has a different tree, so that the load of the root is not always on the same instance.
    std::uint64_t treeSeed(const ServiceName& service, const DocumentVersion& version)
    {
        return hash64(service) ^ mix64(version.revision ^ version.textHash);
    }

    std::size_t firstChild(std::size_t position)
    {
        return position * ConfigDistributor::treeFanOut + 1;
    }

    // The instances to which `self` forwards a document: its children in the tree,
    // and the root unless `self` is the root. An instance that is not in the tree
    // forwards to the root only.
    std::vector<InstanceId> forwardTargets(const std::vector<InstanceId>& order, const InstanceId& self)
    {
        std::vector<InstanceId> to;
        const auto it = std::ranges::find(order, self);
        if (it == order.end())
            return { order.begin(), order.begin() + std::min<std::ptrdiff_t>(1, std::ssize(order)) };
        const auto position = static_cast<std::size_t>(it - order.begin());
        if (position != 0)
            to.push_back(order.front());
        const auto first = firstChild(position);
        for (auto n = first; n < std::min(first + ConfigDistributor::treeFanOut, order.size()); ++n)
            to.push_back(order[n]);
        return to;
    }

} // namespace

ConfigDistributor::ConfigDistributor(DocumentStore& store, RandomSource& random, ConfigDistributionTiming timing)
    : m_store(store)
    , m_random(random)
    , m_timing(timing)
{
}

Result<Acceptance> ConfigDistributor::offer(std::string text, const ServiceName& publishedAs, const ConfigPeers& peers, Instant now, OutgoingFrames& out)
{
    auto acceptance = accept(std::move(text), publishedAs);
    if (acceptance && acceptance->changed())
        forwardDocument(acceptance->service, {}, peers, now, out);
    return acceptance;
}

Result<Acceptance> ConfigDistributor::accept(std::string text, const ServiceName& publishedAs)
{
    const auto before = m_store.snapshot();
    auto acceptance = m_store.accept(std::move(text), publishedAs);
    if (!acceptance || !acceptance->changed())
        return acceptance;
    const auto it = before->documents.find(acceptance->service);
    if (it != before->documents.end())
        m_previousVersions.insert_or_assign(acceptance->service, it->second);
    return acceptance;
}

wire::DocumentText ConfigDistributor::encodeText(const ServiceName& service, const StoredDocument& held, std::uint64_t baseHash) const
{
    const auto it = m_previousVersions.find(service);
    if (it == m_previousVersions.end() || it->second.version.textHash != baseHash)
        return toWire(service, held);
    auto parts = makeTextDelta(*it->second.text, *held.text);
    if (textDeltaBytes(parts) * minSavingFactor > held.text->size())
        return toWire(service, held);
    wire::DocumentText text;
    text.serviceName = service;
    text.revision = static_cast<std::int64_t>(held.version.revision);
    text.__set_textHash(static_cast<std::int64_t>(held.version.textHash));
    text.__set_baseHash(static_cast<std::int64_t>(baseHash));
    text.parts = std::move(parts);
    text.__isset.parts = true;
    return text;
}

// Returns std::nullopt if the base of a delta is not the text held, or if the result has the wrong hash.
std::optional<std::string> ConfigDistributor::decodeText(const wire::DocumentText& document) const
{
    if (!document.__isset.parts)
        return document.text;
    const auto set = m_store.snapshot();
    const auto it = set->documents.find(document.serviceName);
    if (it == set->documents.end() || it->second.version.textHash != static_cast<std::uint64_t>(document.baseHash))
        return std::nullopt;
    auto text = applyTextDelta(*it->second.text, document.parts);
    if (!text || hash64(*text) != static_cast<std::uint64_t>(document.textHash))
        return std::nullopt;
    return text;
}

void ConfigDistributor::forwardDocument(const ServiceName& service, const InstanceId& source, const ConfigPeers& peers, Instant now, OutgoingFrames& out)
{
    m_changedAt[service] = now;
    ++m_changes;
    m_pendingPulls.erase(service);
    const auto set = m_store.snapshot();
    const auto& held = set->documents.at(service);
    const auto order = rendezvousOrder(treeSeed(service, held.version), peers.regionInstances);
    const auto replaced = m_previousVersions.find(service);
    const auto text = encodeText(service, held, replaced == m_previousVersions.end() ? 0 : replaced->second.version.textHash);
    const bool receivedFromRegion = std::ranges::find(peers.regionInstances, source) != peers.regionInstances.end();
    for (const auto& to : forwardTargets(order, peers.self)) {
        // An instance of the tree has already sent the document to the root.
        const bool rootAlreadyInformed = receivedFromRegion && to == order.front();
        if (to == peers.self || to == source || rootAlreadyInformed)
            continue;
        pushTexts(to, { text }, false, out);
    }
    const auto it = std::ranges::find(order, peers.self);
    const auto position = static_cast<std::size_t>(it - order.begin());
    if (it != order.end())
        notifyGrandchildren(order, position, service, held.version, out);
    // The first instance of the region also notifies the children of the root, because the root may have stopped.
    if (!receivedFromRegion && position != 0)
        sendNotices(order, firstChild(0), treeFanOut, service, held.version, out);
}

void ConfigDistributor::notifyGrandchildren(std::span<const InstanceId> order, std::size_t position, const ServiceName& service, const DocumentVersion& version, OutgoingFrames& out) const
{
    // If a child has stopped or a frame is lost, the instances below it would not
    // learn of the document until the next heartbeats. They are notified directly.
    sendNotices(order, firstChild(firstChild(position)), treeFanOut * treeFanOut, service, version, out);
}

void ConfigDistributor::sendNotices(std::span<const InstanceId> order, std::size_t first, std::size_t count, const ServiceName& service, const DocumentVersion& version, OutgoingFrames& out) const
{
    wire::DocumentPush push;
    push.__set_notices({ toWire(service, version) });
    for (auto n = first; n < std::min(first + count, order.size()); ++n)
        out.push_back({ order[n], pushFrame(push) });
}

void ConfigDistributor::pushTexts(const InstanceId& to, std::vector<wire::DocumentText> texts, bool answer, OutgoingFrames& out) const
{
    wire::DocumentPush push;
    push.answer = answer;
    std::size_t bytes = 0;
    for (auto& text : texts) {
        const auto size = text.text.size() + textDeltaBytes(text.parts);
        if (bytes + size > maxPushBytes && !push.documents.empty()) {
            out.push_back({ to, pushFrame(std::move(push)) });
            push = {};
            push.answer = answer;
            bytes = 0;
        }
        bytes += size;
        push.documents.push_back(std::move(text));
    }
    push.last = answer;
    out.push_back({ to, pushFrame(std::move(push)) });
}

void ConfigDistributor::onPull(const InstanceId& from, const wire::DocumentPull& pull, Instant now, OutgoingFrames& out)
{
    const auto set = m_store.snapshot();
    std::map<std::string_view, DocumentVersion> theirs;
    for (const auto& revision : pull.held)
        theirs.insert_or_assign(revision.serviceName, versionOf(revision));
    std::vector<wire::DocumentText> texts;
    for (const auto& [service, held] : set->documents) {
        const auto it = theirs.find(service);
        const bool isOutdated = it == theirs.end() ? pull.complete : it->second < held.version;
        if (isOutdated)
            texts.push_back(encodeText(service, held, it == theirs.end() ? 0 : it->second.textHash));
    }
    if (pull.complete) {
        for (const auto& revision : pull.held)
            schedulePull(from, revision, now + randomJitter(m_timing.pullJitter));
    }
    // An instance that is not ready may lack documents itself: it sends what it
    // holds, but does not mark the answer as complete.
    if (!texts.empty() || m_ready)
        pushTexts(from, std::move(texts), pull.complete && m_ready, out);
}

void ConfigDistributor::onPush(const InstanceId& from, const wire::DocumentPush& push, const ConfigPeers& peers, Instant now, OutgoingFrames& out)
{
    for (const auto& notice : push.notices)
        schedulePull(from, notice, now + m_timing.pullDelay + randomJitter(m_timing.pullJitter));
    bool changedAny = false;
    for (const auto& document : push.documents) {
        auto text = decodeText(document);
        if (!text) {
            wire::DocumentRevision revision;
            revision.serviceName = document.serviceName;
            revision.revision = document.revision;
            revision.textHash = document.textHash;
            schedulePull(from, revision, now);
            continue;
        }
        const auto acceptance = accept(std::move(*text), document.serviceName);
        if (!acceptance || !acceptance->changed())
            continue;
        changedAny = true;
        // While an instance is starting, answers to its pulls are not forwarded: its region already holds them.
        if (m_ready || !push.answer)
            forwardDocument(acceptance->service, from, peers, now, out);
    }
    if (!push.last)
        return;
    m_answeredPeers.insert(from);
    const auto it = m_mismatches.find(from);
    if (it != m_mismatches.end() && !changedAny)
        it->second.interval = std::min(it->second.interval * 2, m_timing.maxExchangeInterval);
}

bool ConfigDistributor::isHeldOrRejected(const ServiceName& service, const DocumentVersion& version) const
{
    const auto set = m_store.snapshot();
    const auto it = set->documents.find(service);
    const bool held = it != set->documents.end() && it->second.version >= version;
    return held || m_store.isRejected(service, version.textHash);
}

void ConfigDistributor::schedulePull(const InstanceId& from, const wire::DocumentRevision& revision, Instant due)
{
    const auto version = versionOf(revision);
    if (isHeldOrRejected(revision.serviceName, version))
        return;
    const auto it = m_pendingPulls.find(revision.serviceName);
    if (it == m_pendingPulls.end()) {
        if (m_pendingPulls.size() < maxPendingPulls)
            m_pendingPulls.emplace(revision.serviceName, PendingPull { version, from, due });
        return;
    }
    // The document is pulled from the last instance that announced it. The due time is
    // kept, because moving it with each announcement could postpone the pull forever.
    it->second.version = std::max(it->second.version, version);
    it->second.from = from;
}

void ConfigDistributor::onHeartbeat(const InstanceId& from, const wire::Heartbeat& heartbeat, Instant now)
{
    for (const auto& revision : heartbeat.revisions)
        schedulePull(from, revision, now + m_timing.pullDelay + randomJitter(m_timing.pullJitter));
    if (static_cast<std::uint64_t>(heartbeat.revisionDigest) == m_store.digest()) {
        m_mismatches.erase(from);
        return;
    }
    const auto first = now + m_timing.mismatchDelay + randomJitter(m_timing.pullJitter);
    const auto [it, added] = m_mismatches.try_emplace(from, Mismatch { now, first, m_timing.exchangeInterval });
    it->second.confirmedAt = now;
}

void ConfigDistributor::tick(const ConfigPeers& peers, Instant now, OutgoingFrames& out)
{
    if (!m_startedAt)
        m_startedAt = now;
    if (!m_ready)
        pullAtStartup(peers, now, out);
    sendPendingPulls(now, out);
    startExchange(now, out);
    std::erase_if(m_changedAt, [&](const auto& item) { return now - item.second >= m_timing.recentChangeWindow; });
}

void ConfigDistributor::sendPendingPulls(Instant now, OutgoingFrames& out)
{
    std::erase_if(m_pendingPulls, [&](const auto& item) { return isHeldOrRejected(item.first, item.second.version); });
    const auto set = m_store.snapshot();
    std::map<InstanceId, wire::DocumentPull> pulls;
    for (auto& [service, pendingPull] : m_pendingPulls) {
        if (now < pendingPull.due)
            continue;
        pendingPull.due = now + m_timing.pullRetry;
        const auto it = set->documents.find(service);
        const auto held = it == set->documents.end() ? DocumentVersion {} : it->second.version;
        pulls[pendingPull.from].held.push_back(toWire(service, held));
    }
    for (auto& [instance, pull] : pulls)
        out.push_back({ instance, pullFrame(std::move(pull)) });
}

void ConfigDistributor::startExchange(Instant now, OutgoingFrames& out)
{
    // A mismatch with a peer that no longer sends heartbeats expires.
    std::erase_if(m_mismatches, [&](const auto& item) { return now - item.second.confirmedAt >= m_timing.mismatchLifetime; });
    // Only one exchange at a time, because its result usually resolves the other mismatches too.
    const auto isDue = [&](const auto& item) { return now >= item.second.nextExchange; };
    std::vector<InstanceId> due;
    for (const auto& item : m_mismatches) {
        if (isDue(item))
            due.push_back(item.first);
    }
    if (due.empty())
        return;
    const auto& chosen = due[m_random.uniformBelow(due.size())];
    out.push_back({ chosen, pullFrame(makeCompletePull()) });
    m_mismatches.at(chosen).nextExchange = now + m_mismatches.at(chosen).interval;
    for (const auto& other : due) {
        auto& mismatch = m_mismatches.at(other);
        mismatch.nextExchange = std::max(mismatch.nextExchange, now + m_timing.exchangeInterval + randomJitter(m_timing.exchangeInterval));
    }
}

wire::DocumentPull ConfigDistributor::makeCompletePull() const
{
    wire::DocumentPull pull;
    pull.complete = true;
    for (const auto& [service, version] : m_store.revisions())
        pull.held.push_back(toWire(service, version));
    return pull;
}

void ConfigDistributor::pullAtStartup(const ConfigPeers& peers, Instant now, OutgoingFrames& out)
{
    if (isStartupComplete(peers, now)) {
        m_ready = true;
        return;
    }
    if (now < m_nextStartupPull)
        return;
    m_nextStartupPull = now + m_timing.pullRetry;
    auto candidates = peers.startupPeers;
    std::erase_if(candidates, [&](const auto& instance) { return m_answeredPeers.contains(instance); });
    for (std::size_t n = 0; n < std::min(startupPullCount, candidates.size()); ++n) {
        // Picks randomly among the peers that have not answered yet.
        const auto picked = n + m_random.uniformBelow(candidates.size() - n);
        std::swap(candidates[n], candidates[picked]);
        out.push_back({ candidates[n], pullFrame(makeCompletePull()) });
    }
}

bool ConfigDistributor::isStartupComplete(const ConfigPeers& peers, Instant now) const
{
    if (now - *m_startedAt >= m_timing.startupTimeout)
        return true;
    return peers.instanceListKnown && m_answeredPeers.size() >= std::min(requiredStartupAnswers, peers.startupPeers.size());
}

void ConfigDistributor::fillHeartbeat(wire::Heartbeat& heartbeat, std::size_t recentLimit, Instant now) const
{
    const auto set = m_store.snapshot();
    heartbeat.revisionDigest = static_cast<std::int64_t>(set->digest);
    heartbeat.ready = m_ready;
    for (const auto& [service, changedAt] : m_changedAt) {
        if (heartbeat.revisions.size() >= recentLimit)
            break;
        if (now - changedAt < m_timing.recentChangeWindow)
            heartbeat.revisions.push_back(toWire(service, set->documents.at(service).version));
    }
}

void ConfigDistributor::clearPendingPulls()
{
    m_mismatches.clear();
    m_pendingPulls.clear();
}

Duration ConfigDistributor::randomJitter(Duration bound)
{
    return Duration(static_cast<Duration::rep>(m_random.uniformBelow(static_cast<std::uint64_t>(bound.count()))));
}

} // namespace yuccashift
