#include "yuccashift/http/answer_sink.hpp"

namespace yuccashift {

AnswerSink::~AnswerSink() = default;

boost::asio::awaitable<bool> sendComplete(AnswerSink& sink, AnswerHead head, std::string_view body)
{
    // An answer without a body may state the length of another one, as to HEAD.
    if (!body.empty() || !head.length)
        head.length = body.size();
    // Not written as a condition: GCC 12 lays out the coroutine frame wrongly if a condition contains both a moved parameter and co_await.
    bool accepted = co_await sink.head(std::move(head));
    if (accepted && !body.empty())
        accepted = co_await sink.chunk(body);
    if (!accepted)
        co_return false;
    co_return co_await sink.end();
}

} // namespace yuccashift
