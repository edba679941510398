#include "yuccashift/gateway/chat_request.hpp"

#include <boost/json.hpp>

namespace yuccashift {

namespace json = boost::json;

namespace {

    constexpr std::uint32_t maxTokensLimit = 1 << 20;

    void appendContent(std::string& prompt, const json::value& content)
    {
        if (content.is_string()) {
            prompt += std::string_view(content.get_string());
            return;
        }
        // The content may also be a list of typed parts, of which only text parts are used.
        for (const auto& part : content.as_array()) {
            if (const auto* text = part.as_object().if_contains("text"))
                prompt += std::string_view(text->as_string());
        }
    }

    ChatRequest toChatRequest(const json::object& body)
    {
        ChatRequest request;
        request.model = std::string_view(body.at("model").as_string());
        for (const auto& message : body.at("messages").as_array()) {
            if (!request.prompt.empty())
                request.prompt += '\n';
            appendContent(request.prompt, message.as_object().at("content"));
        }
        if (const auto* maxTokens = body.if_contains("max_tokens"))
            request.maxTokens = std::clamp(maxTokens->to_number<std::uint32_t>(), 1U, maxTokensLimit);
        if (const auto* stream = body.if_contains("stream"))
            request.stream = stream->as_bool();
        return request;
    }

} // namespace

Result<ChatRequest> parseChatRequest(std::string_view body)
{
    try {
        const auto value = json::parse(body);
        return toChatRequest(value.as_object());
    } catch (const std::exception&) {
        return fail(ErrorKind::MalformedRequest, "the body is not a chat completion request");
    }
}

} // namespace yuccashift
