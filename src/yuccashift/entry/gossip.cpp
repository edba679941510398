#include "yuccashift/entry/gossip.hpp"

#include "yuccashift/entry/snapshot_exchange.hpp"
#include "yuccashift/fleet/datagram.hpp"
#include "yuccashift/http/detail/scratch.hpp"
#include "yuccashift/kernel/log.hpp"

#include <algorithm>

namespace yuccashift {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

    /** Pace of heartbeats among few instances; load that others put on a server is at most this old, and the path. */
    constexpr Duration basePace = milliseconds(100);
    /** Instances of a region up to which the base pace holds; beyond, the pace slows so that control traffic stays level. */
    constexpr double instancesAtBasePace = 8;
    constexpr Duration slowestPace = seconds(1);
    /** Heartbeats that may be lost in a row before an instance counts as silent, and the least time for that. */
    constexpr double lostInARow = 3.5;
    constexpr Duration shortestSilence = milliseconds(1500);
    /** Instances of other regions are told on every so many rounds, and so many of each region at a time. */
    constexpr std::uint64_t roundsBetweenRegions = 2;
    constexpr std::size_t toldInEachRegion = 2;
    /** A heartbeat carries the sender's profile in its first rounds and then on every so many. */
    constexpr std::uint64_t roundsWithProfile = 10;
    constexpr std::uint64_t roundsBetweenProfiles = 8;
    /** An address that nobody has heard or named for so long is dropped. */
    constexpr Duration forgetAddress = seconds(20);
    /** Addresses that one heartbeat names. */
    constexpr std::size_t mostNamed = 24;
    /** News that do not fit into one packet are fetched instead. */
    constexpr std::size_t mostNewsBytes = 1200;

    ServerLoadSum decodeLoad(const fleetwire::ServerLoad& load)
    {
        ServerLoadSum sum;
        sum.requests = load.requests;
        sum.memoryTokens = load.memoryTokens;
        for (std::size_t i = 0; i < std::min(priorityLevels, load.waitingPromptTokens.size()); ++i)
            sum.waitingPromptTokens[i] = load.waitingPromptTokens[i];
        return sum;
    }

} // namespace

Gossip::Gossip(EntryCore& core)
    : m_core(core)
    , m_socket(core.io)
    , m_timer(core.io)
    , m_self(asio::ip::make_address_v4(core.settings.ip))
    , m_bytesNear(core.metrics.counter("yuccashift_heartbeat_bytes_total", { { "to", "own_region" } }))
    , m_bytesFar(core.metrics.counter("yuccashift_heartbeat_bytes_total", { { "to", "other_regions" } }))
    // A later start has a later wall time; a clock that jumps back is corrected by the others' silence.
    , m_incarnation(std::chrono::duration_cast<milliseconds>(core.clock.wallNow().time_since_epoch()).count())
{
    setSeeds(core.settings.seedAddresses);
}

void Gossip::setSeeds(const std::vector<std::string>& addresses)
{
    m_seeds.clear();
    for (const auto& text : addresses) {
        error_code ec;
        const auto address = asio::ip::make_address_v4(text, ec);
        if (ec)
            logWarning("seed is not an address", { { "seed", text } });
        else if (address != m_self)
            m_seeds.insert(address);
    }
    if (!m_seeds.empty())
        m_core.peerTable.expectPeers();
}

Result<void> Gossip::start()
{
    error_code ec;
    const Udp::endpoint local(m_self, m_core.settings.peerPort);
    m_socket.open(local.protocol(), ec);
    if (!ec)
        m_socket.bind(local, ec);
    if (!ec)
        m_socket.non_blocking(true, ec);
    if (ec)
        return fail(ErrorKind::BadSettings, "cannot take heartbeats: " + ec.message());
    receive();
    tick();
    return {};
}

void Gossip::receive()
{
    m_socket.async_wait(Udp::socket::wait_read, [this](const error_code& waitError) {
        if (waitError)
            return;
        auto& buf = detail::scratch();
        for (;;) {
            error_code ec;
            const auto n = m_socket.receive_from(asio::buffer(buf), m_sender, 0, ec);
            if (ec == asio::error::would_block || ec == asio::error::try_again)
                break;
            // An earlier datagram came back as undeliverable; the next one may be good.
            if (!ec)
                takeDatagram({ buf.data(), n });
        }
        receive();
    });
}

void Gossip::takeDatagram(std::string_view bytes)
{
    const auto datagram = decodeDatagram(bytes);
    if (!datagram) {
        logWarning("datagram not readable", { { "from", m_sender.address().to_string() }, { "bytes", bytes.size() } });
        return;
    }
    if (datagram->__isset.heartbeat)
        onBeat(datagram->heartbeat);
    if (datagram->__isset.news)
        onNews(datagram->news);
}

