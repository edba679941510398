#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace yuccashift {

/** One header field; names compare without regard to case. */
struct HeaderField {
    std::string name;
    std::string value;
};

using HeaderFields = std::vector<HeaderField>;

/** A request with its whole body. */
struct RequestMessage {
    std::string method;
    std::string target;
    HeaderFields headers;
    std::string body;
};

/** Status and headers of an answer. */
struct AnswerHead {
    int status = 200;
    HeaderFields headers;
    /** Bytes of the body; nothing where it is streamed. */
    std::optional<std::size_t> length;
};

/** The value of the first field with this name, or nothing. */
std::optional<std::string_view> findHeader(const HeaderFields&, std::string_view name);

/** Replaces every field with this name by one. */
void setHeader(HeaderFields&, std::string_view name, std::string value);

/** Whether the field belongs to one connection only and is never passed on. */
bool isHopByHop(std::string_view name);

} // namespace yuccashift
