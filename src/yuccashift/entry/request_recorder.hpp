#pragma once

#include "yuccashift/http/message.hpp"
#include "yuccashift/kernel/clock.hpp"
#include "yuccashift/kernel/error.hpp"
#include "yuccashift/kernel/ids.hpp"
#include "yuccashift/limits/fleet_limits.hpp"
#include "yuccashift/observe/metrics.hpp"

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string_view>

namespace yuccashift {

/** Outcome and timing of a request at this instance. */
struct RequestSummary {
    std::string_view requestId {};
    /** Empty if no route was found. */
    std::string_view route {};
    /** The organisation that asked; empty if it is not known or none is needed. */
    std::string_view organisation {};
    /** Whether another instance forwarded the request, which counts it for the organisation. */
    bool forwarded = false;
    /** `ok`, the code of an error, or how an answer that had started ended. */
    std::string_view outcome {};
    /** Details for operators; may be empty. */
    std::string_view reason {};
    Duration duration {};
    /** Time from the arrival to the first byte of the answer. */
    std::optional<Duration> timeToFirstByte {};
    std::string_view server {};
    /** The instance that the request was forwarded to. */
    std::string_view peer {};
    /** How the last answer with a head was framed; empty if there was none. */
    std::string_view framing {};
    /** Bytes at the end of a stream that belong to an event without its end. */
    std::size_t incompleteEventBytes = 0;
    std::uint32_t attempts = 0;
    std::int64_t configVersion = 0;
};

/** The reason of an error for the log: its detail, or the summary of its kind if it has none. */
std::string_view reasonOf(const Error&);

/**
 * Records metrics and log lines of the requests at one instance. There is one
 * set of series per configured route, up to the limit on all metrics, and one for
 * each of the first organisations that ask.
 */
class RequestRecorder {
public:
    explicit RequestRecorder(Metrics&);

    /** Writes the log line of an ended request and updates the series of its route. */
    void recordEnd(const RequestSummary&);
    /** Counts an attempt at a backend server of this region, and its prompt tokens by whether they are expected in the cache. */
    void recordServerSend(std::uint32_t promptTokens, std::uint32_t cachedTokens);
    /** Counts an attempt whose prompt has a shared prefix by the rank of the server for it; 0 if the server is none of the ranked ones. */
    void recordPrefixServer(std::uint32_t rank);
    /** Counts a request forwarded to another instance, and its bytes. */
    void recordHopSend(std::size_t bytes);
    /** Counts bytes of an answer received from another instance. */
    void recordHopBytesReceived(std::size_t bytes);
    /** Counts an answer by how it is framed. */
    void recordAnswer(AnswerFraming);
    void recordRetry();
    /** Counts a request that was not sent, or not sent again, since its caller or the instance that forwarded it had closed the connection. */
    void recordLeftBeforeSend();
    /** Counts what a request costs against its organisation's limit, by the bound that decided. */
    void recordLimitDecision(const OrganisationName&, double cost, const LimitDecision&);
    /** How a request that the region's engines had room for ended. */
    enum class Promise {
        Kept,
        Late,
        Missed,
    };
    void recordPromise(Promise);
    /** Records the difference between the observed and the predicted time to first byte. */
    void recordPredictionError(Duration predicted, Duration observed);
    /** Records the time between two consecutive parts of a stream. */
    void recordStreamGap(Duration);

private:
    /** The label of an organisation's series: its name, or a common one once enough organisations have series of their own. */
    std::string_view organisationLabel(std::string_view organisation);
    /** Usage of a limit by LimitBound. */
    using LimitCounters = std::array<Counter*, 3>;

    Metrics& m_metrics;
    /** Organisations with series of their own. */
    std::set<OrganisationName, std::less<>> m_countedOrganisations;
    std::map<OrganisationName, LimitCounters, std::less<>> m_limitCounters;
    Counter& m_serverSends;
    Counter& m_hopSends;
    /** By AnswerFraming. */
    std::array<Counter*, 3> m_answers;
    Counter& m_retries;
    Counter& m_leftBeforeSend;
    /** By Promise. */
    std::array<Counter*, 3> m_promises;
    Counter& m_uncachedTokens;
    Counter& m_cachedTokens;
    /** Attempts at the first of the servers ranked for the prefix, at one of the next, and at any other. */
    Counter& m_firstPrefixServer;
    Counter& m_nextPrefixServer;
    Counter& m_otherServer;
    Counter& m_hopBytesSent;
    Counter& m_hopBytesReceived;
    LatencyHistogram& m_laterThanPredicted;
    LatencyHistogram& m_soonerThanPredicted;
    LatencyHistogram& m_streamGaps;
};

} // namespace yuccashift
