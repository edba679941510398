#include "yuccashift/gateway/answer_recorder.hpp"

namespace yuccashift {

namespace asio = boost::asio;

AnswerRecorder::AnswerRecorder(AnswerSink& sink, std::size_t maxBytes, OnComplete onComplete)
    : m_sink(sink)
    , m_maxBytes(maxBytes)
    , m_onComplete(std::move(onComplete))
{
}

// Called before the last byte is forwarded: the receiver may send the same key
// again at once, and the recorded answer must be available by then.
void AnswerRecorder::complete()
{
    if (m_complete || m_tooLarge)
        return;
    m_complete = true;
    m_onComplete(std::move(m_answer));
}

asio::awaitable<bool> AnswerRecorder::head(AnswerHead head)
{
    m_started = true;
    m_answer.status = head.status;
    for (const auto& field : head.headers)
        m_answer.headers.emplace_back(field.name, field.value);
    m_length = head.length;
    if (m_length == 0U)
        complete();
    m_receiverGone = !co_await m_sink.head(std::move(head));
    co_return true;
}

asio::awaitable<bool> AnswerRecorder::chunk(std::string_view data)
{
    m_tooLarge = m_tooLarge || m_answer.body.size() + data.size() > m_maxBytes;
    if (!m_tooLarge && !m_complete)
        m_answer.body += data;
    if (m_length && !m_complete && m_answer.body.size() == *m_length)
        complete();
    if (!m_receiverGone)
        m_receiverGone = !co_await m_sink.chunk(data);
    co_return true;
}

asio::awaitable<bool> AnswerRecorder::end()
{
    complete();
    if (!m_receiverGone)
        m_receiverGone = !co_await m_sink.end();
    co_return true;
}

asio::awaitable<void> AnswerRecorder::fail(const Error& error, const HeaderFields& extra)
{
    if (!m_receiverGone)
        co_await m_sink.fail(error, extra);
}

} // namespace yuccashift
