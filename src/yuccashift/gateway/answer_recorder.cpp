#include "yuccashift/gateway/answer_recorder.hpp"

namespace yuccashift {

namespace asio = boost::asio;

AnswerRecorder::AnswerRecorder(AnswerSink& sink, std::size_t mostBytes)
    : m_sink(sink)
    , m_mostBytes(mostBytes)
{
}

asio::awaitable<bool> AnswerRecorder::head(AnswerHead head)
{
    m_started = true;
    m_answer.status = head.status;
    for (const auto& field : head.headers)
        m_answer.headers.emplace_back(field.name, field.value);
    m_receiverGone = !co_await m_sink.head(std::move(head));
    co_return true;
}

asio::awaitable<bool> AnswerRecorder::chunk(std::string_view data)
{
    m_tooLarge = m_tooLarge || m_answer.body.size() + data.size() > m_mostBytes;
    if (!m_tooLarge)
        m_answer.body += data;
    if (!m_receiverGone)
        m_receiverGone = !co_await m_sink.chunk(data);
    co_return true;
}

asio::awaitable<bool> AnswerRecorder::end()
{
    m_whole = true;
    if (!m_receiverGone)
        m_receiverGone = !co_await m_sink.end();
    co_return true;
}

asio::awaitable<void> AnswerRecorder::fail(const Error& error, const HeaderFields& extra)
{
    if (!m_receiverGone)
        co_await m_sink.fail(error, extra);
}

std::optional<StoredAnswer> AnswerRecorder::take()
{
    if (!m_whole || m_tooLarge)
        return std::nullopt;
    return std::move(m_answer);
}

} // namespace yuccashift
