#include "yuccashift/entry/request_recorder.hpp"

#include "yuccashift/kernel/log.hpp"

#include <algorithm>

namespace yuccashift {

namespace {

    /** Stands for a first byte that never came. */
    constexpr std::int64_t noFirstByte = -1;

} // namespace

std::string_view reasonOf(const Error& error)
{
    return error.detail.empty() ? traits(error.kind).summary : std::string_view(error.detail);
}

RequestRecorder::RequestRecorder(Metrics& metrics)
    : m_metrics(metrics)
    , m_toServers(metrics.counter("yuccashift_sends_total", { { "to", "server" } }))
    , m_toInstances(metrics.counter("yuccashift_sends_total", { { "to", "instance" } }))
    , m_repeats(metrics.counter("yuccashift_repeats_total"))
    , m_tokensRead(metrics.counter("yuccashift_prompt_tokens_total", { { "cache", "none" } }))
    , m_tokensCached(metrics.counter("yuccashift_prompt_tokens_total", { { "cache", "expected" } }))
    , m_bytesOut(metrics.counter("yuccashift_hop_bytes_total", { { "direction", "out" } }))
    , m_bytesBack(metrics.counter("yuccashift_hop_bytes_total", { { "direction", "back" } }))
    , m_later(metrics.latency("yuccashift_prediction_error_seconds", { { "came", "later" } }))
    , m_sooner(metrics.latency("yuccashift_prediction_error_seconds", { { "came", "sooner" } }))
    , m_gaps(metrics.latency("yuccashift_stream_gap_seconds"))
{
}

void RequestRecorder::recordEnd(const RequestSummary& end)
{
    m_metrics.counter("yuccashift_requests_total", { { "outcome", end.outcome }, { "route", end.route } }).add();
    m_metrics.latency("yuccashift_request_seconds", { { "route", end.route } }).record(end.duration);
    if (end.timeToFirstByte)
        m_metrics.latency("yuccashift_first_byte_seconds", { { "route", end.route } }).record(*end.timeToFirstByte);
    const auto firstByteMs = end.timeToFirstByte ? toMilliseconds(*end.timeToFirstByte) : noFirstByte;
    logInfo(end.outcome == "ok" ? "request served" : "request ended", { { "request", end.requestId }, { "route", end.route }, { "outcome", end.outcome }, { "why", end.reason }, { "took_ms", toMilliseconds(end.duration) }, { "first_byte_ms", firstByteMs }, { "server", end.server }, { "peer", end.peer }, { "attempts", end.attempts }, { "config", end.configVersion } });
}

void RequestRecorder::recordServerSend(std::uint32_t promptTokens, std::uint32_t cachedTokens)
{
    const auto cached = std::min(promptTokens, cachedTokens);
    m_toServers.add();
    m_tokensCached.add(cached);
    m_tokensRead.add(promptTokens - cached);
}

void RequestRecorder::recordHopSend(std::size_t bytes)
{
    m_toInstances.add();
    m_bytesOut.add(bytes);
}

void RequestRecorder::recordHopBytesReceived(std::size_t bytes)
{
    m_bytesBack.add(bytes);
}

void RequestRecorder::recordRetry()
{
    m_repeats.add();
}

void RequestRecorder::recordPredictionError(Duration predicted, Duration observed)
{
    if (observed >= predicted)
        m_later.record(observed - predicted);
    else
        m_sooner.record(predicted - observed);
}

void RequestRecorder::recordStreamGap(Duration gap)
{
    m_gaps.record(gap);
}

} // namespace yuccashift
