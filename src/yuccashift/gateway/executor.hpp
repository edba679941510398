#pragma once

#include "yuccashift/gateway/request_context.hpp"
#include "yuccashift/http/answer_sink.hpp"

#include <boost/asio/awaitable.hpp>

namespace yuccashift {

struct Parts;

/** Runs requests on the backend servers of this instance's region. */
class Executor {
public:
    explicit Executor(Parts&);

    /**
     * Answers through the sink, or returns why not; then the sink may have
     * begun. The error's run state says `not run` only where that is certain.
     */
    boost::asio::awaitable<Result<void>> run(const RequestContext&, AnswerSink&);

private:
    Parts& m_parts;
};

} // namespace yuccashift
