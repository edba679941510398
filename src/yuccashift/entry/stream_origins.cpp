#include "yuccashift/entry/stream_origins.hpp"

#include "yuccashift/kernel/hash.hpp"
#include "yuccashift/kernel/log.hpp"
#include "yuccashift/kernel/rendezvous.hpp"

#include <algorithm>
#include <boost/asio/ip/address_v4.hpp>
#include <utility>

namespace yuccashift {

namespace {

    /** Holders of a stream in each region. */
    constexpr std::size_t holdersPerRegion = 2;
    /**
     * An instance tells the first other region in the group's order, and asks the first two: leaving out two
     * different regions of one order, the instance that asks still asks the region that was told, or belongs to it.
     */
    constexpr std::size_t regionsTold = 1;
    constexpr std::size_t regionsAsked = 2;
    /** How long the holders of a group are used before they are chosen again among the instances that are active. */
    constexpr Duration holderLifetime = seconds(1);
    /** A question is repeated after this time, in case that it or its answer was lost. */
    constexpr Duration repeatAfter = milliseconds(180);
    /** Keeps a datagram within one packet. */
    constexpr std::size_t maxAttemptsPerDatagram = 100;

    AttemptHash hashOfAttempt(std::string_view attemptId)
    {
        return static_cast<AttemptHash>(hash64(attemptId));
    }

    std::int32_t addressNumber(const std::string& ip)
    {
        boost::system::error_code ec;
        const auto address = boost::asio::ip::make_address_v4(ip, ec);
        return ec ? 0 : static_cast<std::int32_t>(address.to_uint());
    }

