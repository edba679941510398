#pragma once

#include "yuccashift/http/answer_sink.hpp"
#include "yuccashift/kernel/error.hpp"
#include "yuccashift/kernel/ids.hpp"

#include <boost/asio/awaitable.hpp>
#include <chrono>
#include <cstdint>
#include <memory>

namespace yuccashift {

class WorkerPool;

/** Answers requests; called from several threads at once. */
class RequestHandler {
public:
    virtual ~RequestHandler();
    virtual boost::asio::awaitable<void> handle(RequestMessage, AnswerSink&) = 0;
};

/** Bounds of one listener. */
struct ServerLimits {
    std::uint32_t maxConnections = 4096;
    /** Bytes. */
    std::uint32_t maxHeaderBytes = 16 * 1024;
    /** Bytes. */
    std::uint64_t maxBodyBytes = 4 * 1024 * 1024;
    /** Time for a whole request to arrive, from its first byte. */
    std::chrono::milliseconds receiveTimeout { 10000 };
    /** Time for a receiver to take one chunk of an answer. */
    std::chrono::milliseconds sendTimeout { 30000 };
};

/** HTTP/1.1 listener. */
class HttpServer {
public:
    HttpServer(WorkerPool&, ServerLimits);
    ~HttpServer();
    HttpServer(const HttpServer&) = delete;
    HttpServer& operator=(const HttpServer&) = delete;

    /** Binds and listens; returns the endpoint in force, since port 0 picks one. */
    Result<Endpoint> listen(const Endpoint&);
    /** Accepts connections from now on. The handler must outlive the workers' run. */
    void serve(RequestHandler&);
    /** Closes the listener and idle connections; answers in progress go on. */
    void stop();
    std::uint32_t connections() const;

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace yuccashift
