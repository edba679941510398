#pragma once

#include "yuccashift/kernel/cancellation.hpp"
#include "yuccashift/kernel/detail/await.hpp"
#include "yuccashift/peer/detail/link_state.hpp"

#include <boost/asio/steady_timer.hpp>

namespace yuccashift::detail {

/** Converts the error that ended an answer. OutcomeUnknown if the executing instance sent an unknown run state. */
inline Error toError(const wire::AnswerEnd& end)
{
    const auto state = end.runState >= 0 && end.runState <= static_cast<int>(RunState::OutcomeUnknown)
        ? static_cast<RunState>(end.runState)
        : RunState::OutcomeUnknown;
    return { errorKindFromCode(end.errorCode), end.detail, state, {} };
}

/** Converts the head of an answer from its wire form. */
inline AnswerHead toHead(const wire::AnswerHead& wireHead)
{
    AnswerHead head;
    head.status = wireHead.status;
    head.software = static_cast<std::uint64_t>(wireHead.software);
    for (const auto& field : wireHead.headers)
        head.headers.push_back({ field.name, field.value });
    return head;
}

/** An answer received over a link. Destroying it before its end cancels the request. */
class PeerAnswer final : public IncomingAnswer {
public:
    PeerAnswer(std::shared_ptr<PeerLink::State> state, std::int64_t stream, std::shared_ptr<FrameChannel> channel, Instant deadline)
        : m_state(std::move(state))
        , m_stream(stream)
        , m_channel(std::move(channel))
        , m_deadline(deadline)
    {
    }

    ~PeerAnswer() override { m_state->closeStream(m_stream, !m_ended); }

    const AnswerHead& head() const override { return m_head; }

    boost::asio::awaitable<Result<void>> readHead()
    {
        const auto frame = co_await receive();
        if (!frame)
            co_return tl::unexpected(frame.error());
        if ((*frame)->__isset.answerEnd)
            co_return tl::unexpected(errorFromEnd(**frame));
        if (!(*frame)->__isset.answerHead)
            co_return fail(ErrorKind::AnswerIncomplete, "an answer without its head");
        m_head = toHead((*frame)->answerHead);
        co_return Result<void> {};
    }

    boost::asio::awaitable<Result<std::string_view>> next() override
    {
        auto frame = co_await receive();
        if (!frame)
            co_return tl::unexpected(frame.error());
        if ((*frame)->__isset.answerEnd) {
            if (!(*frame)->answerEnd.errorCode.empty() || (*frame)->answerEnd.length != m_offset)
                co_return tl::unexpected(errorFromEnd(**frame));
            m_ended = true;
            co_return std::string_view {};
        }
        if (!(*frame)->__isset.answerChunk || (*frame)->answerChunk.offset != m_offset)
            co_return fail(ErrorKind::AnswerIncomplete, "a part of the answer is missing");
        m_currentFrame = std::move(*frame);
        m_offset += static_cast<std::int64_t>(m_currentFrame->answerChunk.data.size());
        co_return std::string_view(m_currentFrame->answerChunk.data);
    }

private:
    Error errorFromEnd(const wire::Frame& frame)
    {
        m_ended = true;
        if (frame.answerEnd.errorCode.empty())
            return { ErrorKind::AnswerIncomplete, "the answer is shorter than it should be", {}, {} };
        return toError(frame.answerEnd);
    }

    boost::asio::awaitable<Result<std::shared_ptr<wire::Frame>>> receive()
    {
        boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor);
        timer.expires_at(m_deadline);
        // The handler keeps the channel alive, and cancelling a channel without a pending receive has no effect.
        timer.async_wait([channel = m_channel](boost::system::error_code ec) {
            if (!ec)
                channel->cancel();
        });
        auto [ec, frame] = co_await m_channel->async_receive(awaitTuple);
        if (!ec)
            co_return std::move(frame);
        const bool cancelled = co_await isCancelled();
        if (cancelled)
            co_return fail(ErrorKind::Cancelled);
        if (ec == boost::asio::experimental::error::channel_cancelled)
            co_return fail(ErrorKind::DeadlineExceeded, "the executing instance did not answer in time");
        co_return fail(ErrorKind::PeerLost, "the link to the executing instance was lost");
    }

    std::shared_ptr<PeerLink::State> m_state;
    std::int64_t m_stream;
    std::shared_ptr<FrameChannel> m_channel;
    Instant m_deadline;
    AnswerHead m_head;
    std::shared_ptr<wire::Frame> m_currentFrame;
    std::int64_t m_offset = 0;
    bool m_ended = false;
};

} // namespace yuccashift::detail
