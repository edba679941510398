#pragma once

#include "yuccashift/entry/protocol_codec.hpp"

#include <sstream>

namespace yuccashift::test {

/** Headers of callers and servers for tests without a platform: `Attempt`, `Parts` (ids separated by spaces), `Resume-After`, `Resumes`, `Credential`, `Organisation`, `Not-Run`. */
class WordProtocol : public ProtocolCodec {
public:
    RequestMetadata decodeRequest(const RequestMessage& request) const override
    {
        RequestMetadata metadata;
        metadata.attemptId = findHeader(request.headers, "Attempt").value_or("");
        if (const auto after = findHeader(request.headers, "Resume-After"))
            metadata.resumeAfter = std::string(*after);
        if (const auto first = findHeader(request.headers, "Resumes"))
            metadata.resumedAttempt = std::string(*first);
        metadata.credential = findHeader(request.headers, "Credential").value_or("");
        std::istringstream parts { std::string(findHeader(request.headers, "Parts").value_or("")) };
        for (std::uint64_t id = 0; parts >> id;)
            metadata.work.parts.push_back({ id, 100 });
        metadata.work.promptTokens = static_cast<std::uint32_t>(100 * metadata.work.parts.size());
        return metadata;
    }
    bool isReservedHeader(std::string_view name) const override { return name == "Resume-After"; }
    bool isCallerIdentityHeader(std::string_view name) const override { return name == "Credential"; }
    void appendServerMetadata(std::string& out, const ServerRequestMetadata& metadata) const override
    {
        if (metadata.resumeAfter)
            out.append("Resume-After: ").append(*metadata.resumeAfter).append("\r\n");
        if (!metadata.organisation.empty())
            out.append("Organisation: ").append(metadata.organisation).append("\r\n");
    }
    AnswerMetadata decodeAnswer(const AnswerHead& head) const override
    {
        AnswerMetadata metadata;
        metadata.notRun = findHeader(head.headers, "Not-Run").has_value();
        if (const auto id = findHeader(head.headers, "Attempt"))
            metadata.attemptId = std::string(*id);
        return metadata;
    }
    HealthStatus decodeHealth(const AnswerHead& head) const override { return { head.status == 200, {}, {}, {} }; }
    std::optional<DirectoryQuery> decodeDirectoryQuery(const RequestMessage&) const override { return {}; }
    std::string encodeDirectoryAnswer(const std::vector<std::string>&, Duration) const override { return {}; }
    bool isReadinessProbe(const RequestMessage&) const override { return false; }
};

} // namespace yuccashift::test