    std::string addressText(std::int32_t number)
    {
        return boost::asio::ip::address_v4(static_cast<std::uint32_t>(number)).to_string();
    }

} // namespace

DatagramSender::~DatagramSender() = default;

StreamOrigins::StreamOrigins(const Clock& clock, const EntrySettings& settings, const PeerTable& peerTable)
    : m_clock(clock)
    , m_settings(settings)
    , m_peerTable(peerTable)
{
}

void StreamOrigins::updateRegions()
{
    const auto now = m_clock.now();
    if (m_regionsUpdatedAt != Instant {} && now - m_regionsUpdatedAt < holderLifetime)
        return;
    m_regionsUpdatedAt = now;
    m_regions.clear();
    for (const auto& [datacentre, region] : m_settings.regions)
        m_regions[region];
    for (const auto* peer : m_peerTable.alive()) {
        if (peer->draining)
            continue;
        auto& region = m_regions[peer->region];
        region.instances.push_back(peer->instance);
        region.addresses[peer->instance] = peer->ip;
    }
}

StreamOrigins::Holders StreamOrigins::chooseHolders(std::uint64_t group)
{
    updateRegions();
    Holders holders;
    holders.chosenAt = m_clock.now();
    std::vector<RegionName> others;
    for (const auto& [name, region] : m_regions) {
        if (name != m_settings.region)
            others.push_back(name);
    }
    const auto pick = [&](const Region& region, std::size_t count, std::vector<std::string>& out) {
        for (const auto& it : rendezvousTop(group, region.instances, count))
            out.push_back(region.addresses.at(it));
    };
    pick(m_regions[m_settings.region], holdersPerRegion, holders.ownRegion);
    for (const auto& name : rendezvousTop(group, others, regionsAsked))
        pick(m_regions[name], 1, holders.otherRegions);
    return holders;
}

const StreamOrigins::Holders& StreamOrigins::holdersOf(AttemptHash attempt)
{
    const auto group = attempt % groupCount;
    auto& holders = m_holders[group];
    if (holders.chosenAt == Instant {} || m_clock.now() - holders.chosenAt >= holderLifetime)
        holders = chooseHolders(group);
    return holders;
}

void StreamOrigins::add(AttemptHash attempt, SoftwareId software)
{
    if (software == 0)
        return;
    m_table.record(attempt, software, m_clock.now());
    if (auto search = m_searches.extract(attempt)) {
        for (const auto& it : search.mapped().waiting)
            it(software);
    }
}

void StreamOrigins::record(std::string_view attemptId, SoftwareId software)
{
    add(hashOfAttempt(attemptId), software);
}

void StreamOrigins::publish(std::string_view attemptId, SoftwareId software)
{
    const auto attempt = hashOfAttempt(attemptId);
    add(attempt, software);
    if (software == 0 || !m_sender)
        return;
    const auto& holders = holdersOf(attempt);
    for (const auto& ip : holders.ownRegion)
        m_newsForOwnRegion[ip][software].push_back(attempt);
    for (const auto& ip : std::span(holders.otherRegions).first(std::min(regionsTold, holders.otherRegions.size())))
        m_newsForOtherRegions[ip][software].push_back(attempt);
}

SoftwareId StreamOrigins::findHere(std::string_view attemptId) const
{
    return m_table.find(hashOfAttempt(attemptId));
}

void StreamOrigins::find(std::string_view attemptId, OnFound found)
{
    const auto attempt = hashOfAttempt(attemptId);
    const auto known = m_table.find(attempt);
    if (known != 0 || !m_sender)
        return found(known);
    auto& search = m_searches[attempt];
    search.waiting.push_back(std::move(found));
    if (search.waiting.size() > 1)
        return;
    search.startedAt = m_clock.now();
    search.askedAt = search.startedAt;
    ask(attempt);
}

void StreamOrigins::ask(AttemptHash attempt)
{
    fleetwire::Datagram datagram;
    fleetwire::StreamOriginQuestion question;
    question.attempt = static_cast<std::int32_t>(attempt);
    question.asker = addressNumber(m_settings.ip);
    const auto& holders = holdersOf(attempt);
    datagram.__set_streamOriginQuestion(question);
    for (const auto& ip : holders.ownRegion)
        m_sender->sendDatagram(ip, datagram);
    datagram.streamOriginQuestion.passOn = true;
    for (const auto& ip : holders.otherRegions)
        m_sender->sendDatagram(ip, datagram);
}

void StreamOrigins::onDatagram(const fleetwire::Datagram& datagram)
{
    if (datagram.__isset.streamOriginNews)
        onNews(datagram.streamOriginNews);
    if (datagram.__isset.streamOriginQuestion)
        onQuestion(datagram.streamOriginQuestion);
}

void StreamOrigins::onNews(const fleetwire::StreamOriginNews& news)
{
    for (const auto& origin : news.origins) {
        const auto software = static_cast<SoftwareId>(origin.software);
        for (const auto it : origin.attempts) {
            const auto attempt = static_cast<AttemptHash>(it);
            add(attempt, software);
            if (!news.passOn)
                continue;
            for (const auto& ip : holdersOf(attempt).ownRegion)
                m_newsForOwnRegion[ip][software].push_back(attempt);
        }
    }
}

void StreamOrigins::onQuestion(const fleetwire::StreamOriginQuestion& question)
{
    const auto attempt = static_cast<AttemptHash>(question.attempt);
    if (const auto software = m_table.find(attempt); software != 0 && m_sender)
        return send(addressText(question.asker), { { software, { attempt } } }, false);
    if (!question.passOn || !m_sender)
        return;
    fleetwire::Datagram datagram;
    datagram.__set_streamOriginQuestion(question);
    datagram.streamOriginQuestion.passOn = false;
    for (const auto& ip : holdersOf(attempt).ownRegion)
        m_sender->sendDatagram(ip, datagram);
}

void StreamOrigins::send(const std::string& ip, const News& news, bool passOn)
{
    for (const auto& [software, attempts] : news) {
        for (std::size_t at = 0; at < attempts.size(); at += maxAttemptsPerDatagram) {
            fleetwire::StreamOrigins origins;
            origins.software = static_cast<std::int64_t>(software);
            for (std::size_t i = at; i < std::min(attempts.size(), at + maxAttemptsPerDatagram); ++i)
                origins.attempts.push_back(static_cast<std::int32_t>(attempts[i]));
            fleetwire::Datagram datagram;
            datagram.__isset.streamOriginNews = true;
            datagram.streamOriginNews.origins.push_back(std::move(origins));
            datagram.streamOriginNews.passOn = passOn;
            m_sender->sendDatagram(ip, datagram);
        }
    }
}

void StreamOrigins::sendNews()
{
    for (const auto& [ip, news] : std::exchange(m_newsForOwnRegion, {}))
        send(ip, news, false);
    for (const auto& [ip, news] : std::exchange(m_newsForOtherRegions, {}))
        send(ip, news, true);
}

void StreamOrigins::tick()
{
    if (!m_sender)
        return;
    sendNews();
    const auto now = m_clock.now();
    std::vector<AttemptHash> ended;
    for (auto& [attempt, search] : m_searches) {
        if (now - search.startedAt >= lookupTimeout) {
            ended.push_back(attempt);
        } else if (now - search.askedAt >= repeatAfter) {
            search.askedAt = now;
            ask(attempt);
        }
    }
    for (const auto attempt : ended) {
        const auto search = m_searches.extract(attempt);
        logInfo("software of a stream not found", { { "waiting", search.mapped().waiting.size() }, { "after_ms", toMilliseconds(now - search.mapped().startedAt) } });
        for (const auto& it : search.mapped().waiting)
            it(0);
    }
}

} // namespace yuccashift
