#include "fuzzing/soak/ledger.hpp"

#include "platform/standins/entry_fleet.hpp"

namespace yuccashift::soak {

namespace {

    bool mayRunOnce(Work work)
    {
        return work == Work::Write || work == Work::StreamOnce;
    }

    bool isStream(Work work)
    {
        return work == Work::Stream || work == Work::StreamOnce;
    }

    bool promisesNotRun(int status)
    {
        return status == 503 || status == 429 || status == 408 || status == 421;
    }

    /** Whether a complete success is the server's whole answer to this sending. */
    bool isOwnAndWhole(const std::string& attempt, const Sending& it)
    {
        if (isStream(it.work))
            return it.reply.body == Ledger::streamOf(attempt);
        return test::answersAttempt(it.reply, attempt);
    }

} // namespace

std::string Ledger::streamOf(const std::string& attempt)
{
    std::string text;
    for (unsigned n = 1; n <= streamEvents; ++n)
        text += "id: " + std::to_string(n) + "\ndata: " + attempt + "." + std::to_string(n) + "\n\n";
    return text;
}

void Ledger::sent(const std::string& attempt, Sending sending)
{
    const std::lock_guard lock(m_mutex);
    m_sendings[attempt] = std::move(sending);
}

void Ledger::ran(const std::string& serverStart, const std::string& region, std::map<std::string, std::uint64_t> runs)
{
    const std::lock_guard lock(m_mutex);
    if (!runs.empty())
        m_runs[serverStart] = { region, std::move(runs) };
}

std::vector<std::string> Ledger::judge() const
{
    const std::lock_guard lock(m_mutex);
    std::map<std::string, std::uint64_t> total;
    std::map<std::string, std::uint64_t> outsideHome;
    for (const auto& [start, runs] : m_runs) {
        for (const auto& [attempt, count] : runs.counts) {
            total[attempt] += count;
            if (runs.region != homeRegion)
                outsideHome[attempt] += count;
        }
    }
    std::vector<std::string> broken;
    for (const auto& [attempt, it] : m_sendings) {
        if (mayRunOnce(it.work) && total[attempt] > 1)
            broken.push_back(attempt + " ran " + std::to_string(total[attempt]) + " times");
        if (mayRunOnce(it.work) && promisesNotRun(it.reply.status) && total[attempt] > 0)
            broken.push_back(attempt + " ran though it was answered " + std::to_string(it.reply.status));
        if (it.work == Work::Bound && outsideHome[attempt] > 0)
            broken.push_back(attempt + " ran outside its home");
        if (it.reply.status == 200 && it.reply.complete && !isOwnAndWhole(attempt, it))
            broken.push_back(attempt + " got another answer, or half of one, as whole: " + it.reply.body.substr(0, 200));
        if (it.reply.status == 404)
            broken.push_back(attempt + " was told that its route does not exist");
    }
    for (const auto& [attempt, count] : total) {
        if (!m_sendings.contains(attempt))
            broken.push_back(attempt + " ran and nobody sent it");
    }
    return broken;
}

std::map<int, int> Ledger::statuses() const
{
    const std::lock_guard lock(m_mutex);
    std::map<int, int> counts;
    for (const auto& [attempt, it] : m_sendings)
        ++counts[it.reply.complete ? it.reply.status : 0];
    return counts;
}

} // namespace yuccashift::soak
