#include "fuzzing/support/check.hpp"
#include "fuzzing/support/fake_link.hpp"
#include "yuccashift/resilience/quarantine.hpp"

#include <algorithm>
#include <array>
#include <map>
#include <memory>
#include <set>

namespace yuccashift::fuzzing {
namespace {

    constexpr std::size_t instanceCount = 3;
    constexpr std::size_t serverCount = 5;
    constexpr std::uint64_t crashingFingerprint = 1;
    constexpr std::uint64_t innocentCount = 4;
    constexpr std::uint32_t allowedCrashes = 2;
    constexpr auto expiry = seconds(600);

    struct Running {
        std::size_t entry = 0;
        std::uint64_t fingerprint = 0;
    };

    struct Server {
        std::vector<Running> running;
        Instant availableAt {};
    };

    /** Callers that repeatedly send a request that crashes servers, together with harmless ones, through every entry instance. */
    class QuarantineSimulation {
    public:
        explicit QuarantineSimulation(std::string_view mutant)
            : m_mutant(mutant)
        {
            for (std::size_t n = 0; n < instanceCount; ++n)
                m_instances.push_back(std::make_unique<Quarantine>());
        }

        std::optional<std::string> apply(const Step& step)
        {
            enum class Action { SendCrashing,
                SendInnocent,
                Succeed,
                Crash,
                OtherCrash,
                SendRecords,
                DeliverRecords,
                LoseRecords,
                DuplicateRecords,
                Restart,
                Cut,
                Heal,
                Wait,
                Count };
            const auto entry = pick(step.a, instanceCount);
            const auto server = pick(step.b, serverCount);
            switch (static_cast<Action>(pick(step.action, static_cast<std::size_t>(Action::Count)))) {
            case Action::SendCrashing:
                send(entry, server, crashingFingerprint);
                break;
            case Action::SendInnocent:
                send(entry, server, crashingFingerprint + 1 + pick(step.c, innocentCount));
                break;
            case Action::Succeed:
                succeed(server, step);
                break;
            case Action::Crash:
                crash();
                break;
            case Action::OtherCrash:
                if (pick(step.c, 4) == 0)
                    crashServer(server);
                break;
            case Action::SendRecords:
                sendRecords(entry);
                break;
            case Action::DeliverRecords:
                deliver(step);
                break;
            case Action::LoseRecords:
                m_link.lose(step.b);
                break;
            case Action::DuplicateRecords:
                m_link.duplicate(step.b);
                break;
            case Action::Restart:
                restart(entry, step);
                break;
            case Action::Cut:
                m_link.cut(entry, pick(step.b, instanceCount));
                break;
            case Action::Heal:
                m_link.healAll();
                break;
            default:
                wait(step);
            }
            return m_violation;
        }

        /** Ends all faults and keeps sending the crashing request, one at a time. */
        std::optional<std::string> settle()
        {
            m_link.healAll();
            m_now += expiry;
            forgetOldCrashes();
            for (auto& server : m_servers)
                server.running.clear();
            constexpr int requestCount = 40;
            int crashes = 0;
            for (int n = 0; n < requestCount; ++n) {
                m_now += seconds(7);
                const auto before = m_crashes.size();
                send(n % instanceCount, n % serverCount, crashingFingerprint);
                crash();
                crashes += static_cast<int>(m_crashes.size() - before);
                for (std::size_t entry = 0; entry < instanceCount; ++entry)
                    sendRecords(entry);
                while (!m_link.empty())
                    deliver({ 0, 0, 0, 0 });
            }
            if (crashes > static_cast<int>(allowedCrashes) && !m_violation)
                m_violation = "more crashes than allowed among instances that hear each other";
            if (crashes == 0 && !m_violation)
                m_violation = "a request is refused after its records expired";
            return m_violation;
        }

    private:
        bool is(std::string_view mutant) const { return m_mutant == mutant; }

        void recordViolation(std::string violation)
        {
            if (!m_violation)
                m_violation = std::move(violation);
        }

        std::vector<std::uint64_t> fingerprintsOf(const Server& server, std::size_t entry) const
        {
            std::vector<std::uint64_t> fingerprints;
            for (const auto& running : server.running) {
                if (running.entry == entry)
                    fingerprints.push_back(running.fingerprint);
            }
            return fingerprints;
        }

        void send(std::size_t entry, std::size_t position, std::uint64_t fingerprint)
        {
            auto& server = m_servers[position];
            auto& instance = *m_instances[entry];
            const bool refused = instance.isQuarantined(fingerprint, is("records never expire") ? m_start : m_now) && !is("quarantine is not asked");
            if (refused && fingerprint != crashingFingerprint && m_reportCounts[fingerprint] < allowedCrashes)
                recordViolation("an innocent request was refused that was harmed by fewer than two deaths");
            if (refused || m_now < server.availableAt)
                return;
            const auto neighbours = fingerprintsOf(server, entry);
            if (!instance.mayRunAlongside(fingerprint, neighbours, m_now) && !is("suspects share a server"))
                return;
            checkIsolation(instance, fingerprint, neighbours);
            server.running.push_back({ entry, fingerprint });
        }

