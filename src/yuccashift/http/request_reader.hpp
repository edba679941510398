#pragma once

#include "yuccashift/http/message.hpp"
#include "yuccashift/kernel/error.hpp"

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

namespace yuccashift {

/** Limits on one request, in bytes. */
struct RequestSizeLimits {
    /** Of the header, of the trailers, and of the line before each chunk. */
    std::size_t maxHeaderBytes = 16 * 1024;
    std::size_t maxBodyBytes = 4 * 1024 * 1024;
};

/** A complete request and what its connection needs to know of it. */
struct ReceivedRequest {
    RequestMessage message;
    bool keepAlive = false;
    bool http10 = false;
    /** Estimate of the memory that the message takes. */
    std::size_t bytes = 0;
};

/** Reads the requests of one connection from the bytes that it receives. Holds no more than the limits of one request and what is appended behind it. */
class RequestReader {
public:
    RequestReader();
    ~RequestReader();
    RequestReader(const RequestReader&) = delete;
    RequestReader& operator=(const RequestReader&) = delete;

    /** Adds received bytes, of one request or more. */
    void append(std::string_view);
    /**
     * Parses the appended bytes up to the end of the current request. Returns MalformedRequest, HeaderTooLarge or
     * BodyTooLarge if no request can follow on the connection. The limits are those of the request's first bytes.
     */
    Result<void> advance(const RequestSizeLimits&);

    /** Whether no byte of the current request has arrived. */
    bool idle() const;
    bool headerComplete() const;
    /** Whether the caller waits for an interim answer before it sends the body. */
    bool expectsContinue() const;
    bool complete() const;
    /** The complete request; the next one begins behind it. */
    ReceivedRequest take();

    /** Bytes that are not parsed yet, all of which belong to later requests once the current one is complete. */
    std::size_t bufferedBytes() const;
    /** Estimate of the memory that the reader takes, beyond that of an idle one. */
    std::size_t heldBytes() const;
    /** Drops everything. */
    void clear();

private:
    struct State;
    std::unique_ptr<State> m_state;
    std::string m_input;
};

} // namespace yuccashift
