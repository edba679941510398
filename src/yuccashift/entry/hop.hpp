#pragma once

#include "yuccashift/http/message.hpp"
#include "yuccashift/kernel/clock.hpp"
#include "yuccashift/kernel/error.hpp"
#include "yuccashift/kernel/ids.hpp"

#include <optional>
#include <string>

namespace yuccashift {

/** What the instance that holds the caller tells the one that runs the request. */
struct HopMetadata {
    InstanceId origin;
    /** Version of the configuration by which the origin decided. */
    std::int64_t configVersion = 0;
    ServiceName service;
    /** Time that is left for the whole answer at the executing instance. */
    milliseconds deadline {};
    /** Time that is left for the first byte. */
    milliseconds objective {};
    /** The stream goes on after this event. */
    std::optional<std::string> resumeAfter;
};

/** The header lines of an order. */
void appendHopMetadata(std::string& out, const HopMetadata&);
/** Takes the order out of the headers; nothing where there is none or it is damaged. */
std::optional<HopMetadata> extractHopMetadata(HeaderFields&);

/** Marks an answer as the executing instance's own failure, with what is known of the run. */
HeaderField encodeHopFailure(const Error&);
/** The failure of an executing instance, or nothing where the answer is a server's. */
std::optional<Error> decodeHopFailure(const AnswerHead&);

} // namespace yuccashift
