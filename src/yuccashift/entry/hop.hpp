#pragma once

#include "yuccashift/answers/stream_software.hpp"
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
    /** Hash of the identity of the server to use, which the receiver owns; 0 if the receiver chooses. */
    std::uint64_t server = 0;
    /** Longest predicted time to first byte with which the receiver accepts the request; only with a server. */
    std::optional<milliseconds> acceptWithin;
    /** The software that began the stream, if it has events; the receiver uses no server with another one. */
    std::optional<SoftwareId> streamSoftware {};
    /** The organisation of the caller; std::nullopt if the request needs none. The caller's credential is not passed on. */
    std::optional<OrganisationName> organisation {};
};

/** The executing instance's own failure. */
struct HopFailure {
    Error error;
    /** Whether the request was sent to a server. One that a server refused has not run, but counts as an attempt. */
    bool reachedServer = false;
};

/** What the sender of a hop does after the receiver's own failure. */
enum class HopRecovery {
    /** Sends the request on, without counting the hop as an attempt: no server has seen the request. */
    SendOn,
    /** Sends the request again if the retry budget and the route's number of attempts allow it. */
    Retry,
    /** Returns the failure to the caller. */
    GiveUp,
};

/**
 * @param retryable whether the route's requests may run more than once
 * @param refusedHops hops of the request, including this one, after which no server had seen it
 */
HopRecovery recoverFromHop(const HopFailure&, bool retryable, std::uint32_t refusedHops);

/** The error as the sender may report it: "not run" speaks for all attempts of the request, not only for the last one. */
Error withEarlierAttempts(Error, bool mayHaveRun);

/** Whether only instances set this header, for each other. */
bool isHopHeader(std::string_view name);

/** Whether an instance forwarded the request for a caller, by the metadata that only instances set. */
bool isForwarded(const HeaderFields&);
/** Header by which the executing instance marks an answer as its backend server's. */
HeaderField serverAnswerMark();
bool isMarkedAsServerAnswer(const AnswerHead&);

/** Appends the metadata as header lines. */
void appendHopMetadata(std::string& out, const HopMetadata&);
/** Removes the hop's headers and returns their content; std::nullopt if a required one is missing or malformed. */
std::optional<HopMetadata> extractHopMetadata(HeaderFields&);

/** The header of a stream's head by which the executing instance names the software of its server. */
HeaderField encodeServerSoftware(SoftwareId);
/** 0 if the head does not name it; earlier versions do not. */
SoftwareId decodeServerSoftware(const AnswerHead&);
/** Header by which the executing instance reports its own failure and whether the request may have run. */
HeaderField encodeHopFailure(const HopFailure&);
/** The failure that the executing instance reports; std::nullopt if it reports none. */
std::optional<HopFailure> decodeHopFailure(const AnswerHead&);

} // namespace yuccashift
