#include "fuzzing/support/check.hpp"
#include "fuzzing/support/fake_link.hpp"
#include "yuccashift/config/document_store.hpp"
#include "yuccashift/kernel/random.hpp"
#include "yuccashift/membership/coordinator.hpp"
#include "yuccashift/ports/instance_list.hpp"

#include <algorithm>
#include <array>
#include <map>
#include <memory>
#include <utility>

namespace yuccashift::fuzzing {
namespace {

    constexpr std::size_t instanceCount = 5;
    constexpr std::size_t firstOfSecondRegion = 3;
    constexpr std::size_t serviceCount = 2;
    constexpr std::size_t maxUnreadFrames = 60;
    constexpr auto tick = milliseconds(100);
    constexpr auto propagationLimit = seconds(3);
    constexpr auto timeToHeal = seconds(20);

    using Versions = std::map<ServiceName, DocumentVersion>;

    std::string textOf(const ServiceName& service, Revision revision, bool deleted, std::uint32_t variant)
    {
        const auto head = "service: " + service + "\nowner: o" + std::to_string(variant) + "\nrevision: " + std::to_string(revision) + "\n";
        if (deleted)
            return head + "deleted: true\n";
        return head + "kind: plain\npath_prefix: /" + service + "\nregions: [sofia, varna]\nroutes:\n  - {name: r, path: /r}\n"
            + "backends:\n  - {name: b, region: sofia, datacentre: d, address: \"127.0.0.1:9001\"}\n";
    }

    InstanceId nameOf(std::size_t n)
    {
        return "i" + std::to_string(n);
    }

    RegionName regionOf(std::size_t n)
    {
        return n < firstOfSecondRegion ? "sofia" : "varna";
    }

    struct Process {
        std::unique_ptr<DocumentStore> store;
        std::unique_ptr<Coordinator> coordinator;
        bool asleep = false;
        /** Frames that its sockets hold while it sleeps, with their senders. */
        std::vector<std::pair<std::size_t, wire::Frame>> unread;
        /** Highest document versions and incarnations that it has shown so far, for the oracle. */
        Versions shownVersions;
        std::map<InstanceId, Incarnation> shownIncarnations;
    };

    /** Instances of two regions, a document source that may be stale, and links that fail. */
    class DocumentsSimulation {
    public:
        explicit DocumentsSimulation(std::string_view mutant)
            : m_mutant(mutant)
        {
            for (std::size_t n = 0; n < serviceCount; ++n)
                publish(n, { 0, 0, 0, 0 });
            for (std::size_t n = 0; n < instanceCount; ++n)
                m_processes.push_back(start(n));
        }

        std::optional<std::string> apply(const Step& step)
        {
            enum class Action { Publish,
                Read,
                ReadStale,
                Sleep,
                Wake,
                Restart,
                Cut,
                CutRegions,
                Heal,
                Losses,
                Doubles,
                Count };
            constexpr std::uint32_t runs = 5;
            const auto n = pick(step.a, instanceCount);
            const auto service = pick(step.b, serviceCount);
            switch (static_cast<Action>(pick(step.action, static_cast<std::size_t>(Action::Count) + runs))) {
            case Action::Publish:
                publish(service, step);
                break;
            case Action::Read:
                read(n, service, m_texts[service].size() - 1);
                break;
            case Action::ReadStale:
                read(n, service, pick(step.c, m_texts[service].size()));
                break;
            case Action::Sleep:
                m_processes[n].asleep = true;
                break;
            case Action::Wake:
                wake(n);
                break;
            case Action::Restart:
                m_processes[n] = start(n);
                break;
            case Action::Cut:
                m_link.cut(n, pick(step.b, instanceCount));
                break;
            case Action::CutRegions:
                cutRegions();
                break;
            case Action::Heal:
                m_link.healAll();
                break;
            case Action::Losses:
                m_lossPercent = pick(step.b, 70);
                break;
            case Action::Doubles:
                m_duplicatePercent = pick(step.b, 50);
                break;
            default:
                runFor(tick * (1 + pick(step.c, 40)));
            }
            return m_violation;
        }

        /** Ends all faults and checks that the instances agree on the documents, apply changes in time and become ready after a restart only with the newest documents. */
        std::optional<std::string> settle()
        {
            m_link.healAll();
            m_lossPercent = 0;
            m_duplicatePercent = 0;
            for (std::size_t n = 0; n < instanceCount; ++n)
                wake(n);
            const auto newest = newestHeld();
            runFor(timeToHeal);
            // Frames in transit when the links are restored may carry newer documents.
            if (!allAtLeast(newest) || !allHold(newestHeld()))
                return m_violation ? m_violation : "instances do not agree after the faults";
            publish(0, { 0, 0, 0, 1 });
            read(m_random.uniformBelow(instanceCount), 0, m_texts[0].size() - 1);
            const auto changed = newestHeld();
            runFor(propagationLimit);
            if (!allHold(changed))
                return m_violation ? m_violation : "a change is not in force everywhere in time";
            restartAmongStaleSources(changed);
            return m_violation;
        }

