#pragma once

#include "yuccashift/http/message.hpp"
#include "yuccashift/kernel/clock.hpp"
#include "yuccashift/kernel/error.hpp"
#include "yuccashift/kernel/ids.hpp"

#include <optional>
#include <string>

namespace yuccashift {

/** What the origin, the instance with the caller's connection, tells the instance that executes the request. */
struct HopMetadata {
    InstanceId origin;
    /** Version of the origin's configuration. */
    std::int64_t configVersion = 0;
    ServiceName service;
    /** Time left for the complete answer at the executing instance. */
    milliseconds deadline {};
    /** Time left until the first byte is due. */
    milliseconds objective {};
    /** Id of the event after which the stream resumes. */
    std::optional<std::string> resumeAfter;
};

/** Appends the metadata as header lines. */
void appendHopMetadata(std::string& out, const HopMetadata&);
/** Removes the hop's headers and returns their content; std::nullopt if a required one is missing or malformed. */
std::optional<HopMetadata> extractHopMetadata(HeaderFields&);

/** Header by which the executing instance reports its own failure and whether the request may have run. */
HeaderField encodeHopFailure(const Error&);
/** The failure that the executing instance reports; std::nullopt if the answer comes from a backend server. */
std::optional<Error> decodeHopFailure(const AnswerHead&);

} // namespace yuccashift
