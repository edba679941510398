#pragma once

#include "yuccashift/resilience/prompt_quarantine.hpp"

#include <cstdint>
#include <vector>

namespace yuccashift {

/** A request whose connection to its backend server broke off. */
struct LostRequest {
    std::uint64_t server = 0;
    std::vector<PartHash> parts;
    /** Short hash of the whole request. */
    PartHash request = 0;
    Instant sentAt {};
    Instant lostAt {};
};

/**
 * Holds broken requests until it is known whether their servers crashed. A server
 * that still answers has not, whatever it did to the connection. Not thread safe.
 */
class CrashConfirmation {
public:
    void add(LostRequest);
    /** The server answered what was sent to it at `askedAt`: it has not crashed before that. */
    void onAnswer(std::uint64_t server, Instant askedAt);
    /** The server did not answer what was sent to it at `askedAt`; returns the requests that were lost with it. */
    std::vector<LostRequest> takeUnanswered(std::uint64_t server, Instant askedAt);
    /** Returns the requests whose servers have not shown in time that they run. */
    std::vector<LostRequest> takeOverdue(Instant now);
    bool empty() const { return m_pending.empty(); }

private:
    std::vector<LostRequest> m_pending;
};

} // namespace yuccashift
