#pragma once

#include "yuccashift/kernel/error.hpp"

#include <cstdint>
#include <string>
#include <string_view>

namespace yuccashift {

/** The fields of a chat completion's body that the gateway uses. */
struct ChatRequest {
    std::string model;
    /** Contents of the messages, joined by newlines. */
    std::string prompt;
    /** Limit of generated tokens; defaults to 256. */
    std::uint32_t maxTokens = 256;
    bool stream = false;
};

/** Fails with MalformedRequest if the body is not a chat completion request. */
Result<ChatRequest> parseChatRequest(std::string_view body);

} // namespace yuccashift
