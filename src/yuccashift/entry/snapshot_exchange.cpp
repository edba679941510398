#include "yuccashift/entry/snapshot_exchange.hpp"

#include "yuccashift/fleet/datagram.hpp"
#include "yuccashift/kernel/compression.hpp"
#include "yuccashift/kernel/log.hpp"
#include "yuccashift/kernel/one_shot_timer.hpp"

#include <algorithm>
#include <boost/algorithm/hex.hpp>
#include <boost/asio/post.hpp>
#include <charconv>

namespace yuccashift {

namespace {

    constexpr std::string_view snapshotPath = "/yuccashift-peer/snapshot?after=";
    /** Asks that large values are left out. Earlier versions ignore it and send them. */
    constexpr std::string_view valuesFollow = "&values=follow";
    /** Introduces the era of the requester's revision. Earlier versions ignore it. */
    constexpr std::string_view eraParameter = "&era=";
    constexpr std::string_view valuePath = "/yuccashift-peer/value?after=";
    /** Introduces the item's key in hexadecimal digits. */
    constexpr std::string_view keyParameter = "&key=";
    /** This instance's own watch delivers a change after one network path to the store; a peer is asked only after that. */
    constexpr Duration minFetchDelay = milliseconds(200);
    /** Random addition, so that instances that start or fall behind together send their requests at different times. */
    constexpr Duration fetchDelaySpread = milliseconds(250);
    constexpr Duration minFetchInterval = milliseconds(400);
    /** Maximum time to the first byte of an answer, and between two parts of it. A slow transfer that goes on is not broken off. */
    constexpr Duration progressTimeout = milliseconds(1500);
    constexpr Duration connectTimeout = milliseconds(500);
    /** Failures in a row after which the store is read; before that, another instance is asked. */
    constexpr int failuresBeforeStoreRead = 2;
    /** Time to wait for another instance to have an awaited value before the store is read. */
    constexpr Duration maxWaitForHolder = milliseconds(1500);
    /** Era of a store that has never come back from an older copy. */
    constexpr std::int64_t firstEra = 1;
    /** Removals that have been known for longer are not told apart. */
    constexpr Duration maxKnownFor = seconds(60);
    /** Upper limit on the size of a value, in bytes. */
    constexpr std::int32_t maxValueBytes = 16 << 20;
    /** Limit on an answer of another instance. */
    constexpr std::size_t maxFetchedBytes = 16 << 20;
    constexpr int statusOk = 200;
    /** Status by which an instance answers that it has sent too much recently, or has nothing newer. */
    constexpr int statusBusy = 503;

    std::optional<std::int64_t> parseRevision(std::string_view digits)
    {
        std::int64_t revision = 0;
        const auto [end, ec] = std::from_chars(digits.data(), digits.data() + digits.size(), revision);
        if (ec != std::errc())
            return {};
        return revision;
    }

    std::optional<std::string> parseKey(std::string_view target)
    {
        const auto at = target.find(keyParameter);
        if (at == std::string_view::npos)
            return {};
        const auto digits = target.substr(at + keyParameter.size());
        std::string key;
        try {
            boost::algorithm::unhex(digits.begin(), digits.end(), std::back_inserter(key));
        } catch (const boost::algorithm::hex_decode_error&) {
            return {};
        }
        return key;
    }

    std::string snapshotTarget(const ItemReplica& replica)
    {
        std::string target(snapshotPath);
        target.append(std::to_string(replica.revision())).append(eraParameter).append(std::to_string(replica.era())).append(valuesFollow);
        return target;
    }

    /** The era that the target names; 0 if it names none. */
    std::int64_t parseEra(std::string_view target)
    {
        const auto at = target.find(eraParameter);
        return at == std::string_view::npos ? 0 : parseRevision(target.substr(at + eraParameter.size())).value_or(0);
    }

    std::string valueTarget(const std::string& key, std::int64_t after)
    {
        return std::string(valuePath) + std::to_string(after) + std::string(keyParameter) + boost::algorithm::hex(key);
    }

    std::int64_t heldRevision(const ItemReplica& replica, const std::string& key)
    {
        const auto it = replica.items().find(key);
        return it == replica.items().end() ? 0 : it->second.revision;
    }

    fleetwire::HeldItem heldItem(const std::string& key, std::int64_t revision)
    {
        fleetwire::HeldItem it;
        it.key = key;
        it.revision = revision;
        return it;
    }

    /** The item with its value, or with a mark that the value follows. */
    fleetwire::HeldItem heldItem(const std::string& key, const ItemReplica::Item& item, LargeValues largeValues)
    {
        auto it = heldItem(key, item.revision);
        it.valueFollows = largeValues == LargeValues::Follow && item.value.size() > maxInlineValueBytes;
        if (!it.valueFollows)
            it.__set_value(item.value);
        return it;
    }

