#pragma once

#include "yuccashift/kernel/error.hpp"

#include <cstdint>
#include <string>
#include <string_view>

namespace yuccashift {

/** What the gateway reads of a chat completion's body. */
struct ChatRequest {
    std::string model;
    /** Contents of the messages, joined by newlines. */
    std::string prompt;
    std::uint32_t maxTokens = 256;
    bool stream = false;
};

/** MalformedRequest where the body is not a chat completion. */
Result<ChatRequest> parseChatRequest(std::string_view body);

} // namespace yuccashift
