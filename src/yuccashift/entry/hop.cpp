#include "yuccashift/entry/hop.hpp"

#include <boost/algorithm/string/predicate.hpp>
#include <charconv>

namespace yuccashift {

namespace {

    constexpr std::string_view originField = "Yuccashift-Origin";
    constexpr std::string_view versionField = "Yuccashift-Config";
    constexpr std::string_view serviceField = "Yuccashift-Service";
    constexpr std::string_view deadlineField = "Yuccashift-Deadline";
    constexpr std::string_view objectiveField = "Yuccashift-Objective";
    constexpr std::string_view resumeField = "Yuccashift-Resume-After";
    constexpr std::string_view failureField = "Yuccashift-Failure";
    constexpr std::string_view fieldPrefix = "Yuccashift-";

    void appendField(std::string& out, std::string_view name, std::string_view value)
    {
        out.append(name).append(": ").append(value).append("\r\n");
    }

    std::optional<std::int64_t> integerField(const HeaderFields& headers, std::string_view name)
    {
        const auto text = findHeader(headers, name);
        std::int64_t value = 0;
        if (!text)
            return {};
        const auto [end, ec] = std::from_chars(text->data(), text->data() + text->size(), value);
        if (ec != std::errc() || end != text->data() + text->size())
            return {};
        return value;
    }

} // namespace

void appendHopMetadata(std::string& out, const HopMetadata& metadata)
{
    appendField(out, originField, metadata.origin);
    appendField(out, versionField, std::to_string(metadata.configVersion));
    appendField(out, serviceField, metadata.service);
    appendField(out, deadlineField, std::to_string(metadata.deadline.count()));
    appendField(out, objectiveField, std::to_string(metadata.objective.count()));
    if (metadata.resumeAfter)
        appendField(out, resumeField, *metadata.resumeAfter);
}

std::optional<HopMetadata> extractHopMetadata(HeaderFields& headers)
{
    HopMetadata metadata;
    const auto origin = findHeader(headers, originField);
    const auto service = findHeader(headers, serviceField);
    const auto version = integerField(headers, versionField);
    const auto deadline = integerField(headers, deadlineField);
    const auto objective = integerField(headers, objectiveField);
    if (!origin || !service || !version || !deadline || !objective)
        return {};
    metadata.origin = *origin;
    metadata.service = *service;
    metadata.configVersion = *version;
    metadata.deadline = milliseconds(*deadline);
    metadata.objective = milliseconds(*objective);
    if (const auto after = findHeader(headers, resumeField))
        metadata.resumeAfter = std::string(*after);
    std::erase_if(headers, [](const HeaderField& field) { return boost::algorithm::istarts_with(field.name, fieldPrefix); });
    return metadata;
}

HeaderField encodeHopFailure(const Error& error)
{
    return { std::string(failureField), std::string(error.code()) + "; " + std::string(toString(error.effectiveRunState())) };
}

std::optional<Error> decodeHopFailure(const AnswerHead& head)
{
    const auto value = findHeader(head.headers, failureField);
    if (!value)
        return {};
    const auto end = value->find(';');
    Error error { errorKindFromCode(value->substr(0, end)), {}, RunState::OutcomeUnknown, {} };
    const auto state = end == std::string_view::npos ? std::string_view() : value->substr(end + 1);
    if (state == " not run")
        error.runState = RunState::NotRun;
    else if (state == " ran")
        error.runState = RunState::Ran;
    return error;
}

} // namespace yuccashift
