#include "yuccashift/entry/forwarding.hpp"

#include "yuccashift/entry/hop.hpp"

#include <boost/beast/core/string.hpp>

namespace yuccashift {

namespace {

    /** Room for the request line and the usual headers, in bytes. */
    constexpr std::size_t typicalHeadBytes = 512;

} // namespace

std::string forwardedRequest(const RequestMessage& request, const ProtocolCodec& protocol, CallerIdentity identity, std::string_view extraHeaders)
{
    std::string out;
    out.reserve(typicalHeadBytes + extraHeaders.size() + request.body.size());
    out.append(request.method).append(" ").append(request.target).append(" HTTP/1.1\r\n");
    const ConnectionOptions connection(request.headers);
    for (const auto& field : request.headers) {
        if (isHopByHop(field.name) || isHopHeader(field.name) || protocol.isReservedHeader(field.name) || (connection.lists(field.name) && !boost::beast::iequals(field.name, "host")))
            continue;
        if (identity == CallerIdentity::Withheld && protocol.isCallerIdentityHeader(field.name))
            continue;
        out.append(field.name).append(": ").append(field.value).append("\r\n");
    }
    out += extraHeaders;
    const bool bodyExpected = request.method != "GET" && request.method != "HEAD";
    if (bodyExpected || !request.body.empty())
        out.append("Content-Length: ").append(std::to_string(request.body.size())).append("\r\n");
    out.append("\r\n").append(request.body);
    return out;
}

AnswerHead forwardedHead(const AnswerHead& head)
{
    AnswerHead out;
    out.status = head.status;
    for (const auto& field : head.headers) {
        if (!isHopByHop(field.name) && !isHopHeader(field.name))
            out.headers.push_back(field);
    }
    return out;
}

} // namespace yuccashift
