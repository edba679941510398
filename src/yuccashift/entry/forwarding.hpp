#pragma once

#include "yuccashift/entry/protocol_codec.hpp"
#include "yuccashift/http/message.hpp"

#include <string>
#include <string_view>

namespace yuccashift {

/** What becomes of the headers by which a caller says who it is. */
enum class CallerIdentity {
    /** They are sent on like any other header. */
    Forwarded,
    /** They stay here, since the configuration identifies callers. */
    Withheld,
};

/**
 * The bytes of a caller's request as they are sent on: without hop-by-hop headers and those that only this
 * system sets, and with `extraHeaders`, which are complete header lines.
 */
std::string forwardedRequest(const RequestMessage&, const ProtocolCodec&, CallerIdentity, std::string_view extraHeaders);

/** The head of an answer as the caller receives it, without hop-by-hop headers and those of instances for each other. */
AnswerHead forwardedHead(const AnswerHead&);

} // namespace yuccashift
