#include "yuccashift/http/message.hpp"

#include <algorithm>
#include <array>
#include <boost/beast/core/string.hpp>

namespace yuccashift {

namespace {

    constexpr std::array<std::string_view, 10> hopByHop { "connection", "keep-alive", "proxy-authenticate", "proxy-authorization",
        "te", "trailer", "transfer-encoding", "upgrade", "content-length", "expect" };

    bool sameName(std::string_view left, std::string_view right)
    {
        return boost::beast::iequals(left, right);
    }

} // namespace

std::string_view toString(AnswerFraming framing)
{
    switch (framing) {
    case AnswerFraming::Length:
        return "length";
    case AnswerFraming::Chunks:
        return "chunks";
    case AnswerFraming::Connection:
        break;
    }
    return "connection";
}

std::optional<std::string_view> findHeader(const HeaderFields& headers, std::string_view name)
{
    const auto it = std::ranges::find_if(headers, [&](const HeaderField& field) { return sameName(field.name, name); });
    if (it == headers.end())
        return std::nullopt;
    return it->value;
}

void setHeader(HeaderFields& headers, std::string_view name, std::string value)
{
    std::erase_if(headers, [&](const HeaderField& field) { return sameName(field.name, name); });
    headers.push_back({ std::string(name), std::move(value) });
}

bool isEventStream(const AnswerHead& head)
{
    constexpr std::string_view type = "text/event-stream";
    return sameName(findHeader(head.headers, "Content-Type").value_or("").substr(0, type.size()), type);
}

bool isHopByHop(std::string_view name)
{
    return std::ranges::any_of(hopByHop, [&](std::string_view it) { return sameName(it, name); });
}

} // namespace yuccashift
