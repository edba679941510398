#pragma once

#include "yuccashift/kernel/ids.hpp"

#include <boost/json/object.hpp>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace yuccashift::test {

/** One HTTP request, sent on a new connection. */
struct HttpCall {
    Endpoint to;
    std::string method = "GET";
    std::string target;
    std::map<std::string, std::string> headers;
    std::string body;
    /** Time after which the client abandons the request. */
    std::chrono::milliseconds timeout { 60000 };
};

/** The response to an HttpCall, possibly incomplete. */
struct HttpReply {
    /** 0 if the response head did not arrive. */
    int status = 0;
    /** Keyed by header name in lower case. */
    std::map<std::string, std::string> headers;
    std::string body;
    /** Whether the whole body arrived according to the HTTP framing. */
    bool complete = false;

    bool ok() const { return complete && status == 200; }
    /** Value of a header; an empty string if it is absent. */
    std::string header(const std::string& lowerCaseName) const;
};

/** The JSON object in the body of a successful reply; an empty object if there is none. */
boost::json::object objectOf(const HttpReply&);

/** Called with the body received so far; returning false aborts the call. */
using OnProgress = std::function<bool(std::string_view)>;

/** A connection that is kept for several requests, one at a time. */
class HttpConnection {
public:
    HttpConnection();
    ~HttpConnection();
    HttpConnection(const HttpConnection&) = delete;
    HttpConnection& operator=(const HttpConnection&) = delete;

    /** Sends the request on the open connection, or on a new one if there is none or it leads to another endpoint. */
    HttpReply send(const HttpCall&);

private:
    struct State;
    std::unique_ptr<State> m_state;
};

/** Sends the request and waits until the response is complete, the connection closes or the timeout expires. */
HttpReply send(const HttpCall&, const OnProgress& onProgress = {});

} // namespace yuccashift::test
