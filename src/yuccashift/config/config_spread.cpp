#include "yuccashift/config/config_spread.hpp"

#include "yuccashift/config/text_delta.hpp"
#include "yuccashift/kernel/hash.hpp"
#include "yuccashift/kernel/random.hpp"
#include "yuccashift/kernel/rendezvous.hpp"

#include <algorithm>
#include <array>

namespace yuccashift {

namespace {

    // A delta that saves less than this factor is not worth the processor time.
    constexpr std::size_t leastSaving = 2;
    constexpr std::size_t startupAnswers = 2;
    constexpr std::size_t startupAsked = 3;

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

    wire::DocumentText toWire(const ServiceName& service, const HeldDocument& held)
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

    // Another tree for each revision, so that no instance always has the work of the root.
    std::uint64_t treeOf(const ServiceName& service, const DocumentVersion& version)
    {
        return hash64(service) ^ mix64(version.revision ^ version.textHash);
    }

    std::size_t firstChild(std::size_t position)
    {
        return position * ConfigSpread::treeFanOut + 1;
    }

    // The instances that `self` passes a document on to: its children, and the
    // root where it heard from outside the tree.
    std::vector<InstanceId> receivers(const std::vector<InstanceId>& order, const InstanceId& self)
    {
        std::vector<InstanceId> to;
        const auto it = std::ranges::find(order, self);
        if (it == order.end())
            return { order.begin(), order.begin() + std::min<std::ptrdiff_t>(1, std::ssize(order)) };
        const auto position = static_cast<std::size_t>(it - order.begin());
        if (position != 0)
            to.push_back(order.front());
        const auto first = firstChild(position);
        for (auto n = first; n < std::min(first + ConfigSpread::treeFanOut, order.size()); ++n)
            to.push_back(order[n]);
        return to;
    }

} // namespace

ConfigSpread::ConfigSpread(DocumentStore& store, RandomSource& random, SpreadTiming timing)
    : m_store(store)
    , m_random(random)
    , m_timing(timing)
{
}

Result<Acceptance> ConfigSpread::offer(std::string text, const ServiceName& publishedAs, const SpreadPeers& peers, Instant now, OutgoingFrames& out)
{
    auto acceptance = accept(std::move(text), publishedAs);
    if (acceptance && acceptance->changed())
        passOn(acceptance->service, {}, peers, now, out);
    return acceptance;
}

Result<Acceptance> ConfigSpread::accept(std::string text, const ServiceName& publishedAs)
{
    const auto before = m_store.snapshot();
    auto acceptance = m_store.accept(std::move(text), publishedAs);
    if (!acceptance || !acceptance->changed())
        return acceptance;
    const auto it = before->documents.find(acceptance->service);
    if (it != before->documents.end())
        m_replaced.insert_or_assign(acceptance->service, it->second);
    return acceptance;
}

wire::DocumentText ConfigSpread::textOver(const ServiceName& service, const HeldDocument& held, std::uint64_t baseHash) const
{
    const auto it = m_replaced.find(service);
    if (it == m_replaced.end() || it->second.version.textHash != baseHash)
        return toWire(service, held);
    auto parts = makeTextDelta(*it->second.text, *held.text);
    if (textDeltaBytes(parts) * leastSaving > held.text->size())
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

// Nothing where the text that the parts are taken from is not held any more.
std::optional<std::string> ConfigSpread::wholeText(const wire::DocumentText& document) const
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

void ConfigSpread::passOn(const ServiceName& service, const InstanceId& source, const SpreadPeers& peers, Instant now, OutgoingFrames& out)
{
    m_changedAt[service] = now;
    ++m_changes;
    m_wanted.erase(service);
    const auto set = m_store.snapshot();
    const auto& held = set->documents.at(service);
    const auto order = rendezvousOrder(treeOf(service, held.version), peers.region);
    const auto replaced = m_replaced.find(service);
    const auto text = textOver(service, held, replaced == m_replaced.end() ? 0 : replaced->second.version.textHash);
    const bool heardFromTree = std::ranges::find(peers.region, source) != peers.region.end();
    for (const auto& to : receivers(order, peers.self)) {
        // Whoever is in the tree has already seen to its root.
        const bool rootInformed = heardFromTree && to == order.front();
        if (to == peers.self || to == source || rootInformed)
            continue;
        pushTexts(to, { text }, false, out);
    }
    const auto it = std::ranges::find(order, peers.self);
    const auto position = static_cast<std::size_t>(it - order.begin());
    if (it != order.end())
        noticeGrandchildren(order, position, service, held.version, out);
    // Whoever starts the tree stands in for a root that may have stopped.
    if (!heardFromTree && position != 0)
        notice(order, firstChild(0), treeFanOut, service, held.version, out);
}

void ConfigSpread::noticeGrandchildren(std::span<const InstanceId> order, std::size_t position, const ServiceName& service, const DocumentVersion& version, OutgoingFrames& out) const
{
    // A child that has stopped, or a lost frame, would cut off all below it until
    // the next heartbeats; so those below hear from here what they are to get.
    notice(order, firstChild(firstChild(position)), treeFanOut * treeFanOut, service, version, out);
}

void ConfigSpread::notice(std::span<const InstanceId> order, std::size_t first, std::size_t count, const ServiceName& service, const DocumentVersion& version, OutgoingFrames& out) const
{
    wire::DocumentPush push;
    push.__set_notices({ toWire(service, version) });
    for (auto n = first; n < std::min(first + count, order.size()); ++n)
        out.push_back({ order[n], pushFrame(push) });
}

void ConfigSpread::pushTexts(const InstanceId& to, std::vector<wire::DocumentText> texts, bool answer, OutgoingFrames& out) const
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

void ConfigSpread::onPull(const InstanceId& from, const wire::DocumentPull& pull, Instant now, OutgoingFrames& out)
{
    const auto set = m_store.snapshot();
    std::map<std::string_view, DocumentVersion> theirs;
    for (const auto& revision : pull.held)
        theirs.insert_or_assign(revision.serviceName, versionOf(revision));
    std::vector<wire::DocumentText> texts;
    for (const auto& [service, held] : set->documents) {
        const auto it = theirs.find(service);
        const bool lacking = it == theirs.end() ? pull.complete : it->second < held.version;
        if (lacking)
            texts.push_back(textOver(service, held, it == theirs.end() ? 0 : it->second.textHash));
    }
    if (pull.complete) {
        for (const auto& revision : pull.held)
            want(from, revision, now + jitter(m_timing.pullJitter));
    }
    // An instance that has not asked its own peers yet is no witness for others:
    // it helps with what it has, and does not say that this is all.
    if (!texts.empty() || m_ready)
        pushTexts(from, std::move(texts), pull.complete && m_ready, out);
}

void ConfigSpread::onPush(const InstanceId& from, const wire::DocumentPush& push, const SpreadPeers& peers, Instant now, OutgoingFrames& out)
{
    for (const auto& notice : push.notices)
        want(from, notice, now + m_timing.pullDelay + jitter(m_timing.pullJitter));
    bool brought = false;
    for (const auto& document : push.documents) {
        auto text = wholeText(document);
        if (!text) {
            wire::DocumentRevision revision;
            revision.serviceName = document.serviceName;
            revision.revision = document.revision;
            revision.textHash = document.textHash;
            want(from, revision, now);
            continue;
        }
        const auto acceptance = accept(std::move(*text), document.serviceName);
        if (!acceptance || !acceptance->changed())
            continue;
        brought = true;
        // What a starting instance is brought up to date with, its region has already.
        if (m_ready || !push.answer)
            passOn(acceptance->service, from, peers, now, out);
    }
    if (!push.last)
        return;
    m_answered.insert(from);
    const auto it = m_mismatches.find(from);
    if (it != m_mismatches.end() && !brought)
        it->second.interval = std::min(it->second.interval * 2, m_timing.longestExchangeInterval);
}

bool ConfigSpread::holds(const ServiceName& service, const DocumentVersion& version) const
{
    const auto set = m_store.snapshot();
    const auto it = set->documents.find(service);
    const bool held = it != set->documents.end() && it->second.version >= version;
    return held || m_store.isRejected(service, version.textHash);
}

void ConfigSpread::want(const InstanceId& from, const wire::DocumentRevision& revision, Instant due)
{
    const auto version = versionOf(revision);
    if (holds(revision.serviceName, version))
        return;
    const auto it = m_wanted.find(revision.serviceName);
    if (it == m_wanted.end()) {
        if (m_wanted.size() < maxWanted)
            m_wanted.emplace(revision.serviceName, Wanted { version, from, due });
        return;
    }
    // Whoever named it last is asked next; the time stays, or it would never come.
    it->second.version = std::max(it->second.version, version);
    it->second.from = from;
}

void ConfigSpread::onHeartbeat(const InstanceId& from, const wire::Heartbeat& heartbeat, Instant now)
{
    for (const auto& revision : heartbeat.revisions)
        want(from, revision, now + m_timing.pullDelay + jitter(m_timing.pullJitter));
    if (static_cast<std::uint64_t>(heartbeat.revisionDigest) == m_store.digest()) {
        m_mismatches.erase(from);
        return;
    }
    const auto first = now + m_timing.mismatchDelay + jitter(m_timing.pullJitter);
    const auto [it, added] = m_mismatches.try_emplace(from, Mismatch { now, first, m_timing.exchangeInterval });
    it->second.confirmedAt = now;
}

void ConfigSpread::tick(const SpreadPeers& peers, Instant now, OutgoingFrames& out)
{
    if (!m_startedAt)
        m_startedAt = now;
    if (!m_ready)
        askWhenStarting(peers, now, out);
    pullWanted(now, out);
    pullMismatched(now, out);
    std::erase_if(m_changedAt, [&](const auto& item) { return now - item.second >= m_timing.recent; });
}

void ConfigSpread::pullWanted(Instant now, OutgoingFrames& out)
{
    std::erase_if(m_wanted, [&](const auto& item) { return holds(item.first, item.second.version); });
    const auto set = m_store.snapshot();
    std::map<InstanceId, wire::DocumentPull> pulls;
    for (auto& [service, wanted] : m_wanted) {
        if (now < wanted.due)
            continue;
        wanted.due = now + m_timing.pullRetry;
        const auto it = set->documents.find(service);
        const auto held = it == set->documents.end() ? DocumentVersion {} : it->second.version;
        pulls[wanted.from].held.push_back(toWire(service, held));
    }
    for (auto& [instance, pull] : pulls)
        out.push_back({ instance, pullFrame(std::move(pull)) });
}

void ConfigSpread::pullMismatched(Instant now, OutgoingFrames& out)
{
    // Whoever is no longer heard of is not asked any more.
    std::erase_if(m_mismatches, [&](const auto& item) { return now - item.second.confirmedAt >= m_timing.mismatchLifetime; });
    // One exchange at a time: what it brings usually settles the other differences too.
    const auto isDue = [&](const auto& item) { return now >= item.second.nextExchange; };
    std::vector<InstanceId> due;
    for (const auto& item : m_mismatches) {
        if (isDue(item))
            due.push_back(item.first);
    }
    if (due.empty())
        return;
    const auto& chosen = due[m_random.below(due.size())];
    out.push_back({ chosen, pullFrame(completePull()) });
    m_mismatches.at(chosen).nextExchange = now + m_mismatches.at(chosen).interval;
    for (const auto& other : due) {
        auto& mismatch = m_mismatches.at(other);
        mismatch.nextExchange = std::max(mismatch.nextExchange, now + m_timing.exchangeInterval + jitter(m_timing.exchangeInterval));
    }
}

wire::DocumentPull ConfigSpread::completePull() const
{
    wire::DocumentPull pull;
    pull.complete = true;
    for (const auto& [service, version] : m_store.revisions())
        pull.held.push_back(toWire(service, version));
    return pull;
}

void ConfigSpread::askWhenStarting(const SpreadPeers& peers, Instant now, OutgoingFrames& out)
{
    if (mayStart(peers, now)) {
        m_ready = true;
        return;
    }
    if (now < m_nextAsk)
        return;
    m_nextAsk = now + m_timing.pullRetry;
    auto askable = peers.askable;
    std::erase_if(askable, [&](const auto& instance) { return m_answered.contains(instance); });
    for (std::size_t n = 0; n < std::min(startupAsked, askable.size()); ++n) {
        // The nearest are listed first; one of those still to be asked is drawn each time.
        const auto drawn = n + m_random.below(askable.size() - n);
        std::swap(askable[n], askable[drawn]);
        out.push_back({ askable[n], pullFrame(completePull()) });
    }
}

bool ConfigSpread::mayStart(const SpreadPeers& peers, Instant now) const
{
    if (now - *m_startedAt >= m_timing.startupWait)
        return true;
    return peers.listed && m_answered.size() >= std::min(startupAnswers, peers.askable.size());
}

void ConfigSpread::fill(wire::Heartbeat& heartbeat, std::size_t recentLimit, Instant now) const
{
    const auto set = m_store.snapshot();
    heartbeat.revisionDigest = static_cast<std::int64_t>(set->digest);
    heartbeat.ready = m_ready;
    for (const auto& [service, changedAt] : m_changedAt) {
        if (heartbeat.revisions.size() >= recentLimit)
            break;
        if (now - changedAt < m_timing.recent)
            heartbeat.revisions.push_back(toWire(service, set->documents.at(service).version));
    }
}

void ConfigSpread::doubtAll()
{
    m_mismatches.clear();
    m_wanted.clear();
}

Duration ConfigSpread::jitter(Duration bound)
{
    return Duration(static_cast<Duration::rep>(m_random.below(static_cast<std::uint64_t>(bound.count()))));
}

} // namespace yuccashift
