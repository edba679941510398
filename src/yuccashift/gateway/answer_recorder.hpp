#pragma once

#include "yuccashift/http/answer_sink.hpp"
#include "yuccashift/keys/key_table.hpp"

#include <functional>
#include <optional>

namespace yuccashift {

/**
 * Passes an answer on and keeps a copy for later sendings of the same key.
 * It stays open when the receiver goes away, so that the copy becomes whole.
 */
class AnswerRecorder final : public AnswerSink {
public:
    using OnWhole = std::function<void(StoredAnswer)>;

    /** Calls back with the whole answer before its last byte is passed on; not where it is over the bound. */
    AnswerRecorder(AnswerSink&, std::size_t mostBytes, OnWhole);

    boost::asio::awaitable<bool> head(AnswerHead) override;
    boost::asio::awaitable<bool> chunk(std::string_view) override;
    boost::asio::awaitable<bool> end() override;
    boost::asio::awaitable<void> fail(const Error&, const HeaderFields& extra) override;
    bool started() const override { return m_started; }

private:
    void complete();

    AnswerSink& m_sink;
    std::size_t m_mostBytes;
    OnWhole m_onWhole;
    StoredAnswer m_answer;
    std::optional<std::size_t> m_length;
    bool m_started = false;
    bool m_whole = false;
    bool m_tooLarge = false;
    bool m_receiverGone = false;
};

} // namespace yuccashift
