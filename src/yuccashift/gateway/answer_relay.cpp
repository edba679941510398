#include "yuccashift/gateway/answer_relay.hpp"

#include "yuccashift/routing/prefix_blocks.hpp"

namespace yuccashift {

namespace asio = boost::asio;

namespace {

    constexpr std::size_t mostEventBytes = 256 * 1024;
    /** Whole answers up to this size are collected before they are passed on. */
    constexpr std::size_t mostCollectedBytes = 512 * 1024;

    bool isEventStream(const AnswerHead& head)
    {
        return findHeader(head.headers, "Content-Type").value_or("").starts_with("text/event-stream");
    }

    tl::unexpected<Error> receiverGone()
    {
        return fail(ErrorKind::Cancelled, "the receiver of the answer is gone");
    }

} // namespace

AnswerRelay::AnswerRelay(AnswerSink& sink, std::uint32_t offset)
    : m_sink(sink)
    , m_offset(offset)
{
}

std::uint32_t AnswerRelay::tokens() const
{
    return m_tracker ? m_tracker->tokens() : m_offset;
}

std::uint32_t AnswerRelay::tokensSent() const
{
    return m_tracker ? m_tracker->tokens() - m_offset : static_cast<std::uint32_t>(m_bodyBytes / bytesPerToken);
}

asio::awaitable<Result<void>> AnswerRelay::run(IncomingAnswer& answer)
{
    if (m_tracker || isEventStream(answer.head()))
        return relayEvents(answer);
    if (answer.head().length.value_or(0) <= mostCollectedBytes)
        return relayWhole(answer);
    return relayParts(answer);
}

asio::awaitable<Result<void>> AnswerRelay::relayEvents(IncomingAnswer& answer)
{
    if (m_tracker) {
        // A server that cannot go on would start over or answer something else.
        if (!isEventStream(answer.head()))
            co_return fail(ErrorKind::AnswerIncomplete, "the stream was not resumed");
        m_tracker->resume();
    } else {
        m_tracker.emplace(mostEventBytes, m_offset);
    }
    if (!m_sink.started()) {
        auto head = answer.head();
        head.length.reset();
        const bool taken = co_await m_sink.head(std::move(head));
        if (!taken)
            co_return receiverGone();
    }
    std::string events;
    for (;;) {
        const auto part = co_await answer.next();
        if (!part)
            co_return tl::unexpected(part.error());
        if (part->empty())
            break;
        events.clear();
        const auto fed = m_tracker->feed(*part, events);
        bool received = true;
        if (!events.empty())
            received = co_await m_sink.chunk(events);
        if (!received)
            co_return receiverGone();
        if (!fed)
            co_return fed;
    }
    if (!m_tracker->done())
        co_return fail(ErrorKind::AnswerIncomplete, "the stream has no end mark");
    const bool ended = co_await m_sink.end();
    if (!ended)
        co_return receiverGone();
    co_return Result<void> {};
}

asio::awaitable<Result<void>> AnswerRelay::relayWhole(IncomingAnswer& answer)
{
    std::string body;
    for (;;) {
        const auto part = co_await answer.next();
        if (!part)
            co_return tl::unexpected(part.error());
        if (part->empty())
            break;
        body += *part;
        if (body.size() > mostCollectedBytes)
            co_return fail(ErrorKind::AnswerIncomplete, "an answer without a length is too large");
    }
    m_bodyBytes = body.size();
    auto head = answer.head();
    const bool taken = co_await sendWhole(m_sink, std::move(head), body);
    if (!taken)
        co_return receiverGone();
    co_return Result<void> {};
}

asio::awaitable<Result<void>> AnswerRelay::relayParts(IncomingAnswer& answer)
{
    auto head = answer.head();
    const bool taken = co_await m_sink.head(std::move(head));
    if (!taken)
        co_return receiverGone();
    for (;;) {
        const auto part = co_await answer.next();
        if (!part)
            co_return tl::unexpected(part.error());
        if (part->empty())
            break;
        m_bodyBytes += part->size();
        const bool taken = co_await m_sink.chunk(*part);
        if (!taken)
            co_return receiverGone();
    }
    const bool ended = co_await m_sink.end();
    if (!ended)
        co_return receiverGone();
    co_return Result<void> {};
}

} // namespace yuccashift
