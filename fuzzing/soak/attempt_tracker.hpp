#pragma once

#include "tests/support/http_call.hpp"

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace yuccashift::soak {

/** Kind of a request; determines the guarantees that apply to it. */
enum class RequestKind {
    Read,
    Write,
    Stream,
    StreamOnce,
    Bound,
    /** Like Write, with a body that does not fit into the buffers of a connection. */
    Upload,
};

constexpr std::size_t requestKinds = 6;

/** Kind of one attempt and the reply that its caller received. */
struct Attempt {
    RequestKind kind = RequestKind::Read;
    test::HttpReply reply;
};

/**
 * Records all attempts and their executions on servers, and finds violated
 * guarantees. Executions on a server that crashed are known only up to the last
 * poll, so their count may be too low, but never too high.
 */
class AttemptTracker {
public:
    void recordReply(const std::string& attempt, Attempt);
    /** Sets the executions counted so far by one start of a server, by attempt; an empty `runs` changes nothing. */
    void recordRuns(const std::string& serverStart, const std::string& region, std::map<std::string, std::uint64_t> runs);
    /** Descriptions of all violated guarantees; an empty vector if there are none. */
    std::vector<std::string> findViolations() const;
    /** Number of attempts by reply status, for the report; incomplete replies count as status 0. */
    std::map<int, int> countStatuses() const;

    /** The complete expected body of this attempt's stream. */
    static std::string expectedStream(const std::string& attempt);

private:
    struct Runs {
        std::string region;
        std::map<std::string, std::uint64_t> counts;
    };

    mutable std::mutex m_mutex;
    std::map<std::string, Attempt> m_attempts;
    std::map<std::string, Runs> m_runs;
};

/** Number of events in each stream of the stand-ins. */
constexpr unsigned streamEvents = 20;
/** The only region in which requests of kind Bound may run. */
constexpr const char* homeRegion = "varna";

} // namespace yuccashift::soak
