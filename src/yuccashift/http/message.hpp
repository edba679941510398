#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace yuccashift {

/** One header field; names are case-insensitive. */
struct HeaderField {
    std::string name;
    std::string value;
};

using HeaderFields = std::vector<HeaderField>;

/** A request with its complete body. */
struct RequestMessage {
    std::string method;
    std::string target;
    HeaderFields headers;
    std::string body;
};

/** How an answer tells where its body ends. */
enum class AnswerFraming {
    /** By a length, or by a status that allows no body. */
    Length,
    Chunks,
    /** The body ends with its connection. */
    Connection,
};

std::string_view toString(AnswerFraming);

/** Status and headers of an answer. */
struct AnswerHead {
    int status = 200;
    HeaderFields headers;
    /** Size of the body in bytes; std::nullopt if it is not known in advance. */
    std::optional<std::size_t> length;
    /** Of a received answer; it is not forwarded. */
    AnswerFraming framing = AnswerFraming::Length;
    /** SoftwareId of the server that writes a stream, between instances; 0 if it is not known. Callers do not get it. */
    std::uint64_t software = 0;
};

/** Returns the value of the first field with this name, or std::nullopt. */
std::optional<std::string_view> findHeader(const HeaderFields&, std::string_view name);

/** Replaces all fields with this name by a single one. */
void setHeader(HeaderFields&, std::string_view name, std::string value);

/** Whether the body is a stream of server-sent events. */
bool isEventStream(const AnswerHead&);

/** Whether the field applies to a single connection and must not be forwarded. */
bool isHopByHop(std::string_view name);

/** The field names that the `Connection` fields of a message list as applying to its connection. */
class ConnectionOptions {
public:
    explicit ConnectionOptions(const HeaderFields&);
    bool lists(std::string_view name) const;

private:
    /** In lower case, sorted. */
    std::vector<std::string> m_names;
};

} // namespace yuccashift
