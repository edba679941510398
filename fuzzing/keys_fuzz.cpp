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
    constexpr std::size_t mostZombies = 2;

    enum class Mutant {
        None,
        FullTableForgets,
        RestartKeepsIncarnation,
        LostAnswerIsNotRun,
        AnyoneRuns,
        UnreachableIsNotRun,
        DoubledRuns,
        OldKeysRun,
        RunningIsNotRun,
        DoubledForwardsStart,
    };

    constexpr std::pair<std::string_view, Mutant> mutantNames[] = {
        { "a full table forgets", Mutant::FullTableForgets },
        { "a restart keeps its incarnation", Mutant::RestartKeepsIncarnation },
        { "a lost answer counts as not run", Mutant::LostAnswerIsNotRun },
        { "whoever hears a key runs it", Mutant::AnyoneRuns },
        { "an unreachable minter means not run", Mutant::UnreachableIsNotRun },
        { "a doubled request runs again", Mutant::DoubledRuns },
        { "keys run after their lifetime", Mutant::OldKeysRun },
        { "a running request is said not to run", Mutant::RunningIsNotRun },
        { "a doubled forward starts work again", Mutant::DoubledForwardsStart },
    };

    Mutant mutantNamed(std::string_view name)
    {
        for (const auto& [text, mutant] : mutantNames) {
            if (text == name)
                return mutant;
        }
        return Mutant::None;
    }

    /** What a caller sent once; a resending is another one with the same key. */
    struct Sending {
        std::size_t id = 0;
        MintedKey key;
        std::uint64_t fingerprint = 0;
    };

    /** A sending on its way from an entry to the minter of its key. */
    struct Forwarded {
        std::int64_t stream = 0;
        Sending sending;
    };

    /** A run that an owner has permission for. */
    struct Run {
        Sending sending;
        KeyTicket ticket;
        bool sent = false;
    };

    /** One process. */
    struct Process {
        KeyOwner owner;
        std::unique_ptr<KeyTable> table;
        std::vector<Run> runs;
        std::map<InstanceId, Incarnation> heard;
        /** By the entry that forwards. */
        std::map<std::size_t, StreamDeduplicator> intakes;
    };

    /** Callers, instances that restart, pause and lose each other, and a server that counts its runs. */
    class KeysWorld {
    public:
        explicit KeysWorld(Mutant mutant)
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
                sendKnown(step, 1);
                break;
            case Action::SendOther:
                sendKnown(step, 2);
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
                m_processes[n].heard[name(pick(step.b, instanceCount))] = m_processes[pick(step.b, instanceCount)].owner.incarnation;
                break;
            case Action::Wait:
                m_now += milliseconds(pick(step.b, 8000));
                break;
            default:
                // The sweep's clock may be ahead of the one that a request was given.
                m_processes[n].table->expire(m_now + milliseconds(pick(step.b, 3000)));
            }
            return m_broken;
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

        // The old process sleeps and wakes beside the one that took its place.
        void replace(std::size_t n)
        {
            if (m_processes.size() >= instanceCount + mostZombies)
                return;
            m_processes.push_back(std::move(m_processes[n]));
            m_processes[n] = start(n);
        }

        void mint(std::size_t n)
        {
            const auto& owner = m_processes[n].owner;
            m_keys.push_back(KeyMinter(owner.instance, owner.incarnation, owner.startedAt, "secret").mint("o", m_now, m_random));
        }

        void sendKnown(const Step& step, std::uint64_t fingerprint)
        {
            const auto recent = std::min(recentKeys, m_keys.size());
            if (recent > 0)
                send(pick(step.a, m_processes.size()), m_keys[m_keys.size() - 1 - pick(step.b, recent)], fingerprint);
        }

        void send(std::size_t entry, const MintedKey& key, std::uint64_t fingerprint)
        {
            const Sending sending { m_answers.size(), key, fingerprint };
            m_answers.emplace_back();
            handle(entry, sending, false);
        }

        std::size_t positionOf(const InstanceId& instance) const
        {
            for (std::size_t n = 0; n < instanceCount; ++n) {
                if (name(n) == instance)
                    return n;
            }
            return 0;
        }

        MinterState beliefOf(const Process& process, std::size_t entry, const InstanceId& minter) const
        {
            MinterState belief;
            const auto it = process.heard.find(minter);
            if (it != process.heard.end())
                belief.latestIncarnation = it->second;
            belief.reachable = !m_link.isCut(entry, positionOf(minter));
            return belief;
        }

        void handle(std::size_t entry, const Sending& sending, bool forwarded)
        {
            auto& process = m_processes[entry];
            auto route = routeKey(sending.key, process.owner, beliefOf(process, entry, sending.key.instance), forwarded, m_now);
            if (m_mutant == Mutant::AnyoneRuns && route.action == KeyAction::Refuse && route.error->kind == ErrorKind::KeyOwnerUnreachable) {
                process.runs.push_back({ sending, {}, false });
                return;
            }
            if (m_mutant == Mutant::UnreachableIsNotRun && route.error && route.error->kind == ErrorKind::KeyOwnerUnreachable)
                route.error->runState = RunState::NotRun;
            if (m_mutant == Mutant::OldKeysRun && route.error && route.error->kind == ErrorKind::KeyExpired && sending.key.incarnation == process.owner.incarnation)
                route.action = KeyAction::RunHere;
            if (route.action == KeyAction::Forward)
                m_link.send(entry, positionOf(route.instance), { ++m_lastStream, sending });
            else if (route.action == KeyAction::RunHere)
                begin(process, sending);
            else
                refuse(sending, *route.error);
        }

        void begin(Process& process, const Sending& sending)
        {
            auto decision = process.table->begin(sending.key, sending.fingerprint, m_now);
            const auto kind = decision.error ? decision.error->kind : ErrorKind::Internal;
            if (m_mutant == Mutant::FullTableForgets && kind == ErrorKind::KeyTableFull) {
                process.table = std::make_unique<KeyTable>(process.owner, KeyTableLimits { tableSize, 64, 64 });
                decision = process.table->begin(sending.key, sending.fingerprint, m_now);
            }
            const bool runsAnyway = (m_mutant == Mutant::DoubledRuns && kind == ErrorKind::InProgress)
                || (m_mutant == Mutant::OldKeysRun && kind == ErrorKind::KeyExpired && decision.error->runState == RunState::OutcomeUnknown);
            if (m_mutant == Mutant::RunningIsNotRun && kind == ErrorKind::InProgress)
                decision.error->runState = RunState::NotRun;
            if (decision.verdict == KeyVerdict::Run || runsAnyway)
                process.runs.push_back({ sending, decision.ticket, false });
            else if (decision.verdict == KeyVerdict::Refuse)
                refuse(sending, *decision.error);
        }

        void refuse(const Sending& sending, const Error& error)
        {
            if (error.effectiveRunState() != RunState::NotRun)
                return;
            if (m_ran[{ sending.key.nonce, sending.fingerprint }] > 0)
                m_broken = "a request that ran was refused with not run";
            m_answers[sending.id].saidNotRun = true;
        }

        void deliver(const Step& step)
        {
            const auto item = m_link.take(step.b);
            if (!item)
                return;
            const bool isNew = m_processes[item->to].intakes[item->from].accept(item->message.stream);
            if (isNew || m_mutant == Mutant::DoubledForwardsStart)
                handle(item->to, item->message.sending, true);
        }

        // The next process from n on that has a run in progress.
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
            ++m_ran[{ run.sending.key.nonce, run.sending.fingerprint }];
            if (++m_runsOfKey[run.sending.key.nonce] > 1)
                m_broken = "a key ran twice";
            if (m_answers[run.sending.id].saidNotRun)
                m_broken = "a sending ran after it was refused with not run";
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

        // The server's refusal came before anything ran there.
        void refuseRun(std::size_t n, const Step& step)
        {
            auto& process = busyProcess(n);
            if (process.runs.empty())
                return;
            const auto it = process.runs.begin() + pick(step.b, process.runs.size());
            if (it->sent)
                return;
            process.table->releaseNotRun(it->ticket);
            refuse(it->sending, Error { ErrorKind::BackendRefused, {}, {}, {} });
            process.runs.erase(it);
        }

        struct Answer {
            bool saidNotRun = false;
        };

        Mutant m_mutant;
        Instant m_now { seconds(1000) };
        SeededRandom m_random { 1 };
        Incarnation m_lastIncarnation = 0;
        /** Present processes by instance, then those that were replaced while asleep. */
        std::vector<Process> m_processes;
        std::vector<MintedKey> m_keys;
        std::vector<Answer> m_answers;
        FakeLink<Forwarded> m_link;
        std::int64_t m_lastStream = 0;
        std::map<std::pair<std::uint64_t, std::uint64_t>, int> m_ran;
        std::map<std::uint64_t, int> m_runsOfKey;
        std::optional<std::string> m_broken;
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
            KeysWorld world(mutantNamed(mutant));
            for (const auto& step : steps) {
                if (auto broken = world.apply(step))
                    return broken;
            }
            return std::nullopt;
        }
    };

    const Registrar<Check, KeysCheck> registered { "keys" };

} // namespace
} // namespace yuccashift::fuzzing