void Gossip::onNews(const fleetwire::Snapshot& news)
{
    const auto before = m_core.fleetState.replica().revision();
    if (applySnapshot(m_core.fleetState, news))
        logInfo("news from an instance", { { "from", m_sender.address().to_string() }, { "revision", news.revision }, { "before", before } });
}

void Gossip::noteAddresses(const fleetwire::Heartbeat& beat, const std::optional<InstanceId>& sender)
{
    const auto now = m_core.clock.now();
    if (m_sender.address().is_v4() && m_sender.address().to_v4() != m_self) {
        m_known[m_sender.address().to_v4()] = now;
        if (sender)
            m_names[m_sender.address().to_v4()] = *sender;
    }
    for (const auto it : beat.hears) {
        const Address address(static_cast<std::uint32_t>(it));
        if (address != m_self)
            m_known.emplace(address, now);
    }
}

void Gossip::onBeat(const fleetwire::Heartbeat& beat)
{
    const auto now = m_core.clock.now();
    const auto sender = m_core.peerTable.onHeartbeat(beat);
    noteAddresses(beat, sender);
    const auto* member = sender ? m_core.peerTable.find(*sender) : nullptr;
    if (!member)
        return;
    m_core.crashTracker.setPeerCrashes(*sender, beat.crashes);
    if (member->region != m_core.settings.region)
        return;
    std::map<std::uint64_t, ServerLoadSum> loads;
    for (const auto& load : beat.loads) {
        const auto server = static_cast<std::uint64_t>(static_cast<std::uint32_t>(load.server));
        loads[server] = decodeLoad(load);
        m_core.serverTracker.setPeerPrefill(*sender, server, { load.readingTokens, static_cast<std::size_t>(std::max(0, load.readingRank)), now });
    }
    m_core.serverTracker.setPeerLoads(*sender, std::move(loads));
}

Duration Gossip::interval() const
{
    const auto near = static_cast<double>(m_core.peerTable.activeInstancesIn(m_core.settings.region, true).size());
    const double factor = std::max(1.0, near / instancesAtBasePace);
    return std::min(slowestPace, std::chrono::duration_cast<Duration>(basePace * factor));
}

fleetwire::Heartbeat Gossip::ownBeat(bool withProfile)
{
    fleetwire::Heartbeat beat;
    const auto& settings = m_core.settings;
    beat.sender = hashOfInstance(settings.instance);
    beat.incarnation = m_incarnation;
    beat.sequence = ++m_sequence;
    beat.draining = m_core.draining();
    beat.takesCallers = !m_core.draining() && m_core.fleetState.configVersion() > 0;
    beat.configVersion = m_core.fleetState.configVersion();
    beat.storeRevision = m_core.fleetState.replica().revision();
    beat.crashes = m_core.crashTracker.ownCrashes();
    if (!withProfile)
        return beat;
    fleetwire::Profile profile;
    profile.instance = settings.instance;
    profile.region = settings.region;
    profile.datacentre = settings.datacentre;
    profile.ip = settings.ip;
    beat.__set_profile(profile);
    auto alive = m_core.peerTable.alive();
    while (!alive.empty() && beat.hears.size() < mostNamed) {
        const auto drawn = m_core.random->below(alive.size());
        error_code ec;
        const auto address = asio::ip::make_address_v4(alive[drawn]->ip, ec);
        if (!ec)
            beat.hears.push_back(static_cast<std::int32_t>(address.to_uint()));
        alive[drawn] = alive.back();
        alive.pop_back();
    }
    return beat;
}

void Gossip::addLoads(fleetwire::Heartbeat& beat) const
{
    for (const auto& [server, load] : m_core.serverTracker.ownLoads()) {
        fleetwire::ServerLoad it;
        it.server = static_cast<std::int32_t>(server);
        it.requests = load.requests;
        it.memoryTokens = load.memoryTokens;
        it.waitingPromptTokens.assign(load.waitingPromptTokens.begin(), load.waitingPromptTokens.end());
        while (!it.waitingPromptTokens.empty() && it.waitingPromptTokens.back() == 0)
            it.waitingPromptTokens.pop_back();
        const auto reading = m_core.serverTracker.ownPrefill(server);
        it.readingTokens = reading.tokens;
        it.readingRank = static_cast<std::int32_t>(reading.priority);
        beat.loads.push_back(std::move(it));
    }
}

