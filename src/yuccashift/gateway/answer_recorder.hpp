#pragma once

#include "yuccashift/http/answer_sink.hpp"
#include "yuccashift/keys/key_table.hpp"

#include <functional>
#include <optional>

namespace yuccashift {

/**
 * Forwards an answer and records a copy for later requests with the same
 * idempotency key. It goes on recording after the receiver has disconnected, so
 * that the copy becomes complete.
 */
class AnswerRecorder final : public AnswerSink {
public:
    using OnComplete = std::function<void(StoredAnswer)>;

    /**
     * The callback gets the complete answer before its last byte is forwarded.
     *
     * @param maxBytes limit of the recorded body; a longer answer is forwarded but not recorded
     */
    AnswerRecorder(AnswerSink&, std::size_t maxBytes, OnComplete);

    boost::asio::awaitable<bool> head(AnswerHead) override;
    boost::asio::awaitable<bool> chunk(std::string_view) override;
    boost::asio::awaitable<bool> end() override;
    boost::asio::awaitable<void> fail(const Error&, const HeaderFields& extra) override;
    bool headSent() const override { return m_started; }

private:
    void complete();

    AnswerSink& m_sink;
    std::size_t m_maxBytes;
    OnComplete m_onComplete;
    StoredAnswer m_answer;
    std::optional<std::size_t> m_length;
    bool m_started = false;
    bool m_complete = false;
    bool m_tooLarge = false;
    bool m_receiverGone = false;
};

} // namespace yuccashift
