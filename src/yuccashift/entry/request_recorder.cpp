#include "yuccashift/entry/request_recorder.hpp"

#include "yuccashift/kernel/log.hpp"

#include <algorithm>
#include <cmath>

namespace yuccashift {

namespace {

    /** Logged as `first_byte_ms` if no first byte arrived. */
    constexpr std::int64_t noFirstByte = -1;

    /** Organisations with series of their own; the requests of all others are counted together. */
    constexpr std::size_t maxCountedOrganisations = 64;
    constexpr std::string_view otherOrganisations = "(others)";

    /** Few values, so that an organisation has few series; the outcome of each request is in the log. */
    std::string_view organisationOutcome(std::string_view outcome)
    {
        if (outcome == "ok")
            return "served";
        return outcome == traits(ErrorKind::LimitExceeded).code ? "over_limit" : "not_served";
    }

    Counter& answerCounter(Metrics& metrics, AnswerFraming framing)
    {
        return metrics.counter("yuccashift_answers_total", { { "framing", toString(framing) } });
    }

    Counter& promiseCounter(Metrics& metrics, std::string_view outcome)
    {
        return metrics.counter("yuccashift_accepted_total", { { "outcome", outcome } });
    }

} // namespace

std::string_view reasonOf(const Error& error)
{
    return error.detail.empty() ? traits(error.kind).summary : std::string_view(error.detail);
}

RequestRecorder::RequestRecorder(Metrics& metrics)
    : m_metrics(metrics)
    , m_serverSends(metrics.counter("yuccashift_sends_total", { { "to", "server" } }))
    , m_hopSends(metrics.counter("yuccashift_sends_total", { { "to", "instance" } }))
    , m_answers { &answerCounter(metrics, AnswerFraming::Length), &answerCounter(metrics, AnswerFraming::Chunks), &answerCounter(metrics, AnswerFraming::Connection) }
    , m_retries(metrics.counter("yuccashift_repeats_total"))
    , m_leftBeforeSend(metrics.counter("yuccashift_left_before_send_total"))
    , m_promises { &promiseCounter(metrics, "kept"), &promiseCounter(metrics, "late"), &promiseCounter(metrics, "missed") }
    , m_uncachedTokens(metrics.counter("yuccashift_prompt_tokens_total", { { "cache", "none" } }))
    , m_cachedTokens(metrics.counter("yuccashift_prompt_tokens_total", { { "cache", "expected" } }))
    , m_firstPrefixServer(metrics.counter("yuccashift_prefix_sends_total", { { "server", "first" } }))
    , m_nextPrefixServer(metrics.counter("yuccashift_prefix_sends_total", { { "server", "next" } }))
    , m_otherServer(metrics.counter("yuccashift_prefix_sends_total", { { "server", "other" } }))
    , m_hopBytesSent(metrics.counter("yuccashift_hop_bytes_total", { { "direction", "out" } }))
    , m_hopBytesReceived(metrics.counter("yuccashift_hop_bytes_total", { { "direction", "back" } }))
    , m_laterThanPredicted(metrics.latency("yuccashift_prediction_error_seconds", { { "came", "later" } }))
    , m_soonerThanPredicted(metrics.latency("yuccashift_prediction_error_seconds", { { "came", "sooner" } }))
    , m_streamGaps(metrics.latency("yuccashift_stream_gap_seconds"))
{
}

std::string_view RequestRecorder::organisationLabel(std::string_view organisation)
{
    if (m_countedOrganisations.contains(organisation))
        return organisation;
    if (m_countedOrganisations.size() >= maxCountedOrganisations)
        return otherOrganisations;
    m_countedOrganisations.emplace(organisation);
    return organisation;
}

void RequestRecorder::recordEnd(const RequestSummary& end)
{
    m_metrics.counter("yuccashift_requests_total", { { "outcome", end.outcome }, { "route", end.route } }).add();
    m_metrics.latency("yuccashift_request_seconds", { { "route", end.route } }).record(end.duration);
    if (!end.organisation.empty() && !end.forwarded)
        m_metrics.counter("yuccashift_organisation_requests_total", { { "organisation", organisationLabel(end.organisation) }, { "outcome", organisationOutcome(end.outcome) } }).add();
    if (end.timeToFirstByte)
        m_metrics.latency("yuccashift_first_byte_seconds", { { "route", end.route } }).record(*end.timeToFirstByte);
    const auto firstByteMs = end.timeToFirstByte ? toMilliseconds(*end.timeToFirstByte) : noFirstByte;
    logInfo(end.outcome == "ok" ? "request served" : "request ended", { { "request", end.requestId }, { "route", end.route }, { "organisation", end.organisation }, { "outcome", end.outcome }, { "why", end.reason }, { "took_ms", toMilliseconds(end.duration) }, { "first_byte_ms", firstByteMs }, { "server", end.server }, { "peer", end.peer }, { "framing", end.framing }, { "incomplete_event_bytes", end.incompleteEventBytes }, { "attempts", end.attempts }, { "config", end.configVersion } });
}

void RequestRecorder::recordServerSend(std::uint32_t promptTokens, std::uint32_t cachedTokens)
{
    const auto cached = std::min(promptTokens, cachedTokens);
    m_serverSends.add();
    m_cachedTokens.add(cached);
    m_uncachedTokens.add(promptTokens - cached);
}

void RequestRecorder::recordPrefixServer(std::uint32_t rank)
{
    (rank == 0 ? m_otherServer : rank == 1 ? m_firstPrefixServer
                                           : m_nextPrefixServer)
        .add();
}

void RequestRecorder::recordHopSend(std::size_t bytes)
{
    m_hopSends.add();
    m_hopBytesSent.add(bytes);
}

void RequestRecorder::recordHopBytesReceived(std::size_t bytes)
{
    m_hopBytesReceived.add(bytes);
}

void RequestRecorder::recordAnswer(AnswerFraming framing)
{
    m_answers[static_cast<std::size_t>(framing)]->add();
}

void RequestRecorder::recordRetry()
{
    m_retries.add();
}

void RequestRecorder::recordLeftBeforeSend()
{
    m_leftBeforeSend.add();
}

void RequestRecorder::recordLimitDecision(const OrganisationName& organisation, double cost, const LimitDecision& decision)
{
    const OrganisationName label(organisationLabel(organisation));
    auto& counters = m_limitCounters[label];
    auto*& counter = counters[static_cast<std::size_t>(decision.bound)];
    if (!counter)
        counter = &m_metrics.counter("yuccashift_limit_usage_total", { { "bound", toString(decision.bound) }, { "organisation", label } });
    counter->add(static_cast<std::uint64_t>(std::llround(std::max(0.0, cost))));
}

void RequestRecorder::recordPromise(Promise promise)
{
    m_promises[static_cast<std::size_t>(promise)]->add();
}

void RequestRecorder::recordPredictionError(Duration predicted, Duration observed)
{
    if (observed >= predicted)
        m_laterThanPredicted.record(observed - predicted);
    else
        m_soonerThanPredicted.record(predicted - observed);
}

void RequestRecorder::recordStreamGap(Duration gap)
{
    m_streamGaps.record(gap);
}

} // namespace yuccashift