void Gossip::addRooms(fleetwire::Heartbeat& beat) const
{
    for (const auto& [service, room] : m_core.planner.freeCapacity()) {
        fleetwire::ServiceRoom it;
        it.serviceName = service;
        for (const auto wait : room.wait)
            it.waitMs.push_back(static_cast<std::int32_t>(toMilliseconds(wait)));
        it.freeSlots = room.freeSlots;
        beat.rooms.push_back(std::move(it));
    }
}

void Gossip::sendTo(std::span<const Address> addresses, const std::string& bytes)
{
    for (const auto& address : addresses) {
        error_code ec;
        // A datagram that cannot leave now is lost like any other; the next one follows shortly.
        m_socket.send_to(asio::buffer(bytes), { address, m_core.settings.peerPort }, 0, ec);
    }
}

std::vector<Gossip::Address> Gossip::nearAddresses() const
{
    std::vector<Address> near;
    for (const auto& [address, seen] : m_known) {
        const auto name = m_names.find(address);
        const auto* member = name == m_names.end() ? nullptr : m_core.peerTable.find(name->second);
        if (member && member->region == m_core.settings.region)
            near.push_back(address);
    }
    return near;
}

std::vector<Gossip::Address> Gossip::someFarAddresses()
{
    std::map<RegionName, std::vector<Address>> byRegion;
    for (const auto& [address, seen] : m_known) {
        const auto name = m_names.find(address);
        const auto* member = name == m_names.end() ? nullptr : m_core.peerTable.find(name->second);
        // Addresses whose profile has not come yet count as a region of their own.
        const auto region = member ? member->region : RegionName();
        if (region != m_core.settings.region)
            byRegion[region].push_back(address);
    }
    for (const auto& seed : m_seeds) {
        if (!m_known.contains(seed))
            byRegion[RegionName()].push_back(seed);
    }
    std::vector<Address> far;
    for (auto& [region, addresses] : byRegion) {
        // A starting instance looks for others; later their own heartbeats make them known.
        const auto most = region.empty() && m_round < roundsWithProfile ? mostNamed : toldInEachRegion;
        for (std::size_t n = 0; n < most && !addresses.empty(); ++n) {
            const auto drawn = m_core.random->below(addresses.size());
            far.push_back(addresses[drawn]);
            addresses[drawn] = addresses.back();
            addresses.pop_back();
        }
    }
    return far;
}

void Gossip::sendHeartbeats()
{
    const auto now = m_core.clock.now();
    std::erase_if(m_known, [&](const auto& entry) { return now - entry.second > forgetAddress; });
    const bool withProfile = m_round < roundsWithProfile || m_round % roundsBetweenProfiles == 0;
    const auto near = nearAddresses();
    if (!near.empty()) {
        fleetwire::Datagram datagram;
        datagram.__set_heartbeat(ownBeat(withProfile));
        addLoads(datagram.heartbeat);
        const auto bytes = encodeDatagram(datagram);
        m_bytesNear.add(bytes.size() * near.size());
        sendTo(near, bytes);
    }
    if (m_round % roundsBetweenRegions != 0 && !m_core.draining())
        return;
    const auto far = someFarAddresses();
    if (far.empty())
        return;
    // Those told now may not have heard the profile before.
    fleetwire::Datagram datagram;
    datagram.__set_heartbeat(ownBeat(true));
    addRooms(datagram.heartbeat);
    const auto bytes = encodeDatagram(datagram);
    m_bytesFar.add(bytes.size() * far.size());
    sendTo(far, bytes);
}

void Gossip::forwardChanges(std::int64_t after)
{
    fleetwire::Datagram datagram;
    datagram.__set_news(snapshotAfter(m_core.fleetState.replica(), after));
    if (datagram.news.whole)
        return;
    const auto bytes = encodeDatagram(datagram);
    if (bytes.size() > mostNewsBytes)
        return;
    sendTo(nearAddresses(), bytes);
}

void Gossip::tick()
{
    m_core.peerTable.updateActiveInstances(m_core.settings.region);
    sendHeartbeats();
    ++m_round;
    for (const auto& instance : m_core.peerTable.expire()) {
        logInfo("instance silent for long", { { "peer", instance } });
        m_core.serverTracker.setPeerLoads(instance, {});
        m_core.crashTracker.setPeerCrashes(instance, {});
    }
    const auto pace = interval();
    m_core.peerTable.setHeartbeatTimeout(std::max(shortestSilence, std::chrono::duration_cast<Duration>(pace * lostInARow)));
    m_timer.expires_after(pace);
    m_timer.async_wait([this](const error_code& ec) {
        if (!ec)
            tick();
    });
}

} // namespace yuccashift