    void addChange(fleetwire::Snapshot& snapshot, const ItemReplica& held, const ItemChange& change, LargeValues largeValues, std::optional<Instant> now)
    {
        if (change.valueFollows && largeValues == LargeValues::Included) {
            // An item that is no longer there has a later removal in the snapshot.
            if (const auto item = held.items().find(change.key); item != held.items().end())
                snapshot.items.push_back(heldItem(change.key, item->second, largeValues));
            return;
        }
        auto it = heldItem(change.key, change.revision);
        it.valueFollows = change.valueFollows;
        if (change.value)
            it.__set_value(*change.value);
        if (change.isRemoval() && change.learnedAt && now)
            it.__set_knownForMs(static_cast<std::int32_t>(std::chrono::duration_cast<milliseconds>(std::clamp(*now - *change.learnedAt, Duration::zero(), maxKnownFor)).count()));
        snapshot.items.push_back(std::move(it));
    }

    void addAll(fleetwire::Snapshot& snapshot, const ItemReplica& held, LargeValues largeValues)
    {
        const auto& awaited = held.awaitedValues();
        for (const auto& [key, item] : held.items()) {
            if (!awaited.contains(key))
                snapshot.items.push_back(heldItem(key, item, largeValues));
        }
        for (const auto& [key, revision] : awaited) {
            auto it = heldItem(key, revision);
            it.valueFollows = true;
            snapshot.items.push_back(std::move(it));
        }
    }

} // namespace

fleetwire::Snapshot wholeSnapshot(const ItemReplica& held, LargeValues largeValues)
{
    fleetwire::Snapshot snapshot;
    snapshot.era = held.era();
    snapshot.revision = held.revision();
    snapshot.whole = true;
    addAll(snapshot, held, largeValues);
    return snapshot;
}

fleetwire::Snapshot snapshotAfter(const ItemReplica& held, std::int64_t revision, LargeValues largeValues, std::optional<Instant> now)
{
    fleetwire::Snapshot snapshot;
    snapshot.era = held.era();
    snapshot.revision = held.revision();
    snapshot.after = revision;
    if (const auto changes = held.changesAfter(revision)) {
        for (const auto& change : *changes)
            addChange(snapshot, held, change, largeValues, now);
        return snapshot;
    }
    return wholeSnapshot(held, largeValues);
}

bool applySnapshot(FleetState& fleetState, const fleetwire::Snapshot& snapshot, std::optional<Instant> now)
{
    const auto known = fleetState.replica().revision();
    const auto era = fleetState.replica().era();
    // An earlier version names no era. Its snapshot belongs to the own era unless the store has begun another.
    const bool sameEra = snapshot.era == era || (snapshot.era == 0 && era <= firstEra);
    const bool newEra = snapshot.era > era && era != 0;
    if (!sameEra && !newEra && era != 0)
        return false;
    if (newEra ? !snapshot.whole : snapshot.revision <= known || (!snapshot.whole && snapshot.after > known))
        return false;
    std::vector<ItemChange> items;
    items.reserve(snapshot.items.size());
    for (const auto& it : snapshot.items) {
        items.push_back({ it.key, it.__isset.value ? std::optional(it.value) : std::nullopt, it.revision, it.valueFollows });
        if (now && it.__isset.knownForMs)
            items.back().learnedAt = *now - std::clamp<Duration>(milliseconds(it.knownForMs), Duration::zero(), maxKnownFor);
    }
    fleetState.setFirstEra(snapshot.era);
    if (newEra)
        fleetState.beginEra(snapshot.era, items, snapshot.revision);
    else if (snapshot.whole)
        fleetState.replaceAll(items, snapshot.revision);
    else
        fleetState.apply(items, snapshot.revision);
    return true;
}

std::optional<std::string> CompressedValues::encode(const ItemReplica& held, const std::string& key, std::int64_t after)
{
    const auto item = held.items().find(key);
    if (item == held.items().end() || item->second.revision <= after)
        return {};
    auto& entry = m_entries[key];
    if (entry.position != StorePosition { held.era(), item->second.revision }) {
        fleetwire::ItemValue message;
        message.key = key;
        message.revision = item->second.revision;
        message.size = static_cast<std::int32_t>(item->second.value.size());
        message.compressed = compress(item->second.value);
        message.era = held.era();
        entry = { { message.era, message.revision }, encodeItemValue(message) };
    }
    return entry.message;
}

Result<void> applyItemValue(FleetState& fleetState, const fleetwire::ItemValue& message)
{
    if (message.size < 0 || message.size > maxValueBytes)
        return fail(ErrorKind::MalformedRequest, "a value of " + std::to_string(message.size) + " bytes");
    if (message.era != fleetState.replica().era())
        return fail(ErrorKind::MalformedRequest, "a value of era " + std::to_string(message.era));
    auto value = decompress(message.compressed, static_cast<std::size_t>(message.size));
    if (!value)
        return tl::unexpected(value.error());
    fleetState.applyValue({ message.key, std::move(*value), message.revision });
    return {};
}

/** One request for published items to one instance. */
class SnapshotExchange::Fetch final : public OutboundListener {
public:
    Fetch(SnapshotExchange& owner, Track& track, const PeerState& peer, const std::string& target, std::function<bool(const std::string& body)> take)
        : m_owner(owner)
        , m_track(track)
        , m_instance(peer.instance)
        , m_target(target)
        , m_take(std::move(take))
        , m_timer(owner.m_core.io)
        , m_startedAt(owner.m_core.clock.now())
    {
        auto& core = owner.m_core;
        OutboundRequest request;
        request.endpoint = { peer.ip, core.settings.peerPort };
        request.poolKey = peer.instance + "|" + std::to_string(peer.incarnation);
        request.connectTimeout = connectTimeout;
        request.bytes = "GET " + target + " HTTP/1.1\r\nHost: " + peer.ip + "\r\n\r\n";
        m_outbound = core.peerConnections.start(std::move(request), *this);
        awaitProgress();
    }

