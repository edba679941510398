#pragma once

#include "yuccashift/http/answer_sink.hpp"
#include "yuccashift/kernel/error.hpp"
#include "yuccashift/kernel/ids.hpp"

#include <boost/asio/awaitable.hpp>
#include <chrono>
#include <cstdint>
#include <memory>

namespace yuccashift {

class MemoryAccount;
class WorkerPool;

/** Answers requests. Called concurrently from several threads. */
class RequestHandler {
public:
    virtual ~RequestHandler();
    /** Is cancelled when the caller has closed its connection and no answer can reach it; operations then report an error and do not throw. */
    virtual boost::asio::awaitable<void> handle(RequestMessage, AnswerSink&) = 0;
};

/** Limits of one listener. */
struct ServerLimits {
    /** One more connection closes the one that has been idle for longest, if that is some seconds, or is refused. */
    std::uint32_t maxConnections = 4096;
    /** Bytes. */
    std::uint32_t maxHeaderBytes = 16 * 1024;
    /** Bytes. */
    std::uint64_t maxBodyBytes = 4 * 1024 * 1024;
    /** Maximum time from the first byte of a request to its last. */
    std::chrono::milliseconds receiveTimeout { 10000 };
    /** Maximum time to write one chunk of an answer. */
    std::chrono::milliseconds sendTimeout { 30000 };
};

/** HTTP/1.1 server whose connections are distributed over the workers' event loops. */
class HttpServer {
public:
    /** @param memory account of what the connections receive; it must outlive the workers */
    HttpServer(WorkerPool&, ServerLimits, MemoryAccount& memory);
    ~HttpServer();
    HttpServer(const HttpServer&) = delete;
    HttpServer& operator=(const HttpServer&) = delete;

    /** Binds the endpoint and returns it with the actual port, since port 0 selects a free one. */
    Result<Endpoint> listen(const Endpoint&);
    /** Starts to accept connections. The handler must live until the workers have ended. */
    void serve(RequestHandler&);
    /** Closes the listener and idle connections. Answers in progress are completed. */
    void stop();
    std::uint32_t connections() const;

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace yuccashift
