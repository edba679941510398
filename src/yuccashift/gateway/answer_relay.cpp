#include "yuccashift/gateway/answer_relay.hpp"

#include "yuccashift/routing/prefix_blocks.hpp"

namespace yuccashift {

namespace asio = boost::asio;

namespace {

    /** Answers other than token streams are buffered up to this size in bytes before they are relayed. */
    constexpr std::size_t maxBufferedBytes = 512 * 1024;
    /** Limit on the bytes that are read after the end mark of a stream, to reuse its connection. */
    constexpr std::size_t maxBytesAfterEndMark = 64 * 1024;
    constexpr int firstSuccess = 200;
    constexpr int lastSuccess = 299;

    tl::unexpected<Error> receiverGone()
    {
        return fail(ErrorKind::Cancelled, "the receiver of the answer is gone");
    }

} // namespace

AnswerRelay::AnswerRelay(AnswerSink& sink, std::uint32_t offset, const StreamSoftware& software)
    : m_sink(sink)
    , m_offset(offset)
    , m_streamSoftware(software)
{
}

std::uint32_t AnswerRelay::deliveredTokens() const
{
    return m_tracker ? m_tracker->tokenCount() : m_offset;
}

std::uint32_t AnswerRelay::tokensSent() const
{
    return m_tracker ? m_tracker->tokenCount() - m_offset : static_cast<std::uint32_t>(m_bodyBytes / bytesPerToken);
}

asio::awaitable<Result<void>> AnswerRelay::run(IncomingAnswer& answer, SoftwareId software)
{
    if (m_tracker || isEventStream(answer.head()))
        return relayEvents(answer, software);
    if (answer.head().length.value_or(0) <= maxBufferedBytes)
        return relayBuffered(answer);
    return relayUnbuffered(answer);
}

asio::awaitable<Result<void>> AnswerRelay::relayEvents(IncomingAnswer& answer, SoftwareId software)
{
    if (!m_streamSoftware.allows(software))
        co_return fail(ErrorKind::AnswerIncomplete, "the stream was not resumed at the software that began it");
    if (m_tracker) {
        // A server that cannot resume the stream sends another kind of answer, or an error, whose body may have the form of a stream.
        const bool resumed = answer.head().status >= firstSuccess && answer.head().status <= lastSuccess && isEventStream(answer.head());
        if (!resumed)
            co_return fail(ErrorKind::AnswerIncomplete, "the stream was not resumed");
        m_tracker->resume();
    } else {
        m_tracker.emplace(maxEventBytes, m_offset);
    }
    if (!m_sink.headSent()) {
        auto head = answer.head();
        head.length.reset();
        head.software = software;
        const bool delivered = co_await m_sink.head(std::move(head));
        if (!delivered)
            co_return receiverGone();
    }
    std::string events;
    std::size_t bytesAfterEndMark = 0;
    while (bytesAfterEndMark <= maxBytesAfterEndMark) {
        const auto chunk = co_await answer.next();
        // After the end mark, the end of the connection says nothing more; an answer without length or chunks has no other end.
        if (!chunk && m_tracker->done())
            break;
        if (!chunk)
            co_return tl::unexpected(chunk.error());
        if (chunk->empty())
            break;
        if (m_tracker->done())
            bytesAfterEndMark += chunk->size();
        events.clear();
        const auto parsed = m_tracker->feed(*chunk, events);
        bool received = true;
        if (!events.empty()) {
            m_streamSoftware.onEvents(software);
            received = co_await m_sink.chunk(events);
        }
        if (!received)
            co_return receiverGone();
        if (!parsed)
            co_return parsed;
    }
    if (!m_tracker->done())
        co_return fail(ErrorKind::AnswerIncomplete, "the stream has no end mark");
    const bool ended = co_await m_sink.end();
    if (!ended)
        co_return receiverGone();
    co_return Result<void> {};
}

asio::awaitable<Result<void>> AnswerRelay::relayBuffered(IncomingAnswer& answer)
{
    std::string body;
    for (;;) {
        const auto chunk = co_await answer.next();
        if (!chunk)
            co_return tl::unexpected(chunk.error());
        if (chunk->empty())
            break;
        body += *chunk;
        if (body.size() > maxBufferedBytes)
            co_return fail(ErrorKind::AnswerIncomplete, "an answer without a length is too large");
    }
    m_bodyBytes = body.size();
    auto head = answer.head();
    const bool delivered = co_await sendComplete(m_sink, std::move(head), body);
    if (!delivered)
        co_return receiverGone();
    co_return Result<void> {};
}

asio::awaitable<Result<void>> AnswerRelay::relayUnbuffered(IncomingAnswer& answer)
{
    auto head = answer.head();
    const bool delivered = co_await m_sink.head(std::move(head));
    if (!delivered)
        co_return receiverGone();
    for (;;) {
        const auto chunk = co_await answer.next();
        if (!chunk)
            co_return tl::unexpected(chunk.error());
        if (chunk->empty())
            break;
        m_bodyBytes += chunk->size();
        const bool delivered = co_await m_sink.chunk(*chunk);
        if (!delivered)
            co_return receiverGone();
    }
    const bool ended = co_await m_sink.end();
    if (!ended)
        co_return receiverGone();
    co_return Result<void> {};
}

} // namespace yuccashift