    void onAnswerHead(const AnswerHead& head) override
    {
        m_status = head.status;
        awaitProgress();
    }
    void onAnswerBody(std::string_view data) override
    {
        m_body.append(data);
        if (m_body.size() > maxFetchedBytes)
            return onAnswerFailure(OutboundFailure::Truncated, "the answer exceeds its limit");
        awaitProgress();
    }
    void onAnswerEnd() override
    {
        const bool taken = m_status == statusOk && m_take(m_body);
        if (taken)
            report(LogLevel::Info, "published items received");
        else if (m_status == statusBusy)
            report(LogLevel::Info, "peer sends no published items now");
        else
            report(LogLevel::Warning, "published items from a peer invalid");
        m_owner.onFetchEnded(m_track, taken);
    }
    void onAnswerFailure(OutboundFailure, std::string_view reason) override
    {
        m_reason = reason;
        report(LogLevel::Warning, "fetch of published items failed");
        m_owner.onFetchEnded(m_track, false);
    }

    void stop()
    {
        m_timer.cancel();
        m_outbound.reset();
    }

private:
    void awaitProgress()
    {
        m_timer.start(progressTimeout, [this] { onAnswerFailure(OutboundFailure::Lost, "no progress in time"); });
    }

    void report(LogLevel level, std::string_view message) const
    {
        const auto& replica = m_owner.m_core.fleetState.replica();
        log(level, message, { { "peer", m_instance }, { "target", m_target }, { "status", m_status }, { "reason", m_reason }, { "bytes", m_body.size() }, { "took_ms", toMilliseconds(m_owner.m_core.clock.now() - m_startedAt) }, { "revision", replica.revision() }, { "complete_revision", replica.completeRevision() } });
    }

