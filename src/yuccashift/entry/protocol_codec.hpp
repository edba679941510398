#pragma once

#include "yuccashift/dispatch/server_constraints.hpp"
#include "yuccashift/dispatch/work.hpp"
#include "yuccashift/http/message.hpp"
#include "yuccashift/kernel/clock.hpp"
#include "yuccashift/kernel/ids.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace yuccashift {

/** Metadata of a request, decoded from the caller's headers. */
struct RequestMetadata {
    /** Identifies this attempt of the caller to send the request. */
    std::string attemptId;
    /** How long the caller waits for the answer, counted from the arrival of the request. */
    std::optional<milliseconds> deadline;
    WorkSize work;
    /** Id of the event after which the caller resumes a stream. */
    std::optional<std::string> resumeAfter;
    /** Id of the caller's attempt that brought the first event of that stream. */
    std::optional<std::string> resumedAttempt;
    /** The bearer credential that the caller presents; empty if there is none. Never logged, counted or passed on. */
    std::string credential {};
    /** Prompt tokens and maximum output tokens that the caller states, added up. */
    std::optional<std::uint64_t> statedTokens {};
};

/** Metadata of one attempt, sent to the backend server. */
struct ServerRequestMetadata {
    std::string serverId;
    milliseconds deadline {};
    /** Priority at the engine; 0 is served first. */
    std::optional<int> priority;
    std::optional<std::string> resumeAfter;
    /** Name of the organisation that asks; empty if there is none. */
    std::string_view organisation {};
};

/** Metadata of an answer, decoded from its head. */
struct AnswerMetadata {
    std::optional<std::string> attemptId;
    /** The server has not run the request and will not run it. */
    bool notRun = false;
    /** A different server answers at this address. */
    bool wrongServer = false;
    ServerStatement statement;
};

/** Health that a server reports. */
struct HealthStatus {
    bool healthy = false;
    std::string serverId;
    /** Time for which the server is still cold. */
    Duration coldFor {};
    ServerStatement statement;
};

/** A caller's query for the addresses of instances. */
struct DirectoryQuery {
    /** The host that the caller is about to send to. */
    std::string host;
    RegionName region;
    DatacentreName datacentre;
};

/** Encodes and decodes the platform's protocol of callers and backend servers. Takes no decisions. */
class ProtocolCodec {
public:
    virtual ~ProtocolCodec();

    virtual RequestMetadata decodeRequest(const RequestMessage&) const = 0;
    /** Whether only this system may set the header; it is not forwarded from callers. */
    virtual bool isReservedHeader(std::string_view name) const = 0;
    /** Whether the header says who asks. It is not forwarded if the configuration identifies callers. */
    virtual bool isCallerIdentityHeader(std::string_view name) const = 0;
    virtual void appendServerMetadata(std::string& out, const ServerRequestMetadata&) const = 0;
    virtual AnswerMetadata decodeAnswer(const AnswerHead&) const = 0;
    virtual HealthStatus decodeHealth(const AnswerHead&) const = 0;

    /** std::nullopt if the request is not a directory query. */
    virtual std::optional<DirectoryQuery> decodeDirectoryQuery(const RequestMessage&) const = 0;
    virtual std::string encodeDirectoryAnswer(const std::vector<std::string>& addresses, Duration validFor) const = 0;
    virtual bool isReadinessProbe(const RequestMessage&) const = 0;
};

} // namespace yuccashift
