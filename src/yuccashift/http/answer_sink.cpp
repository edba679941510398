#include "yuccashift/http/answer_sink.hpp"

namespace yuccashift {

AnswerSink::~AnswerSink() = default;

boost::asio::awaitable<bool> sendComplete(AnswerSink& sink, AnswerHead head, std::string_view body)
{
    head.length = body.size();
    // GCC 12 lays the coroutine's frame out wrongly where a moved parameter meets co_await in a condition.
    bool taken = co_await sink.head(std::move(head));
    if (taken && !body.empty())
        taken = co_await sink.chunk(body);
    if (!taken)
        co_return false;
    co_return co_await sink.end();
}

} // namespace yuccashift
