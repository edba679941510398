#pragma once

#include "yuccashift/dispatch/work.hpp"
#include "yuccashift/http/message.hpp"
#include "yuccashift/kernel/clock.hpp"
#include "yuccashift/kernel/ids.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace yuccashift {

/** What a caller's headers say about its request. */
struct RequestMetadata {
    /** Names one sending of the request. */
    std::string attemptId;
    /** How long the caller waits, counted from the arrival. */
    std::optional<milliseconds> deadline;
    WorkSize work;
    /** The caller goes on with a stream after this event. */
    std::optional<std::string> resumeAfter;
};

/** What this instance tells a backend server about one sending. */
struct ServerRequestMetadata {
    std::string serverId;
    milliseconds deadline {};
    /** 0 is first. */
    std::optional<int> priority;
    std::optional<std::string> resumeAfter;
};

/** What the head of a server's answer says. */
struct AnswerMetadata {
    std::optional<std::string> attemptId;
    /** The server has not run the request and will not. */
    bool notRun = false;
    /** Another server has the address. */
    bool wrongServer = false;
};

/** What a server says of its health. */
struct HealthStatus {
    bool healthy = false;
    std::string serverId;
    Duration coldFor {};
};

/** A caller that asks which instances to use. */
struct DirectoryQuery {
    /** The host that the caller is about to send to. */
    std::string host;
    RegionName region;
    DatacentreName datacentre;
};

/** The words of the protocol that callers and backend servers speak. Translates; decides nothing. */
class ProtocolCodec {
public:
    virtual ~ProtocolCodec();

    virtual RequestMetadata decodeRequest(const RequestMessage&) const = 0;
    /** Whether only this system may set the header. */
    virtual bool isReservedHeader(std::string_view name) const = 0;
    virtual void appendServerMetadata(std::string& out, const ServerRequestMetadata&) const = 0;
    virtual AnswerMetadata decodeAnswer(const AnswerHead&) const = 0;
    virtual HealthStatus decodeHealth(const AnswerHead&) const = 0;

    /** Nothing where the request asks something else. */
    virtual std::optional<DirectoryQuery> decodeDirectoryQuery(const RequestMessage&) const = 0;
    virtual std::string encodeDirectoryAnswer(const std::vector<std::string>& addresses, Duration validFor) const = 0;
    virtual bool isReadinessProbe(const RequestMessage&) const = 0;
};

} // namespace yuccashift
