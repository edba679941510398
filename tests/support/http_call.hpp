#pragma once

#include "yuccashift/kernel/ids.hpp"

#include <boost/json/object.hpp>
#include <chrono>
#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace yuccashift::test {

/** One request on a connection of its own. */
struct HttpCall {
    Endpoint to;
    std::string method = "GET";
    std::string target;
    std::map<std::string, std::string> headers;
    std::string body;
    /** After which the caller gives up. */
    std::chrono::milliseconds timeout { 60000 };
};

/** What came back. */
struct HttpReply {
    /** 0 where not even the head arrived. */
    int status = 0;
    /** Names in lower case. */
    std::map<std::string, std::string> headers;
    std::string body;
    /** Whether HTTP's own framing says that the whole body arrived. */
    bool complete = false;

    bool ok() const { return complete && status == 200; }
    /** Value of a header, or empty. */
    std::string header(const std::string& lowerCaseName) const;
};

/** The JSON table of a good reply; empty where there is none. */
boost::json::object objectOf(const HttpReply&);

/** Called with the body so far; false gives the call up. */
using OnProgress = std::function<bool(std::string_view)>;

/** Sends the request and waits for the answer's end, the connection's end or the timeout. */
HttpReply send(const HttpCall&, const OnProgress& onProgress = {});

} // namespace yuccashift::test
