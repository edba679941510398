#pragma once

#include "tests/support/http_call.hpp"

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace yuccashift::soak {

/** What a request asks for, and so what must hold for it. */
enum class Work {
    Read,
    Write,
    Stream,
    StreamOnce,
    Bound,
};

/** What a caller saw of one sending. */
struct Sending {
    Work work = Work::Read;
    test::HttpReply reply;
};

/**
 * All sendings and all runs, and what is wrong with them. Runs of a server that
 * crashed are known up to the last look, so that they may be too few, never too many.
 */
class Ledger {
public:
    void sent(const std::string& attempt, Sending);
    /** Runs that one start of a server has counted so far. */
    void ran(const std::string& serverStart, const std::string& region, std::map<std::string, std::uint64_t> runs);
    /** Broken promises, in words; empty where all were kept. */
    std::vector<std::string> judge() const;
    /** Sendings by status, for the report. */
    std::map<int, int> statuses() const;

    /** The whole body of a stream of this attempt. */
    static std::string streamOf(const std::string& attempt);

private:
    struct Runs {
        std::string region;
        std::map<std::string, std::uint64_t> counts;
    };

    mutable std::mutex m_mutex;
    std::map<std::string, Sending> m_sendings;
    std::map<std::string, Runs> m_runs;
};

/** Events of the stand-ins' streams. */
constexpr unsigned streamEvents = 20;
/** The region to which bound requests belong. */
constexpr const char* homeRegion = "varna";

} // namespace yuccashift::soak
