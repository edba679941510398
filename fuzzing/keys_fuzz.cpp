#include "fuzzing/support/check.hpp"
#include "fuzzing/support/fake_link.hpp"
#include "yuccashift/answers/stream_deduplicator.hpp"
#include "yuccashift/kernel/random.hpp"
#include "yuccashift/keys/key_table.hpp"

#include <map>
#include <memory>

namespace yuccashift::fuzzing {
namespace {

    constexpr std::size_t instanceCount = 3;
    constexpr auto keyLifetime = seconds(10);
    constexpr std::size_t tableSize = 2;
    constexpr std::size_t recentKeys = 5;
    constexpr std::size_t maxReplacedProcesses = 2;

    enum class Mutant {
        None,
        FullTableForgets,
        RestartKeepsIncarnation,
        LostAnswerIsNotRun,
        AnyoneRuns,
        UnreachableIsNotRun,
        DuplicateRuns,
        OldKeysRun,
        RunningIsNotRun,
        DuplicateForwardsStart,
    };

    constexpr std::pair<std::string_view, Mutant> mutantNames[] = {
        { "a full table forgets", Mutant::FullTableForgets },
        { "a restart keeps its incarnation", Mutant::RestartKeepsIncarnation },
        { "a lost answer counts as not run", Mutant::LostAnswerIsNotRun },
        { "whoever hears a key runs it", Mutant::AnyoneRuns },
        { "an unreachable minter means not run", Mutant::UnreachableIsNotRun },
        { "a doubled request runs again", Mutant::DuplicateRuns },
        { "keys run after their lifetime", Mutant::OldKeysRun },
        { "a running request is said not to run", Mutant::RunningIsNotRun },
        { "a doubled forward starts work again", Mutant::DuplicateForwardsStart },
    };

    Mutant mutantNamed(std::string_view name)
    {
        for (const auto& [text, mutant] : mutantNames) {
            if (text == name)
                return mutant;
        }
        return Mutant::None;
    }

    /** One request as a caller sent it; sending it again makes another one with the same key. */
    struct SentRequest {
        std::size_t id = 0;
        MintedKey key;
        std::uint64_t fingerprint = 0;
    };

    /** A request in transit from an entry instance to the minter of its key. */
    struct Forwarded {
        std::int64_t stream = 0;
        SentRequest request;
    };

    /** An execution that the owner of the key has permitted. */
    struct Run {
        SentRequest request;
        KeyTicket ticket;
        bool sent = false;
    };

    /** A process of an instance, with its key table and the runs in progress. */
    struct Process {
        KeyOwner owner;
        std::unique_ptr<KeyTable> table;
        std::vector<Run> runs;
        std::map<InstanceId, Incarnation> knownIncarnations;
        /** By the position of the entry instance that forwards. */
        std::map<std::size_t, StreamDeduplicator> receivedStreams;
    };

    /** Callers, instances that restart, pause and lose contact, and a server that counts its executions. */
    class KeysSimulation {
    public:
        explicit KeysSimulation(Mutant mutant)
            : m_mutant(mutant)
        {
            for (std::size_t n = 0; n < instanceCount; ++n)
                m_processes.push_back(start(n));
        }

        std::optional<std::string> apply(const Step& step)
        {
            enum class Action { SendFirst,
                SendAgain,
                SendOther,
                DeliverForward,
                LoseForward,
                DoubleForward,
                StartRun,
                Answer,
                LoseAnswer,
                RefuseRun,
                DropAnswer,
                Restart,
                Replace,
                Cut,
                Heal,
                Gossip,
                Wait,
                Expire,
                Count };
            const auto n = pick(step.a, instanceCount);
            switch (static_cast<Action>(pick(step.action, static_cast<std::size_t>(Action::Count)))) {
            case Action::SendFirst:
                mint(n);
                send(pick(step.b, instanceCount), m_keys.back(), 1);
                break;
            case Action::SendAgain:
                resend(step, 1);
                break;
            case Action::SendOther:
                resend(step, 2);
                break;
            case Action::DeliverForward:
                deliver(step);
                break;
            case Action::LoseForward:
                m_link.lose(step.b);
                break;
            case Action::DoubleForward:
                m_link.duplicate(step.b);
                break;
            case Action::StartRun:
                startRun(n, step);
                break;
            case Action::Answer:
                endRun(n, step, [](KeyTable& table, const Run& run) { table.finish(run.ticket, { 200, {}, "answer" }); });
                break;
            case Action::LoseAnswer:
                endRun(n, step, [this](KeyTable& table, const Run& run) { loseAnswer(table, run); });
                break;
            case Action::RefuseRun:
                refuseRun(n, step);
                break;
            case Action::DropAnswer:
                endRun(n, step, [](KeyTable& table, const Run& run) { table.finishWithoutAnswer(run.ticket); });
                break;
            case Action::Restart:
                m_processes[n] = start(n);
                break;
            case Action::Replace:
                replace(n);
                break;
            case Action::Cut:
                m_link.cut(n, pick(step.b, instanceCount));
                break;
            case Action::Heal:
                m_link.healAll();
                break;
            case Action::Gossip:
                m_processes[n].knownIncarnations[name(pick(step.b, instanceCount))] = m_processes[pick(step.b, instanceCount)].owner.incarnation;
                break;
            case Action::Wait:
                m_now += milliseconds(pick(step.b, 8000));
                break;
            default:
                // The clock of the expiry sweep may be ahead of the time that a request was given.
                m_processes[n].table->expire(m_now + milliseconds(pick(step.b, 3000)));
            }
            return m_violation;
        }

