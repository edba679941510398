#pragma once

#include "yuccashift/http/answer_sink.hpp"
#include "yuccashift/keys/key_table.hpp"

namespace yuccashift {

/**
 * Passes an answer on and keeps a copy for later sendings of the same key.
 * It stays open when the receiver goes away, so that the copy becomes whole.
 */
class AnswerRecorder final : public AnswerSink {
public:
    AnswerRecorder(AnswerSink&, std::size_t mostBytes);

    boost::asio::awaitable<bool> head(AnswerHead) override;
    boost::asio::awaitable<bool> chunk(std::string_view) override;
    boost::asio::awaitable<bool> end() override;
    boost::asio::awaitable<void> fail(const Error&, const HeaderFields& extra) override;
    bool started() const override { return m_started; }

    /** The whole answer; nothing where it is not whole or over the bound. */
    std::optional<StoredAnswer> take();

private:
    AnswerSink& m_sink;
    std::size_t m_mostBytes;
    StoredAnswer m_answer;
    bool m_started = false;
    bool m_whole = false;
    bool m_tooLarge = false;
    bool m_receiverGone = false;
};

} // namespace yuccashift
