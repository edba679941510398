#include "yuccashift/entry/snapshot_exchange.hpp"

#include "yuccashift/fleet/datagram.hpp"
#include "yuccashift/kernel/log.hpp"
#include "yuccashift/kernel/one_shot_timer.hpp"

#include <boost/asio/post.hpp>
#include <charconv>

namespace yuccashift {

namespace {

    constexpr std::string_view snapshotPath = "/yuccashift-peer/snapshot?after=";
    /** This instance's own watch delivers a change after one network path to the store; a peer is asked only after that. */
    constexpr Duration minFetchDelay = milliseconds(200);
    /** Random addition, so that instances that start or fall behind together send their requests at different times. */
    constexpr Duration fetchDelaySpread = milliseconds(250);
    constexpr Duration minFetchInterval = milliseconds(400);
    constexpr Duration fetchTimeout = milliseconds(1500);
    constexpr Duration connectTimeout = milliseconds(500);
    constexpr int statusOk = 200;
    /** Status by which an instance answers that it has sent too many snapshots recently. */
    constexpr int statusBusy = 503;

    std::optional<std::int64_t> parseRequestedRevision(const RequestMessage& request)
    {
        if (!request.target.starts_with(snapshotPath))
            return {};
        const auto digits = std::string_view(request.target).substr(snapshotPath.size());
        std::int64_t revision = 0;
        const auto [end, ec] = std::from_chars(digits.data(), digits.data() + digits.size(), revision);
        if (ec != std::errc())
            return {};
        return revision;
    }

} // namespace

fleetwire::Snapshot snapshotAfter(const ItemReplica& held, std::int64_t revision)
{
    fleetwire::Snapshot snapshot;
    snapshot.revision = held.revision();
    snapshot.after = revision;
    const auto add = [&](const std::string& key, const std::optional<std::string>& value, std::int64_t at) {
        fleetwire::HeldItem it;
        it.key = key;
        it.revision = at;
        if (value)
            it.__set_value(*value);
        snapshot.items.push_back(std::move(it));
    };
    if (const auto changes = held.changesAfter(revision)) {
        for (const auto& change : *changes)
            add(change.key, change.value, change.revision);
        return snapshot;
    }
    snapshot.whole = true;
    for (const auto& [key, item] : held.items())
        add(key, item.value, item.revision);
    return snapshot;
}

bool applySnapshot(FleetState& fleetState, const fleetwire::Snapshot& snapshot)
{
    const auto known = fleetState.replica().revision();
    if (snapshot.revision <= known || (!snapshot.whole && snapshot.after > known))
        return false;
    std::vector<ItemChange> items;
    items.reserve(snapshot.items.size());
    for (const auto& it : snapshot.items)
        items.push_back({ it.key, it.__isset.value ? std::optional(it.value) : std::nullopt, it.revision });
    if (snapshot.whole)
        fleetState.replaceAll(items, snapshot.revision);
    else
        fleetState.apply(items, snapshot.revision);
    return true;
}

/** One snapshot request to one instance. */
class SnapshotExchange::Fetch final : public OutboundListener {
public:
    Fetch(SnapshotExchange& owner, const PeerState& peer)
        : m_owner(owner)
        , m_instance(peer.instance)
        , m_timer(owner.m_core.io)
        , m_startedAt(owner.m_core.clock.now())
    {
        auto& core = owner.m_core;
        OutboundRequest request;
        request.endpoint = { peer.ip, core.settings.peerPort };
        request.poolKey = peer.instance + "|" + std::to_string(peer.incarnation);
        request.connectTimeout = connectTimeout;
        request.bytes = "GET " + std::string(snapshotPath) + std::to_string(core.fleetState.replica().revision()) + " HTTP/1.1\r\nHost: " + peer.ip + "\r\n\r\n";
        m_outbound = core.peerConnections.start(std::move(request), *this);
        m_timer.start(fetchTimeout, [this] { onAnswerFailure(OutboundFailure::Lost, "no answer in time"); });
    }

