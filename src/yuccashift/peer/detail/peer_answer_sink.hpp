#pragma once

#include "yuccashift/kernel/detail/await.hpp"
#include "yuccashift/peer/codec.hpp"
#include "yuccashift/peer/detail/link_state.hpp"

namespace yuccashift::detail {

/** Sends an answer over the link that the request arrived on. */
class PeerAnswerSink final : public AnswerSink {
public:
    PeerAnswerSink(std::shared_ptr<PeerLink::State> state, std::int64_t stream)
        : m_state(std::move(state))
        , m_stream(stream)
    {
    }

    boost::asio::awaitable<bool> head(AnswerHead head) override
    {
        m_started = true;
        wire::AnswerHead wireHead;
        wireHead.status = head.status;
        wireHead.software = static_cast<std::int64_t>(head.software);
        for (auto& field : head.headers) {
            wire::Header header;
            header.name = std::move(field.name);
            header.value = std::move(field.value);
            wireHead.headers.push_back(std::move(header));
        }
        auto frame = newFrame();
        frame.__set_answerHead(wireHead);
        co_return co_await write(frame);
    }

    boost::asio::awaitable<bool> chunk(std::string_view data) override
    {
        wire::AnswerChunk chunk;
        chunk.offset = m_offset;
        chunk.data = std::string(data);
        m_offset += static_cast<std::int64_t>(data.size());
        auto frame = newFrame();
        frame.__set_answerChunk(chunk);
        co_return co_await write(frame);
    }

    boost::asio::awaitable<bool> end() override
    {
        co_return co_await writeEnd(std::nullopt, RunState::Ran);
    }

    boost::asio::awaitable<void> fail(const Error& error, const HeaderFields&) override
    {
        co_await writeEnd(error, error.effectiveRunState());
    }

    bool headSent() const override { return m_started; }

    /** Ends the answer with AnswerIncomplete if the handler did not end it. */
    boost::asio::awaitable<void> finish()
    {
        if (!m_ended) {
            const Error error { ErrorKind::AnswerIncomplete, "the answer was not finished", {}, {} };
            co_await fail(error, HeaderFields());
        }
    }

private:
    wire::Frame newFrame() const
    {
        wire::Frame frame;
        frame.stream = m_stream;
        return frame;
    }

    boost::asio::awaitable<bool> writeEnd(std::optional<Error> error, RunState runState)
    {
        m_ended = true;
        wire::AnswerEnd end;
        if (error) {
            end.errorCode = error->code();
            end.detail = error->detail;
        }
        end.runState = static_cast<int>(runState);
        end.length = m_offset;
        auto frame = newFrame();
        frame.__set_answerEnd(end);
        co_return co_await write(frame);
    }

    boost::asio::awaitable<bool> write(const wire::Frame& frame)
    {
        if (m_state->closed || m_state->isCancelled(m_stream))
            co_return false;
        const auto [ec] = co_await m_state->outgoing.async_send(boost::system::error_code(), encodeFrame(frame), awaitTuple);
        co_return !ec;
    }

    std::shared_ptr<PeerLink::State> m_state;
    std::int64_t m_stream;
    std::int64_t m_offset = 0;
    bool m_started = false;
    bool m_ended = false;
};

} // namespace yuccashift::detail