        // If two suspects of one instance shared a server, a crash could not be attributed to one of them.
        void checkIsolation(const Quarantine& instance, std::uint64_t fingerprint, const std::vector<std::uint64_t>& neighbours)
        {
            const auto isSuspect = [&](std::uint64_t it) { return instance.isSuspect(it, m_now); };
            if (isSuspect(fingerprint) && std::ranges::any_of(neighbours, isSuspect))
                recordViolation("two suspects run on one server");
        }

        void succeed(std::size_t position, const Step& step)
        {
            auto& running = m_servers[position].running;
            if (running.empty())
                return;
            const auto it = running.begin() + pick(step.c, running.size());
            if (it->fingerprint == crashingFingerprint)
                return;
            m_instances[it->entry]->onSuccess(it->fingerprint, m_now);
            running.erase(it);
        }

        void crash()
        {
            for (std::size_t n = 0; n < serverCount; ++n) {
                const auto& running = m_servers[n].running;
                if (!std::ranges::any_of(running, [](const Running& it) { return it.fingerprint == crashingFingerprint; }))
                    continue;
                m_crashes.push_back(m_now);
                crashServer(n);
                // Each instance refuses the request after the second crash that it saw itself,
                // which bounds the crashes even when the instances cannot communicate.
                forgetOldCrashes();
                if (m_crashes.size() > maxCrashes())
                    recordViolation("more crashes than allowed");
            }
        }

        std::size_t maxCrashes() const { return allowedCrashes * m_starts + m_concurrent; }

        void forgetOldCrashes()
        {
            std::erase_if(m_crashes, [&](Instant at) { return m_now - at >= expiry; });
            if (m_crashes.empty()) {
                m_starts = instanceCount;
                m_concurrent = 0;
            }
        }

        void crashServer(std::size_t position)
        {
            auto& server = m_servers[position];
            std::set<std::pair<std::size_t, std::uint64_t>> affected;
            std::set<std::size_t> entries;
            for (const auto& running : server.running) {
                affected.insert({ running.entry, running.fingerprint });
                entries.insert(running.entry);
            }
            for (const auto entry : entries) {
                if (!is("deaths are not recorded"))
                    m_instances[entry]->onBackendCrash(position, fingerprintsOf(server, entry), m_now);
                m_now += milliseconds(100);
            }
            // Two entries that ran the same request on the server report one crash twice, and a
            // report delayed for longer than the duplicateWindow of the quarantine cannot be distinguished from another crash.
            for (const auto& [entry, fingerprint] : affected)
                ++m_reportCounts[fingerprint];
            // Requests already in progress on other servers can no longer be refused.
            for (const auto& other : m_servers)
                m_concurrent += &other == &server ? 0U : static_cast<std::size_t>(std::ranges::count(other.running, crashingFingerprint, &Running::fingerprint));
            server.running.clear();
            server.availableAt = m_now + downTime;
        }

        void sendRecords(std::size_t from)
        {
            const auto records = m_instances[from]->takeRecordsForHeartbeat(m_now, 8);
            for (std::size_t to = 0; to < instanceCount; ++to) {
                if (to != from && !is("deaths are not spread"))
                    m_link.send(from, to, records);
            }
        }

        void deliver(const Step& step)
        {
            const auto item = m_link.take(step.b);
            if (!item)
                return;
            auto& instance = *m_instances[item->to];
            auto records = item->message;
            if (is("late records count as other deaths"))
                std::ranges::for_each(records, [](CrashRecord& record) { record.crashId = 0; });
            instance.merge(records, m_now);
        }

        void restart(std::size_t entry, const Step& step)
        {
            if (pick(step.c, 4) != 0)
                return;
            m_instances[entry] = std::make_unique<Quarantine>();
            ++m_starts;
            for (auto& server : m_servers)
                std::erase_if(server.running, [&](const Running& it) { return it.entry == entry; });
        }

        void wait(const Step& step)
        {
            m_now += milliseconds(pick(step.b, pick(step.c, 10) == 0 ? 400000 : 9000));
            for (auto& instance : m_instances)
                instance->expire(m_now);
        }

        static constexpr auto downTime = seconds(6);

        std::string m_mutant;
        const Instant m_start { seconds(10000) };
        Instant m_now = m_start;
        std::vector<std::unique_ptr<Quarantine>> m_instances;
        std::array<Server, serverCount> m_servers;
        FakeLink<std::vector<CrashRecord>> m_link;
        std::vector<Instant> m_crashes;
        std::map<std::uint64_t, std::uint32_t> m_reportCounts;
        /** Instance starts, and crashing requests in progress on other servers at a crash, since the last time without recent crashes. */
        std::size_t m_starts = instanceCount;
        std::size_t m_concurrent = 0;
        std::optional<std::string> m_violation;
    };

    class QuarantineCheck final : public Check {
    public:
        std::vector<std::string> mutants() const override
        {
            return { "quarantine is not asked", "suspects share a server", "deaths are not recorded", "deaths are not spread", "records never expire",
                "late records count as other deaths" };
        }

        std::optional<std::string> run(std::span<const Step> steps, std::string_view mutant) override
        {
            QuarantineSimulation simulation(mutant);
            for (const auto& step : steps) {
                if (auto violation = simulation.apply(step))
                    return violation;
            }
            return simulation.settle();
        }
    };

    const Registrar<Check, QuarantineCheck> registered { "quarantine" };

} // namespace
} // namespace yuccashift::fuzzing
