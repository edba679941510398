#include "yuccashift/answers/stream_ledger.hpp"

namespace yuccashift {

std::vector<StreamId> StreamLedger::reconnect()
{
    ++m_connection;
    std::vector<StreamId> closedStreams;
    for (const auto& [id, answer] : m_streams)
        closedStreams.push_back(id);
    m_streams.clear();
    return closedStreams;
}

StreamId StreamLedger::open()
{
    // Stream numbers continue across reconnects, so that a number alone is unique on the link.
    const StreamId id { m_connection, m_nextStream++ };
    m_streams.emplace(id, Answer {});
    return id;
}

void StreamLedger::close(StreamId id)
{
    m_streams.erase(id);
}

Result<FrameUse> StreamLedger::onHead(StreamId id)
{
    const auto it = m_streams.find(id);
    if (it == m_streams.end())
        return FrameUse::Drop;
    if (it->second.hasHead)
        return closeWithError(id, "a second head arrived");
    it->second.hasHead = true;
    return FrameUse::Deliver;
}

Result<FrameUse> StreamLedger::onChunk(StreamId id, std::uint64_t offset, std::uint64_t size)
{
    const auto it = m_streams.find(id);
    if (it == m_streams.end())
        return FrameUse::Drop;
    auto& answer = it->second;
    if (!answer.hasHead)
        return closeWithError(id, "a chunk came before the head");
    if (offset == answer.delivered) {
        answer.delivered += size;
        return FrameUse::Deliver;
    }
    // A subtraction instead of a sum, which could overflow.
    const bool duplicate = offset < answer.delivered && size <= answer.delivered - offset;
    if (duplicate)
        return FrameUse::Drop;
    return closeWithError(id, "a chunk is out of its place");
}

Result<FrameUse> StreamLedger::onEnd(StreamId id, std::uint64_t length)
{
    const auto it = m_streams.find(id);
    if (it == m_streams.end())
        return FrameUse::Drop;
    if (!it->second.hasHead || it->second.delivered != length)
        return closeWithError(id, "the answer is shorter or longer than its end mark says");
    m_streams.erase(it);
    return FrameUse::Deliver;
}

bool StreamLedger::isOpen(StreamId id) const
{
    return m_streams.contains(id);
}

std::uint64_t StreamLedger::delivered(StreamId id) const
{
    const auto it = m_streams.find(id);
    return it == m_streams.end() ? 0 : it->second.delivered;
}

tl::unexpected<Error> StreamLedger::closeWithError(StreamId id, std::string detail)
{
    m_streams.erase(id);
    return fail(ErrorKind::AnswerIncomplete, std::move(detail));
}

} // namespace yuccashift