    private:
        bool is(std::string_view mutant) const { return m_mutant == mutant; }

        void recordViolation(std::string violation)
        {
            if (!m_violation)
                m_violation = std::move(violation);
        }

        Process start(std::size_t n)
        {
            MemberInfo info;
            info.instance = nameOf(n);
            info.incarnation = ++m_lastIncarnation;
            info.region = regionOf(n);
            info.datacentre = "d";
            Process process;
            process.store = std::make_unique<DocumentStore>();
            process.coordinator = std::make_unique<Coordinator>(info, *process.store, CoordinatorHooks {}, std::make_unique<SeededRandom>(m_lastIncarnation));
            process.coordinator->onListing(listing(), m_now);
            return process;
        }

        static InstanceListing listing()
        {
            InstanceListing listing;
            for (std::size_t n = 0; n < instanceCount; ++n)
                listing.instances.push_back({ nameOf(n), regionOf(n), "d", {}, {}, false });
            return listing;
        }

        static ServiceName serviceName(std::size_t n) { return "s" + std::to_string(n); }

        // Usually publishes a new revision; sometimes a deletion, or a conflicting text under the last revision.
        void publish(std::size_t service, const Step& step)
        {
            const bool conflict = pick(step.c, 8) == 7;
            const bool deleted = pick(step.c, 5) == 4;
            auto& revision = m_lastRevision[service];
            revision += conflict ? 0 : 1;
            m_texts[service].push_back(textOf(serviceName(service), revision, deleted, conflict ? step.c : 0));
        }

        void read(std::size_t n, std::size_t service, std::size_t position)
        {
            auto& process = m_processes[n];
            if (process.asleep)
                return;
            OutgoingFrames out;
            const auto taken = process.coordinator->offer(m_texts[service][position], serviceName(service), m_now, out);
            if (!taken)
                recordViolation("a valid text was refused");
            send(n, out);
            if (is("the last text read wins") && taken)
                process.shownVersions[serviceName(service)] = std::max(process.shownVersions[serviceName(service)], process.store->revisions()[serviceName(service)]);
            observe(n, is("the last text read wins") && taken && taken->kind == AcceptanceKind::Older);
        }

        // The process may read late frames before its first tick detects the pause.
        void wake(std::size_t n)
        {
            auto& process = m_processes[n];
            process.asleep = false;
            for (auto& [from, frame] : std::exchange(process.unread, {}))
                deliver(from, n, std::move(frame));
        }

        void send(std::size_t n, const OutgoingFrames& frames)
        {
            for (const auto& frame : frames)
                m_link.send(n, positionOf(frame.to), frame.frame);
        }

        static std::size_t positionOf(const InstanceId& instance) { return static_cast<std::size_t>(instance.back() - '0'); }

        void cutRegions()
        {
            for (std::size_t left = 0; left < firstOfSecondRegion; ++left) {
                for (auto right = firstOfSecondRegion; right < instanceCount; ++right)
                    m_link.cut(left, right);
            }
        }

        void runFor(Duration duration)
        {
            for (auto until = m_now + duration; m_now < until;) {
                m_now += tick;
                for (std::size_t n = 0; n < instanceCount; ++n) {
                    if (!m_processes[n].asleep)
                        send(n, m_processes[n].coordinator->tick(m_now));
                }
                deliverAll();
                for (std::size_t n = 0; n < instanceCount; ++n)
                    observe(n, false);
            }
        }

        // Runs one network round: frames sent during it arrive in the next.
        void deliverAll()
        {
            for (auto left = m_link.size(); left > 0 && !m_link.empty(); --left) {
                if (m_random.uniformBelow(100) < m_duplicatePercent)
                    m_link.duplicate(static_cast<std::uint32_t>(m_random.next()));
                auto item = m_link.take(static_cast<std::uint32_t>(m_random.next()));
                if (m_random.uniformBelow(100) < m_lossPercent)
                    continue;
                // The socket of a sleeping process keeps the frames that arrive, and the process reads them when it wakes.
                auto& process = m_processes[item->to];
                if (!process.asleep)
                    deliver(item->from, item->to, std::move(item->message));
                else if (process.unread.size() < maxUnreadFrames)
                    process.unread.emplace_back(item->from, std::move(item->message));
            }
        }

