#include "yuccashift/entry/gossip.hpp"

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
    /** Instances up to which the base pace holds; beyond, the pace slows so that control traffic stays level. */
    constexpr double instancesAtBasePace = 12;
    constexpr Duration slowestPace = milliseconds(500);
    /** Instances of other regions are told on every so many rounds. */
    constexpr std::uint64_t roundsBetweenRegions = 2;
    /** An address that nobody has heard or named for so long is dropped. */
    constexpr Duration forgetAddress = seconds(20);
    /** Addresses that one heartbeat names. */
    constexpr std::size_t mostNamed = 100;

    ServerLoadSum decodeLoad(const fleetwire::ServerLoad& load)
    {
        ServerLoadSum sum;
        sum.requests = load.requests;
        sum.memoryTokens = load.memoryTokens;
        for (std::size_t i = 0; i < std::min(urgencyRanks, load.waitingPromptTokens.size()); ++i)
            sum.waitingPromptTokens[i] = load.waitingPromptTokens[i];
        return sum;
    }

} // namespace

Gossip::Gossip(EntryCore& core)
    : m_core(core)
    , m_socket(core.io)
    , m_timer(core.io)
    , m_self(asio::ip::make_address_v4(core.settings.ip))
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
        m_core.members.expectOthers();
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
    const auto beat = decodeHeartbeat(bytes);
    if (!beat) {
        logWarning("heartbeat not readable", { { "from", m_sender.address().to_string() }, { "bytes", bytes.size() } });
        return;
    }
    onBeat(*beat);
}

void Gossip::onBeat(const fleetwire::Heartbeat& beat)
{
    const auto now = m_core.clock.now();
    if (m_sender.address().is_v4() && m_sender.address().to_v4() != m_self) {
        m_known[m_sender.address().to_v4()] = now;
        m_names[m_sender.address().to_v4()] = beat.instance;
    }
    for (const auto it : beat.hears) {
        const Address address(static_cast<std::uint32_t>(it));
        if (address != m_self)
            m_known.emplace(address, now);
    }
    if (!m_core.members.take(beat))
        return;
    std::map<std::uint64_t, ServerLoadSum> loads;
    for (const auto& load : beat.loads) {
        const auto server = static_cast<std::uint64_t>(load.server);
        loads[server] = decodeLoad(load);
        m_core.book.setPeerReading(beat.instance, server, { load.readingTokens, static_cast<std::size_t>(std::max(0, load.readingRank)), now });
    }
    m_core.book.setPeerLoads(beat.instance, std::move(loads));
    m_core.crashes.setPeerDeaths(beat.instance, beat.crashes);
}

Duration Gossip::interval() const
{
    const double factor = std::max(1.0, static_cast<double>(m_known.size()) / instancesAtBasePace);
    return std::min(slowestPace, std::chrono::duration_cast<Duration>(basePace * factor));
}

std::string Gossip::encodeOwn(bool withLoads)
{
    fleetwire::Heartbeat beat;
    const auto& settings = m_core.settings;
    beat.instance = settings.instance;
    beat.incarnation = m_incarnation;
    beat.sequence = ++m_sequence;
    beat.region = settings.region;
    beat.datacentre = settings.datacentre;
    beat.ip = settings.ip;
    beat.draining = m_core.draining;
    beat.takesCallers = !m_core.draining && m_core.world.configVersion() > 0;
    beat.configVersion = m_core.world.configVersion();
    beat.storeRevision = m_core.world.held().revision();
    if (withLoads) {
        for (const auto& [server, load] : m_core.book.ownLoads()) {
            fleetwire::ServerLoad it;
            it.server = static_cast<std::int64_t>(server);
            it.requests = load.requests;
            it.waitingPromptTokens.assign(load.waitingPromptTokens.begin(), load.waitingPromptTokens.end());
            it.memoryTokens = load.memoryTokens;
            const auto reading = m_core.book.ownReading(server);
            it.readingTokens = reading.tokens;
            it.readingRank = static_cast<std::int32_t>(reading.rank);
            beat.loads.push_back(it);
        }
    } else {
        for (const auto& [service, room] : m_core.dispatcher.rooms()) {
            fleetwire::ServiceRoom it;
            it.serviceName = service;
            for (const auto wait : room.wait)
                it.waitMs.push_back(static_cast<std::int32_t>(toMilliseconds(wait)));
            it.freeSlots = room.freeSlots;
            beat.rooms.push_back(it);
        }
    }
    for (const auto* member : m_core.members.alive()) {
        error_code ec;
        const auto address = asio::ip::make_address_v4(member->ip, ec);
        if (!ec && beat.hears.size() < mostNamed)
            beat.hears.push_back(static_cast<std::int32_t>(address.to_uint()));
    }
    beat.crashes = m_core.crashes.ownDeaths();
    return encodeHeartbeat(beat);
}

void Gossip::sendTo(Address address, const std::string& bytes)
{
    error_code ec;
    // A datagram that cannot leave now is lost like any other; the next one follows shortly.
    m_socket.send_to(asio::buffer(bytes), { address, m_core.settings.peerPort }, 0, ec);
}

void Gossip::announce()
{
    const auto now = m_core.clock.now();
    std::erase_if(m_known, [&](const auto& entry) { return now - entry.second > forgetAddress; });
    std::set<Address> near;
    std::set<Address> far(m_seeds.begin(), m_seeds.end());
    for (const auto& [address, seen] : m_known) {
        const auto name = m_names.find(address);
        const auto* member = name == m_names.end() ? nullptr : m_core.members.find(name->second);
        const bool sameRegion = member && member->region == m_core.settings.region;
        (sameRegion ? near : far).insert(address);
        if (sameRegion)
            far.erase(address);
    }
    if (!near.empty()) {
        const auto bytes = encodeOwn(true);
        for (const auto& address : near)
            sendTo(address, bytes);
    }
    if (far.empty() || (m_round % roundsBetweenRegions != 0 && !m_core.draining))
        return;
    const auto bytes = encodeOwn(false);
    for (const auto& address : far)
        sendTo(address, bytes);
}

void Gossip::tick()
{
    m_core.members.noteOwners(m_core.settings.region);
    announce();
    ++m_round;
    for (const auto& instance : m_core.members.expire()) {
        logInfo("instance silent for long", { { "instance", instance } });
        m_core.book.setPeerLoads(instance, {});
        m_core.crashes.setPeerDeaths(instance, {});
    }
    m_timer.expires_after(interval());
    m_timer.async_wait([this](const error_code& ec) {
        if (!ec)
            tick();
    });
}

} // namespace yuccashift
