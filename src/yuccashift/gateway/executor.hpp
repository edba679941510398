#pragma once

#include "yuccashift/gateway/request_context.hpp"
#include "yuccashift/http/answer_sink.hpp"

#include <boost/asio/awaitable.hpp>

namespace yuccashift {

struct GatewayComponents;

/** Runs requests on the backend servers of this instance's region. */
class Executor {
public:
    explicit Executor(GatewayComponents&);

    /**
     * Sends the answer to the sink. After an error the sink may have received a
     * part of the answer. The error's run state is NotRun only if that is certain.
     */
    boost::asio::awaitable<Result<void>> run(const RequestContext&, AnswerSink&);

private:
    GatewayComponents& m_components;
};

} // namespace yuccashift