    SnapshotExchange& m_owner;
    Track& m_track;
    InstanceId m_instance;
    std::string m_target;
    std::function<bool(const std::string& body)> m_take;
    OneShotTimer m_timer;
    Instant m_startedAt;
    std::string m_body;
    std::string m_reason;
    int m_status = 0;
    std::unique_ptr<OutboundExchange> m_outbound;
};

SnapshotExchange::SnapshotExchange(EntryCore& core, std::function<void()> readStore)
    : m_core(core)
    , m_readStore(std::move(readStore))
    , m_budget(core.settings.linkMbps, core.clock.now())
{
    m_changes.delay = drawFetchDelay();
    m_values.delay = drawFetchDelay();
}

SnapshotExchange::~SnapshotExchange() = default;

Duration SnapshotExchange::drawFetchDelay() const
{
    return minFetchDelay + std::chrono::duration_cast<Duration>(fetchDelaySpread * m_core.random->uniformReal());
}

void SnapshotExchange::onFetchEnded(Track& track, bool succeeded)
{
    // This runs inside a callback of the fetch, so the fetch is destroyed later by the event loop.
    std::shared_ptr<Fetch> fetch = std::move(track.fetch);
    fetch->stop();
    boost::asio::post(m_core.io, [fetch] {});
    track.failures = succeeded ? 0 : track.failures + 1;
    if (track.failures < failuresBeforeStoreRead)
        return;
    track.failures = 0;
    m_readStore();
}

bool SnapshotExchange::isDue(Track& track, bool sourceExists)
{
    const auto now = m_core.clock.now();
    if (!sourceExists) {
        track.behindSince = {};
        return false;
    }
    if (track.behindSince == Instant {})
        track.behindSince = now;
    return now - track.behindSince >= track.delay && !track.fetch && now - track.lastStart >= minFetchInterval;
}

void SnapshotExchange::startFetch(Track& track, const PeerState& source, const std::string& target, std::function<bool(const std::string& body)> take)
{
    track.lastStart = m_core.clock.now();
    track.delay = drawFetchDelay();
    track.fetch = std::make_unique<Fetch>(*this, track, source, target, std::move(take));
}

void SnapshotExchange::tick()
{
    const auto& replica = m_core.fleetState.replica();
    const auto peers = m_core.peerTable.alive();
    const auto* ahead = chooseSnapshotSource(peers, m_core.settings.region, { replica.era(), replica.revision() }, *m_core.random);
    if (isDue(m_changes, ahead))
        startFetch(m_changes, *ahead, snapshotTarget(replica), [this](const auto& body) { return takeSnapshot(body); });
    fetchAwaitedValue(peers);
}

void SnapshotExchange::fetchAwaitedValue(std::span<const PeerState* const> peers)
{
    const auto& replica = m_core.fleetState.replica();
    if (replica.awaitedValues().empty()) {
        m_values.behindSince = {};
        return;
    }
    const auto& [key, revision] = *replica.awaitedValues().begin();
    const auto* holder = chooseValueSource(peers, m_core.settings.region, { replica.era(), revision }, *m_core.random);
    const bool due = isDue(m_values, true);
    const auto now = m_core.clock.now();
    if (due && holder) {
        startFetch(m_values, *holder, valueTarget(key, heldRevision(replica, key)), [this](const auto& body) { return takeValue(body); });
    } else if (due && now - std::max(m_values.behindSince, m_values.lastStart) >= maxWaitForHolder) {
        m_values.lastStart = now;
        m_readStore();
    }
}

bool SnapshotExchange::takeSnapshot(const std::string& body)
{
    const auto snapshot = decodeSnapshot(body);
    if (snapshot)
        applySnapshot(m_core.fleetState, *snapshot, m_core.clock.now());
    return snapshot.has_value();
}

bool SnapshotExchange::takeValue(const std::string& body)
{
    const auto message = decodeItemValue(body);
    const auto applied = message ? applyItemValue(m_core.fleetState, *message) : Result<void>(tl::unexpected(message.error()));
    if (!applied)
        logWarning("value of a published item not usable", { { "reason", applied.error().detail } });
    return applied.has_value();
}

Duration SnapshotExchange::behindFor() const
{
    const auto now = m_core.clock.now();
    const auto since = [&](const Track& track) { return track.behindSince == Instant {} ? Duration::zero() : now - track.behindSince; };
    return std::max(since(m_changes), since(m_values));
}

std::optional<std::string> SnapshotExchange::bodyFor(const RequestMessage& request)
{
    const std::string_view target = request.target;
    const auto& replica = m_core.fleetState.replica();
    if (target.starts_with(snapshotPath)) {
        const auto after = parseRevision(target.substr(snapshotPath.size()));
        const auto largeValues = target.ends_with(valuesFollow) ? LargeValues::Follow : LargeValues::Included;
        if (!after || (largeValues == LargeValues::Included && !replica.awaitedValues().empty()))
            return {};
        const auto era = parseEra(target);
        // The requester's revision means nothing here if it belongs to another era.
        return encodeSnapshot(era == 0 || era == replica.era() ? snapshotAfter(replica, *after, largeValues, m_core.clock.now()) : wholeSnapshot(replica, largeValues));
    }
    const auto after = parseRevision(target.substr(valuePath.size()));
    const auto key = parseKey(target);
    return after && key ? m_compressedValues.encode(replica, *key, *after) : std::nullopt;
}

bool SnapshotExchange::isItemsPath(std::string_view target)
{
    return target.starts_with(snapshotPath) || target.starts_with(valuePath);
}

bool SnapshotExchange::answer(InboundExchange& exchange)
{
    if (!isItemsPath(exchange.request().target))
        return false;
    const auto now = m_core.clock.now();
    AnswerHead head;
    const auto body = m_budget.available(now) ? bodyFor(exchange.request()) : std::nullopt;
    if (!body) {
        head.status = statusBusy;
        exchange.sendComplete(std::move(head), {});
        return true;
    }
    m_budget.charge(body->size(), now);
    head.headers.push_back({ "Content-Type", "application/octet-stream" });
    exchange.sendComplete(std::move(head), *body);
    return true;
}

} // namespace yuccashift
