#include "yuccashift/kernel/ids.hpp"

#include <charconv>

namespace yuccashift {

bool parseEndpoint(const std::string& text, Endpoint& endpoint)
{
    const auto colon = text.rfind(':');
    if (colon == std::string::npos || colon == 0)
        return false;
    std::uint16_t port = 0;
    const char* last = text.data() + text.size();
    const auto parsed = std::from_chars(text.data() + colon + 1, last, port);
    if (parsed.ec != std::errc() || parsed.ptr != last)
        return false;
    endpoint = { text.substr(0, colon), port };
    return true;
}

std::string toString(const Endpoint& endpoint)
{
    return endpoint.host + ":" + std::to_string(endpoint.port);
}

} // namespace yuccashift
