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

    std::string lowerCase(std::string_view text)
    {
        std::string out(text);
        // Field names are ASCII, whatever the locale.
        std::ranges::transform(out, out.begin(), [](char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c; });
        return out;
    }

    std::string_view trimmed(std::string_view text)
    {
        const auto begin = text.find_first_not_of(" \t");
        return begin == std::string_view::npos ? std::string_view() : text.substr(begin, text.find_last_not_of(" \t") - begin + 1);
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

ConnectionOptions::ConnectionOptions(const HeaderFields& headers)
{
    for (const auto& field : headers) {
        if (!sameName(field.name, "Connection"))
            continue;
        for (std::string_view rest = field.value; !rest.empty();) {
            const auto end = std::min(rest.find(','), rest.size());
            const auto name = trimmed(rest.substr(0, end));
            if (!name.empty())
                m_names.push_back(lowerCase(name));
            rest.remove_prefix(std::min(end + 1, rest.size()));
        }
    }
    std::ranges::sort(m_names);
}

bool ConnectionOptions::lists(std::string_view name) const
{
    return !m_names.empty() && std::ranges::binary_search(m_names, lowerCase(name));
}

bool isHopByHop(std::string_view name)
{
    return std::ranges::any_of(hopByHop, [&](std::string_view it) { return sameName(it, name); });
}

} // namespace yuccashift