    void onAnswerHead(const AnswerHead& head) override { m_status = head.status; }
    void onAnswerBody(std::string_view data) override { m_body.append(data); }
    void onAnswerEnd() override
    {
        const auto snapshot = decodeSnapshot(m_body);
        if (m_status == statusOk && snapshot)
            take(*snapshot);
        else if (m_status == statusBusy)
            logInfo("peer sends no further snapshots now; reading the store", { { "peer", m_instance } });
        else
            logWarning("snapshot invalid", { { "peer", m_instance }, { "status", m_status } });
        m_owner.onFetchEnded(m_status == statusOk && snapshot);
    }
    void onAnswerFailure(OutboundFailure, std::string_view reason) override
    {
        logWarning("snapshot fetch failed", { { "peer", m_instance }, { "reason", reason }, { "bytes", m_body.size() }, { "took_ms", toMilliseconds(m_owner.m_core.clock.now() - m_startedAt) } });
        m_owner.onFetchEnded(false);
    }

    void stop()
    {
        m_timer.cancel();
        m_outbound.reset();
    }

private:
    void take(const fleetwire::Snapshot& snapshot)
    {
        auto& fleetState = m_owner.m_core.fleetState;
        const auto before = fleetState.replica().revision();
        const bool taken = applySnapshot(fleetState, snapshot);
        logInfo("snapshot received", { { "peer", m_instance }, { "revision", snapshot.revision }, { "before", before }, { "items", snapshot.items.size() }, { "whole", snapshot.whole ? 1 : 0 }, { "taken", taken ? 1 : 0 }, { "bytes", m_body.size() }, { "took_ms", toMilliseconds(m_owner.m_core.clock.now() - m_startedAt) } });
    }

    SnapshotExchange& m_owner;
    InstanceId m_instance;
    OneShotTimer m_timer;
    Instant m_startedAt;
    std::string m_body;
    int m_status = 0;
    std::unique_ptr<OutboundExchange> m_outbound;
};

SnapshotExchange::SnapshotExchange(EntryCore& core, std::function<void()> readStore)
    : m_core(core)
    , m_readStore(std::move(readStore))
    , m_budget(core.clock.now())
    , m_fetchDelay(drawFetchDelay())
{
}

SnapshotExchange::~SnapshotExchange() = default;

Duration SnapshotExchange::drawFetchDelay() const
{
    return minFetchDelay + std::chrono::duration_cast<Duration>(fetchDelaySpread * m_core.random->uniformReal());
}

void SnapshotExchange::onFetchEnded(bool succeeded)
{
    // This runs inside a callback of the fetch, so the fetch is destroyed later by the event loop.
    std::shared_ptr<Fetch> fetch = std::move(m_fetch);
    fetch->stop();
    boost::asio::post(m_core.io, [fetch] {});
    if (!succeeded)
        m_readStore();
}

void SnapshotExchange::tick()
{
    const auto now = m_core.clock.now();
    const auto* ahead = chooseSnapshotSource(m_core.peerTable.alive(), m_core.settings.region, m_core.fleetState.replica().revision(), *m_core.random);
    if (!ahead) {
        m_behindSince = {};
        return;
    }
    if (m_behindSince == Instant {})
        m_behindSince = now;
    if (now - m_behindSince < m_fetchDelay || m_fetch || now - m_lastFetch < minFetchInterval)
        return;
    m_lastFetch = now;
    m_fetchDelay = drawFetchDelay();
    m_fetch = std::make_unique<Fetch>(*this, *ahead);
}

Duration SnapshotExchange::behindFor() const
{
    return m_behindSince == Instant {} ? Duration::zero() : m_core.clock.now() - m_behindSince;
}

bool SnapshotExchange::answer(InboundExchange& exchange)
{
    const auto after = parseRequestedRevision(exchange.request());
    if (!after)
        return false;
    const auto now = m_core.clock.now();
    AnswerHead head;
    if (!m_budget.available(now)) {
        head.status = statusBusy;
        exchange.sendComplete(std::move(head), {});
        return true;
    }
    const auto body = encodeSnapshot(snapshotAfter(m_core.fleetState.replica(), *after));
    m_budget.charge(body.size(), now);
    head.headers.push_back({ "Content-Type", "application/octet-stream" });
    exchange.sendComplete(std::move(head), body);
    return true;
}

} // namespace yuccashift
