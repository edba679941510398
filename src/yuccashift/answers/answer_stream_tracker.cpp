#include "yuccashift/answers/answer_stream_tracker.hpp"

namespace yuccashift {

std::vector<StreamId> AnswerStreamTracker::reconnect()
{
    ++m_connection;
    std::vector<StreamId> closedStreams;
    for (const auto& [id, answer] : m_streams)
        closedStreams.push_back(id);
    m_streams.clear();
    return closedStreams;
}

StreamId AnswerStreamTracker::open()
{
    // Stream numbers continue across reconnects, so that a number alone is unique on the link.
    const StreamId id { m_connection, m_nextStream++ };
    m_streams.emplace(id, Answer {});
    return id;
}

void AnswerStreamTracker::close(StreamId id)
{
    m_streams.erase(id);
}

Result<FrameAction> AnswerStreamTracker::onHead(StreamId id)
{
    const auto it = m_streams.find(id);
    if (it == m_streams.end())
        return FrameAction::Drop;
    if (it->second.hasHead)
        return closeWithError(id, "a second head arrived");
    it->second.hasHead = true;
    return FrameAction::Deliver;
}

Result<FrameAction> AnswerStreamTracker::onChunk(StreamId id, std::uint64_t offset, std::uint64_t size)
{
    const auto it = m_streams.find(id);
    if (it == m_streams.end())
        return FrameAction::Drop;
    auto& answer = it->second;
    if (!answer.hasHead)
        return closeWithError(id, "a chunk came before the head");
    if (offset == answer.delivered) {
        answer.delivered += size;
        return FrameAction::Deliver;
    }
    // A subtraction instead of a sum, which could overflow.
    const bool duplicate = offset < answer.delivered && size <= answer.delivered - offset;
    if (duplicate)
        return FrameAction::Drop;
    return closeWithError(id, "a chunk is out of its place");
}

Result<FrameAction> AnswerStreamTracker::onEnd(StreamId id, std::uint64_t length)
{
    const auto it = m_streams.find(id);
    if (it == m_streams.end())
        return FrameAction::Drop;
    if (!it->second.hasHead || it->second.delivered != length)
        return closeWithError(id, "the answer is shorter or longer than its end mark says");
    m_streams.erase(it);
    return FrameAction::Deliver;
}

bool AnswerStreamTracker::isOpen(StreamId id) const
{
    return m_streams.contains(id);
}

std::uint64_t AnswerStreamTracker::deliveredBytes(StreamId id) const
{
    const auto it = m_streams.find(id);
    return it == m_streams.end() ? 0 : it->second.delivered;
}

tl::unexpected<Error> AnswerStreamTracker::closeWithError(StreamId id, std::string detail)
{
    m_streams.erase(id);
    return fail(ErrorKind::AnswerIncomplete, std::move(detail));
}

} // namespace yuccashift
