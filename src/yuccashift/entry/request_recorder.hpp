#pragma once

#include "yuccashift/kernel/clock.hpp"
#include "yuccashift/kernel/error.hpp"
#include "yuccashift/kernel/ids.hpp"
#include "yuccashift/observe/metrics.hpp"

#include <cstdint>
#include <optional>
#include <string_view>

namespace yuccashift {

/** How a request ended at this instance. */
struct RequestSummary {
    std::string_view requestId {};
    /** Empty where none was found. */
    std::string_view route {};
    /** `ok`, an error's code, or what became of an answer that had begun. */
    std::string_view outcome {};
    /** What an operator needs to know beyond the outcome; may be empty. */
    std::string_view reason {};
    Duration duration {};
    std::optional<Duration> timeToFirstByte {};
    std::string_view server {};
    /** The instance that it was sent to. */
    std::string_view peer {};
    std::uint32_t attempts = 0;
    std::int64_t configVersion = 0;
};

/** What an error's log line gives as its reason: its detail, or its summary where it has none. */
std::string_view reasonOf(const Error&);

/**
 * Counts and logs what becomes of requests at one instance. Series by route are
 * as many as the configuration has routes, up to the bound of all metrics.
 */
class RequestRecorder {
public:
    explicit RequestRecorder(Metrics&);

    /** One line and the series of the route. */
    void recordEnd(const RequestSummary&);
    /** A send to a backend server of this region, and what of the prompt it is to read. */
    void recordServerSend(std::uint32_t promptTokens, std::uint32_t cachedTokens);
    /** A send to another instance. */
    void recordHopSend(std::size_t bytes);
    /** Bytes of an answer that came from another instance. */
    void recordHopBytesReceived(std::size_t bytes);
    void recordRetry();
    /** Compares a predicted time to the first byte with what came. */
    void recordPredictionError(Duration predicted, Duration observed);
    /** Time between two parts of a stream as they came. */
    void recordStreamGap(Duration);

private:
    Metrics& m_metrics;
    Counter& m_toServers;
    Counter& m_toInstances;
    Counter& m_repeats;
    Counter& m_tokensRead;
    Counter& m_tokensCached;
    Counter& m_bytesOut;
    Counter& m_bytesBack;
    LatencyHistogram& m_later;
    LatencyHistogram& m_sooner;
    LatencyHistogram& m_gaps;
};

} // namespace yuccashift