        void deliver(std::size_t from, std::size_t to, wire::Frame frame)
        {
            auto& process = m_processes[to];
            if (is("documents are not pushed") && frame.__isset.documentPush)
                return;
            if (is("digests are not compared") && frame.__isset.heartbeat) {
                frame.heartbeat.revisionDigest = static_cast<std::int64_t>(process.store->digest());
                frame.heartbeat.revisions.clear();
            }
            if (is("deletions are not passed on"))
                std::erase_if(frame.documentPush.documents, [](const auto& it) { return it.text.find("deleted: true") != std::string::npos; });
            send(to, process.coordinator->receive(nameOf(from), frame, m_now));
            if (is("late heartbeats set the incarnation back") && frame.__isset.heartbeat)
                checkIncarnation(process, nameOf(from), static_cast<Incarnation>(frame.heartbeat.sender.incarnation));
        }

        /** Checks that no revision or incarnation that a process shows decreases. */
        void observe(std::size_t n, bool simulateRollback)
        {
            auto& process = m_processes[n];
            auto versions = process.store->revisions();
            if (simulateRollback)
                versions.clear();
            for (auto& [service, shownVersions] : process.shownVersions) {
                const auto it = versions.find(service);
                if (it == versions.end() || it->second < shownVersions)
                    recordViolation("a document went back to an older version");
            }
            process.shownVersions = std::move(versions);
            for (std::size_t other = 0; other < instanceCount; ++other) {
                const auto minter = process.coordinator->minterState(nameOf(other));
                checkIncarnation(process, nameOf(other), minter.latestIncarnation.value_or(0));
            }
        }

        void checkIncarnation(Process& process, const InstanceId& instance, Incarnation incarnation)
        {
            auto& highest = process.shownIncarnations[instance];
            if (incarnation < highest)
                recordViolation("an instance's incarnation went back");
            highest = std::max(highest, incarnation);
        }

        Versions newestHeld() const
        {
            Versions newest;
            for (const auto& process : m_processes) {
                for (const auto& [service, version] : process.store->revisions())
                    newest[service] = std::max(newest[service], version);
            }
            return newest;
        }

        bool allAtLeast(const Versions& versions) const
        {
            return std::ranges::all_of(m_processes, [&](const Process& process) {
                const auto held = process.store->revisions();
                return std::ranges::all_of(versions, [&](const auto& item) { return held.contains(item.first) && held.at(item.first) >= item.second; });
            });
        }

        bool allHold(const Versions& versions) const
        {
            return std::ranges::all_of(m_processes, [&](const Process& process) { return process.store->revisions() == versions; });
        }

        void restartAmongStaleSources(const Versions& newest)
        {
            constexpr std::size_t restarted = 1;
            m_processes[restarted] = start(restarted);
            read(restarted, 0, 0);
            const auto& process = m_processes[restarted];
            for (auto waited = Duration::zero(); waited < timeToHeal; waited += tick) {
                const bool ready = process.coordinator->ready() || is("a starting instance does not ask");
                if (ready && process.store->revisions() != newest)
                    recordViolation("an instance took work with older documents than its peers");
                if (ready)
                    return;
                runFor(tick);
            }
            recordViolation("a started instance does not become ready");
        }

        std::string m_mutant;
        Instant m_now { seconds(1000) };
        SeededRandom m_random { 7 };
        Incarnation m_lastIncarnation = 0;
        std::vector<Process> m_processes;
        std::array<std::vector<std::string>, serviceCount> m_texts;
        std::array<Revision, serviceCount> m_lastRevision {};
        FakeLink<wire::Frame> m_link;
        std::uint64_t m_lossPercent = 0;
        std::uint64_t m_duplicatePercent = 0;
        std::optional<std::string> m_violation;
    };

    class DocumentsCheck final : public Check {
    public:
        std::vector<std::string> mutants() const override
        {
            return { "the last text read wins", "documents are not pushed", "digests are not compared", "deletions are not passed on",
                "late heartbeats set the incarnation back", "a starting instance does not ask" };
        }

        std::optional<std::string> run(std::span<const Step> steps, std::string_view mutant) override
        {
            DocumentsSimulation simulation(mutant);
            for (const auto& step : steps) {
                if (auto violation = simulation.apply(step))
                    return violation;
            }
            return simulation.settle();
        }
    };

    const Registrar<Check, DocumentsCheck> registered { "documents" };

} // namespace
} // namespace yuccashift::fuzzing
