#include "fuzzing/soak/attempt_tracker.hpp"

#include "platform/standins/entry_fleet.hpp"

namespace yuccashift::soak {

namespace {

    bool isNonIdempotent(RequestKind kind)
    {
        return kind == RequestKind::Write || kind == RequestKind::StreamOnce || kind == RequestKind::Upload;
    }

    bool isStream(RequestKind kind)
    {
        return kind == RequestKind::Stream || kind == RequestKind::StreamOnce;
    }

    bool guaranteesNotRun(int status)
    {
        return status == 503 || status == 429 || status == 408 || status == 421;
    }

    /** Whether a complete, successful reply is the server's whole answer to this attempt. */
    bool isOwnAndWhole(const std::string& attempt, const Attempt& it)
    {
        if (isStream(it.kind))
            return it.reply.body == AttemptTracker::expectedStream(attempt);
        return test::answersAttempt(it.reply, attempt);
    }

} // namespace

std::string AttemptTracker::expectedStream(const std::string& attempt)
{
    std::string text;
    for (unsigned n = 1; n <= streamEvents; ++n)
        text += "id: " + std::to_string(n) + "\ndata: " + attempt + "." + std::to_string(n) + "\n\n";
    return text;
}

void AttemptTracker::recordReply(const std::string& attempt, Attempt record)
{
    const std::lock_guard lock(m_mutex);
    m_attempts[attempt] = std::move(record);
}

void AttemptTracker::recordRuns(const std::string& serverStart, const std::string& region, std::map<std::string, std::uint64_t> runs)
{
    const std::lock_guard lock(m_mutex);
    if (!runs.empty())
        m_runs[serverStart] = { region, std::move(runs) };
}

std::vector<std::string> AttemptTracker::findViolations() const
{
    const std::lock_guard lock(m_mutex);
    std::map<std::string, std::uint64_t> total;
    std::map<std::string, std::uint64_t> outsideHomeRegion;
    for (const auto& [start, runs] : m_runs) {
        for (const auto& [attempt, count] : runs.counts) {
            total[attempt] += count;
            if (runs.region != homeRegion)
                outsideHomeRegion[attempt] += count;
        }
    }
    std::vector<std::string> violations;
    for (const auto& [attempt, it] : m_attempts) {
        if (isNonIdempotent(it.kind) && total[attempt] > 1)
            violations.push_back(attempt + " ran " + std::to_string(total[attempt]) + " times");
        if (isNonIdempotent(it.kind) && guaranteesNotRun(it.reply.status) && total[attempt] > 0)
            violations.push_back(attempt + " ran though it was answered " + std::to_string(it.reply.status));
        if (it.kind == RequestKind::Bound && outsideHomeRegion[attempt] > 0)
            violations.push_back(attempt + " ran outside its home");
        if (it.reply.status == 200 && it.reply.complete && !isOwnAndWhole(attempt, it))
            violations.push_back(attempt + " got another answer, or half of one, as whole: " + it.reply.body.substr(0, 200));
        if (it.reply.status != 0 && (it.reply.status < 200 || it.reply.status > 599))
            violations.push_back(attempt + " was answered with status " + std::to_string(it.reply.status));
        if (it.reply.status == 404)
            violations.push_back(attempt + " was told that its route does not exist");
    }
    for (const auto& [attempt, count] : total) {
        if (!m_attempts.contains(attempt))
            violations.push_back(attempt + " ran and nobody sent it");
    }
    return violations;
}

std::map<int, int> AttemptTracker::countStatuses() const
{
    const std::lock_guard lock(m_mutex);
    std::map<int, int> counts;
    for (const auto& [attempt, it] : m_attempts)
        ++counts[it.reply.complete ? it.reply.status : 0];
    return counts;
}

} // namespace yuccashift::soak
