#include "yuccashift/http/answer_sink.hpp"

namespace yuccashift {

AnswerSink::~AnswerSink() = default;

boost::asio::awaitable<bool> sendWhole(AnswerSink& sink, AnswerHead head, std::string_view body)
{
    head.length = body.size();
    if (!co_await sink.head(std::move(head)))
        co_return false;
    if (!body.empty() && !co_await sink.chunk(body))
        co_return false;
    co_return co_await sink.end();
}

} // namespace yuccashift