    private:
        static InstanceId name(std::size_t n) { return "i" + std::to_string(n); }

        Process start(std::size_t n)
        {
            const bool same = m_mutant == Mutant::RestartKeepsIncarnation && m_processes.size() > n;
            const auto startedAt = same ? m_processes[n].owner.startedAt : m_now;
            const auto incarnation = same ? m_processes[n].owner.incarnation : ++m_lastIncarnation;
            const KeyOwner owner { name(n), incarnation, startedAt, keyLifetime };
            return { owner, std::make_unique<KeyTable>(owner, KeyTableLimits { tableSize, 64, 64 }), {}, {}, {} };
        }

        // The old process sleeps, and may wake while its replacement runs.
        void replace(std::size_t n)
        {
            if (m_processes.size() >= instanceCount + maxReplacedProcesses)
                return;
            m_processes.push_back(std::move(m_processes[n]));
            m_processes[n] = start(n);
        }

        void mint(std::size_t n)
        {
            const auto& owner = m_processes[n].owner;
            m_keys.push_back(KeyMinter(owner.instance, owner.incarnation, owner.startedAt, "secret").mint("o", m_now, m_random));
        }

        void resend(const Step& step, std::uint64_t fingerprint)
        {
            const auto recent = std::min(recentKeys, m_keys.size());
            if (recent > 0)
                send(pick(step.a, m_processes.size()), m_keys[m_keys.size() - 1 - pick(step.b, recent)], fingerprint);
        }

        void send(std::size_t entry, const MintedKey& key, std::uint64_t fingerprint)
        {
            const SentRequest request { m_answers.size(), key, fingerprint };
            m_answers.emplace_back();
            handle(entry, request, false);
        }

        std::size_t positionOf(const InstanceId& instance) const
        {
            for (std::size_t n = 0; n < instanceCount; ++n) {
                if (name(n) == instance)
                    return n;
            }
            return 0;
        }

        MinterState minterStateOf(const Process& process, std::size_t entry, const InstanceId& minter) const
        {
            MinterState minterState;
            const auto it = process.knownIncarnations.find(minter);
            if (it != process.knownIncarnations.end())
                minterState.latestIncarnation = it->second;
            minterState.reachable = !m_link.isCut(entry, positionOf(minter));
            return minterState;
        }

        void handle(std::size_t entry, const SentRequest& request, bool forwarded)
        {
            auto& process = m_processes[entry];
            auto route = routeKey(request.key, process.owner, minterStateOf(process, entry, request.key.instance), forwarded, m_now);
            if (m_mutant == Mutant::AnyoneRuns && route.action == KeyAction::Refuse && route.error->kind == ErrorKind::KeyOwnerUnreachable) {
                process.runs.push_back({ request, {}, false });
                return;
            }
            if (m_mutant == Mutant::UnreachableIsNotRun && route.error && route.error->kind == ErrorKind::KeyOwnerUnreachable)
                route.error->runState = RunState::NotRun;
            if (m_mutant == Mutant::OldKeysRun && route.error && route.error->kind == ErrorKind::KeyExpired && request.key.incarnation == process.owner.incarnation)
                route.action = KeyAction::RunHere;
            if (route.action == KeyAction::Forward)
                m_link.send(entry, positionOf(route.instance), { ++m_lastStream, request });
            else if (route.action == KeyAction::RunHere)
                begin(process, request);
            else
                refuse(request, *route.error);
        }

