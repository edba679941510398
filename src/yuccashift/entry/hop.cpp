#include "yuccashift/entry/hop.hpp"

#include <algorithm>
#include <boost/beast/core/string.hpp>
#include <charconv>

namespace yuccashift {

namespace {

    constexpr std::string_view originField = "Yuccashift-Origin";
    constexpr std::string_view versionField = "Yuccashift-Config";
    constexpr std::string_view serviceField = "Yuccashift-Service";
    constexpr std::string_view deadlineField = "Yuccashift-Deadline";
    constexpr std::string_view objectiveField = "Yuccashift-Objective";
    constexpr std::string_view resumeField = "Yuccashift-Resume-After";
    constexpr std::string_view streamSoftwareField = "Yuccashift-Stream-Software";
    constexpr std::string_view serverField = "Yuccashift-Server";
    constexpr std::string_view acceptField = "Yuccashift-Accept-Within";
    constexpr std::string_view organisationField = "Yuccashift-Organisation";
    constexpr std::string_view serverSoftwareField = "Yuccashift-Server-Software";
    constexpr std::string_view failureField = "Yuccashift-Failure";
    /** Marks an answer of a backend server, as opposed to one that an instance gives itself. */
    constexpr std::string_view answerField = "Yuccashift-Answer";
    constexpr std::string_view serverAnswer = "server";
    constexpr std::string_view fieldPrefix = "Yuccashift-";
    constexpr std::string_view reachedServerMark = "; reached a server";

    /** A longer time is taken for this one, so that no sum with it overflows. */
    constexpr std::int64_t maxMilliseconds = std::int64_t { 24 } * 3600 * 1000;

    /** A request is sent on after at most this many hops that reached no server. */
    constexpr std::uint32_t maxRefusedHops = 3;

    void appendField(std::string& out, std::string_view name, std::string_view value)
    {
        out.append(name).append(": ").append(value).append("\r\n");
    }

    /** Hashes are written as signed integers, like those in heartbeats. */
    std::string hashText(std::uint64_t hash)
    {
        return std::to_string(static_cast<std::int64_t>(hash));
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

    milliseconds boundedMilliseconds(std::int64_t count)
    {
        return milliseconds(std::clamp<std::int64_t>(count, 0, maxMilliseconds));
    }

} // namespace

HopRecovery recoverFromHop(const HopFailure& failure, bool retryable, std::uint32_t refusedHops)
{
    // What the executing instance knows to crash servers is sent to no other one.
    if (failure.error.kind == ErrorKind::Quarantined)
        return HopRecovery::GiveUp;
    const bool notRun = failure.error.effectiveRunState() == RunState::NotRun;
    if (notRun && !failure.reachedServer)
        return refusedHops <= maxRefusedHops ? HopRecovery::SendOn : HopRecovery::GiveUp;
    // A server that refused the request has proved that it did not run, but the arrival there counts.
    return notRun || retryable ? HopRecovery::Retry : HopRecovery::GiveUp;
}

Error withEarlierAttempts(Error error, bool mayHaveRun)
{
    if (mayHaveRun && error.effectiveRunState() == RunState::NotRun)
        error.runState = RunState::OutcomeUnknown;
    return error;
}

bool isForwarded(const HeaderFields& headers)
{
    return findHeader(headers, originField).has_value();
}

HeaderField serverAnswerMark()
{
    return { std::string(answerField), std::string(serverAnswer) };
}

bool isMarkedAsServerAnswer(const AnswerHead& head)
{
    return findHeader(head.headers, answerField) == serverAnswer;
}

bool isHopHeader(std::string_view name)
{
    return boost::beast::iequals(name.substr(0, fieldPrefix.size()), fieldPrefix);
}

void appendHopMetadata(std::string& out, const HopMetadata& metadata)
{
    appendField(out, originField, metadata.origin);
    appendField(out, versionField, std::to_string(metadata.configVersion));
    appendField(out, serviceField, metadata.service);
    appendField(out, deadlineField, std::to_string(metadata.deadline.count()));
    appendField(out, objectiveField, std::to_string(metadata.objective.count()));
    if (metadata.resumeAfter)
        appendField(out, resumeField, *metadata.resumeAfter);
    if (metadata.streamSoftware)
        appendField(out, streamSoftwareField, hashText(*metadata.streamSoftware));
    if (metadata.server != 0)
        appendField(out, serverField, std::to_string(metadata.server));
    if (metadata.acceptWithin)
        appendField(out, acceptField, std::to_string(metadata.acceptWithin->count()));
    if (metadata.organisation)
        appendField(out, organisationField, *metadata.organisation);
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
    metadata.deadline = boundedMilliseconds(*deadline);
    metadata.objective = boundedMilliseconds(*objective);
    if (const auto after = findHeader(headers, resumeField))
        metadata.resumeAfter = std::string(*after);
    if (const auto software = integerField(headers, streamSoftwareField))
        metadata.streamSoftware = static_cast<SoftwareId>(*software);
    metadata.server = static_cast<std::uint64_t>(integerField(headers, serverField).value_or(0));
    if (const auto within = integerField(headers, acceptField))
        metadata.acceptWithin = boundedMilliseconds(*within);
    if (const auto organisation = findHeader(headers, organisationField))
        metadata.organisation = OrganisationName(*organisation);
    std::erase_if(headers, [](const HeaderField& field) { return isHopHeader(field.name); });
    return metadata;
}

HeaderField encodeServerSoftware(SoftwareId software)
{
    return { std::string(serverSoftwareField), hashText(software) };
}

SoftwareId decodeServerSoftware(const AnswerHead& head)
{
    return static_cast<SoftwareId>(integerField(head.headers, serverSoftwareField).value_or(0));
}

HeaderField encodeHopFailure(const HopFailure& failure)
{
    auto value = std::string(failure.error.code()) + "; " + std::string(toString(failure.error.effectiveRunState()));
    if (failure.reachedServer)
        value += reachedServerMark;
    return { std::string(failureField), std::move(value) };
}

std::optional<HopFailure> decodeHopFailure(const AnswerHead& head)
{
    const auto value = findHeader(head.headers, failureField);
    if (!value)
        return {};
    auto text = std::string_view(*value);
    HopFailure failure;
    failure.reachedServer = text.ends_with(reachedServerMark);
    if (failure.reachedServer)
        text.remove_suffix(reachedServerMark.size());
    const auto end = text.find(';');
    failure.error = { errorKindFromCode(text.substr(0, end)), {}, RunState::OutcomeUnknown, {} };
    const auto state = end == std::string_view::npos ? std::string_view() : text.substr(end + 1);
    if (state == " not run")
        failure.error.runState = RunState::NotRun;
    else if (state == " ran")
        failure.error.runState = RunState::Ran;
    return failure;
}

} // namespace yuccashift