        void begin(Process& process, const SentRequest& request)
        {
            auto decision = process.table->begin(request.key, request.fingerprint, m_now);
            const auto kind = decision.error ? decision.error->kind : ErrorKind::Internal;
            if (m_mutant == Mutant::FullTableForgets && kind == ErrorKind::KeyTableFull) {
                process.table = std::make_unique<KeyTable>(process.owner, KeyTableLimits { tableSize, 64, 64 });
                decision = process.table->begin(request.key, request.fingerprint, m_now);
            }
            const bool runsAnyway = (m_mutant == Mutant::DuplicateRuns && kind == ErrorKind::InProgress)
                || (m_mutant == Mutant::OldKeysRun && kind == ErrorKind::KeyExpired && decision.error->runState == RunState::OutcomeUnknown);
            if (m_mutant == Mutant::RunningIsNotRun && kind == ErrorKind::InProgress)
                decision.error->runState = RunState::NotRun;
            if (decision.verdict == KeyVerdict::Run || runsAnyway)
                process.runs.push_back({ request, decision.ticket, false });
            else if (decision.verdict == KeyVerdict::Refuse)
                refuse(request, *decision.error);
        }

        void refuse(const SentRequest& request, const Error& error)
        {
            if (error.effectiveRunState() != RunState::NotRun)
                return;
            if (m_executions[{ request.key.nonce, request.fingerprint }] > 0)
                m_violation = "a request that ran was refused with not run";
            m_answers[request.id].reportedNotRun = true;
        }

        void deliver(const Step& step)
        {
            const auto item = m_link.take(step.b);
            if (!item)
                return;
            const bool isNew = m_processes[item->to].receivedStreams[item->from].accept(item->message.stream);
            if (isNew || m_mutant == Mutant::DuplicateForwardsStart)
                handle(item->to, item->message.request, true);
        }

        // Returns the first process from n on that has a run in progress, or process n if none has.
        Process& busyProcess(std::size_t n)
        {
            for (std::size_t tried = 0; tried < m_processes.size(); ++tried) {
                auto& process = m_processes[(n + tried) % m_processes.size()];
                if (!process.runs.empty())
                    return process;
            }
            return m_processes[n];
        }

        void startRun(std::size_t n, const Step& step)
        {
            auto& runs = busyProcess(n).runs;
            if (runs.empty())
                return;
            auto& run = runs[pick(step.b, runs.size())];
            if (run.sent)
                return;
            run.sent = true;
            ++m_executions[{ run.request.key.nonce, run.request.fingerprint }];
            if (++m_executionsOfKey[run.request.key.nonce] > 1)
                m_violation = "a key ran twice";
            if (m_answers[run.request.id].reportedNotRun)
                m_violation = "a sending ran after it was refused with not run";
        }

        template <typename Ending>
        void endRun(std::size_t n, const Step& step, Ending ending)
        {
            auto& process = busyProcess(n);
            if (process.runs.empty())
                return;
            const auto it = process.runs.begin() + pick(step.b, process.runs.size());
            if (!it->sent)
                return;
            ending(*process.table, *it);
            process.runs.erase(it);
        }

        void loseAnswer(KeyTable& table, const Run& run)
        {
            if (m_mutant == Mutant::LostAnswerIsNotRun)
                table.releaseNotRun(run.ticket);
            else
                table.finishUnknown(run.ticket);
        }

        // The server refused the request before it executed anything.
        void refuseRun(std::size_t n, const Step& step)
        {
            auto& process = busyProcess(n);
            if (process.runs.empty())
                return;
            const auto it = process.runs.begin() + pick(step.b, process.runs.size());
            if (it->sent)
                return;
            process.table->releaseNotRun(it->ticket);
            refuse(it->request, Error { ErrorKind::BackendRefused, {}, {}, {} });
            process.runs.erase(it);
        }

        struct Answer {
            bool reportedNotRun = false;
        };

        Mutant m_mutant;
        Instant m_now { seconds(1000) };
        SeededRandom m_random { 1 };
        Incarnation m_lastIncarnation = 0;
        /** The current process of each instance, followed by the replaced ones that may still wake. */
        std::vector<Process> m_processes;
        std::vector<MintedKey> m_keys;
        std::vector<Answer> m_answers;
        FakeLink<Forwarded> m_link;
        std::int64_t m_lastStream = 0;
        std::map<std::pair<std::uint64_t, std::uint64_t>, int> m_executions;
        std::map<std::uint64_t, int> m_executionsOfKey;
        std::optional<std::string> m_violation;
    };

    class KeysCheck final : public Check {
    public:
        std::vector<std::string> mutants() const override
        {
            std::vector<std::string> names;
            for (const auto& [name, mutant] : mutantNames)
                names.emplace_back(name);
            return names;
        }

        std::optional<std::string> run(std::span<const Step> steps, std::string_view mutant) override
        {
            KeysSimulation simulation(mutantNamed(mutant));
            for (const auto& step : steps) {
                if (auto violation = simulation.apply(step))
                    return violation;
            }
            return std::nullopt;
        }
    };

    const Registrar<Check, KeysCheck> registered { "keys" };

} // namespace
} // namespace yuccashift::fuzzing
