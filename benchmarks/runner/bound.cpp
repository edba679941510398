#include "benchmarks/runner/bound.hpp"

#include "benchmarks/runner/event_queue.hpp"

#include <algorithm>
#include <set>
#include <unordered_set>

namespace yuccashift::runner {
namespace {

    constexpr Duration drainTime = seconds(70);
    constexpr Duration regionOneWay = milliseconds(30);
    constexpr std::size_t anyRegion = ~std::size_t(0);

    Duration fromSeconds(double value)
    {
        return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(value));
    }

    /** All servers of one service in every region, scheduled with exact knowledge of their state and of request durations. */
    class Pool {
    public:
        Pool(EventQueue& events, const Scenario& scenario, bool plain, bool lateBinding, RunResult& result)
            : m_events(events)
            , m_spec(plain ? plainServerSpec() : modelServerSpec())
            , m_plain(plain)
            , m_lateBinding(lateBinding)
            , m_result(result)
        {
            for (const auto& size : scenario.regions)
                m_servers.emplace_back(plain ? size.plainServers : size.modelServers, Server {});
            m_queues.resize(scenario.regions.size());
        }

        void submit(const Arrival& arrival)
        {
            const bool homeRegionOnly = arrival.traits.allowedRegions.size() == 1;
            const std::size_t queue = homeRegionOnly || m_lateBinding ? arrival.region : anyRegion;
            enqueue(queue, arrival);
            if (m_lateBinding && !homeRegionOnly) {
                const auto leave = arrival.traits.deadline - serviceTime(arrival) - regionOneWay * 2;
                m_events.at(leave, [this, &arrival] { release(arrival); });
            }
            serve();
        }

        void apply(const Fault& fault)
        {
            const bool wholeRegion = fault.kind == FaultKind::LoseRegion || fault.kind == FaultKind::HealRegion;
            if (!wholeRegion && fault.plain != m_plain)
                return;
            auto& servers = m_servers[fault.region];
            for (std::size_t n = 0; n < servers.size(); ++n) {
                if (wholeRegion || n == fault.server)
                    change(servers[n], fault);
            }
            serve();
        }

    private:
        using Key = std::tuple<Priority, Instant, const Arrival*>;

        struct Server {
            bool up = true;
            bool leaving = false;
            std::uint32_t running = 0;
            /** Incremented when the server crashes, so that completions scheduled before the crash are ignored. */
            std::uint64_t epoch = 0;
            std::vector<const Arrival*> work;
        };

        struct ServerLocation {
            std::size_t region = 0;
            std::size_t server = 0;
        };

        std::set<Key>& queueOf(std::size_t queue) { return queue == anyRegion ? m_any : m_queues[queue]; }

        void enqueue(std::size_t queue, const Arrival& arrival)
        {
            queueOf(queue).insert({ arrival.traits.priority, arrival.traits.deadline, &arrival });
        }

        void release(const Arrival& arrival)
        {
            const Key key { arrival.traits.priority, arrival.traits.deadline, &arrival };
            if (m_queues[arrival.region].erase(key) == 0)
                return;
            m_any.insert(key);
            serve();
        }

        void change(Server& server, const Fault& fault)
        {
            if (fault.kind == FaultKind::Leave)
                server.leaving = true;
            if (fault.kind == FaultKind::Revive || fault.kind == FaultKind::HealRegion)
                server.up = true;
            if (fault.kind != FaultKind::Kill && fault.kind != FaultKind::LoseRegion)
                return;
            server.up = false;
            ++server.epoch;
            server.running = 0;
            // A policy that foresees the crash would not have started these requests, so they are queued again and do not count as failed.
            for (const auto* arrival : std::exchange(server.work, {}))
                enqueue(arrival->traits.allowedRegions.size() == 1 ? arrival->region : anyRegion, *arrival);
        }

        Duration serviceTime(const Arrival& arrival) const
        {
            if (arrival.traits.promptTokens == 0)
                return arrival.service;
            return fromSeconds(arrival.tokens / m_spec.decodeTokensPerSecond);
        }

        /** Returns the least loaded server of the region with a free slot, std::nullopt if none has one. */
        std::optional<std::size_t> freeServer(std::size_t region) const
        {
            std::optional<std::size_t> best;
            for (std::size_t n = 0; n < m_servers[region].size(); ++n) {
                const auto& server = m_servers[region][n];
                if (!server.up || server.leaving || server.running >= m_spec.slots)
                    continue;
                if (!best || load(server) < load(m_servers[region][*best]))
                    best = n;
            }
            return best;
        }

        double load(const Server& server) const { return 1 + m_spec.batchPenalty * server.running / m_spec.slots; }

        std::optional<ServerLocation> findFreeServer(std::size_t queue, const Arrival& arrival) const
        {
            // The home region comes first, so that the late-binding run sends as few requests as possible to other regions.
            if (const auto server = freeServer(arrival.region))
                return ServerLocation { arrival.region, *server };
            for (std::size_t region = 0; queue == anyRegion && region < m_servers.size(); ++region) {
                if (const auto server = freeServer(region))
                    return ServerLocation { region, *server };
            }
            return std::nullopt;
        }

        void serve()
        {
            serveQueue(anyRegion);
            for (std::size_t region = 0; region < m_queues.size(); ++region)
                serveQueue(region);
        }

        void serveQueue(std::size_t queue)
        {
            auto& waiting = queueOf(queue);
            while (!waiting.empty()) {
                const Arrival& arrival = *std::get<const Arrival*>(*waiting.begin());
                if (m_events.now() + serviceTime(arrival) > arrival.traits.deadline) {
                    waiting.erase(waiting.begin());
                    m_result.count(arrival, Ending::Refused, 0);
                    continue;
                }
                const auto location = findFreeServer(queue, arrival);
                if (!location)
                    return;
                waiting.erase(waiting.begin());
                start(arrival, *location);
            }
        }

        void start(const Arrival& arrival, const ServerLocation& location)
        {
            auto& server = m_servers[location.region][location.server];
            ++server.running;
            server.work.push_back(&arrival);
            m_result.sentAway += location.region == arrival.region ? 0 : 1;
            ++m_result.attempts;
            ++m_result.sends;
            const auto time = std::chrono::duration_cast<Duration>(serviceTime(arrival) * (m_plain ? 1.0 : load(server)));
            m_events.after(time + prefillTime(arrival), [this, &arrival, location, epoch = server.epoch] {
                auto& from = m_servers[location.region][location.server];
                if (from.epoch != epoch)
                    return;
                --from.running;
                std::erase(from.work, &arrival);
                const double latency = std::chrono::duration<double>(m_events.now() - arrival.at).count();
                const bool late = m_events.now() > arrival.traits.deadline;
                m_result.count(arrival, late ? Ending::Late : Ending::Answered, latency);
                serve();
            });
        }

        Duration prefillTime(const Arrival& arrival)
        {
            if (arrival.traits.promptTokens == 0)
                return {};
            std::uint32_t uncached = arrival.traits.promptTokens;
            for (const auto block : arrival.traits.prefixBlocks)
                uncached -= m_cache.insert(block).second ? 0 : m_spec.blockTokens;
            m_result.promptTokens += arrival.traits.promptTokens;
            m_result.cachedTokens += arrival.traits.promptTokens - uncached;
            const double prefill = uncached / m_spec.prefillTokensPerSecond;
            m_result.acceleratorSeconds += prefill + arrival.tokens / m_spec.decodeTokensPerSecond / m_spec.slots;
            return fromSeconds(prefill);
        }

        EventQueue& m_events;
        ServerSpec m_spec;
        bool m_plain;
        bool m_lateBinding;
        RunResult& m_result;
        std::vector<std::vector<Server>> m_servers;
        std::vector<std::set<Key>> m_queues;
        std::set<Key> m_any;
        std::unordered_set<std::uint64_t> m_cache;
    };

    /** Simulates only the requests whose priority is at least `lowest`. */
    RunResult runPools(const Scenario& scenario, std::uint64_t seed, Priority lowest, bool lateBinding)
    {
        EventQueue events;
        RunResult result;
        const auto start = events.now();
        const auto arrivals = makeArrivals(scenario.workload, start, seed);
        Pool plain(events, scenario, true, lateBinding, result);
        Pool model(events, scenario, false, lateBinding, result);
        for (const auto& fault : scenario.faults) {
            events.at(start + fromSeconds(fault.at), [&] {
                plain.apply(fault);
                model.apply(fault);
            });
        }
        for (const auto& arrival : arrivals) {
            if (arrival.traits.priority <= lowest && !arrival.poison)
                events.at(arrival.at, [&] { (arrival.traits.promptTokens == 0 ? plain : model).submit(arrival); });
        }
        events.runUntil(start + scenario.workload.length + drainTime);
        result.length = std::chrono::duration<double>(scenario.workload.length).count();
        return result;
    }

} // namespace

RunResult runBound(const Scenario& scenario, std::uint64_t seed)
{
    auto result = runPools(scenario, seed, Priority::Batch, false);
    result.sentAway = runPools(scenario, seed, Priority::Batch, true).sentAway;
    for (const auto priority : { Priority::Urgent, Priority::Normal }) {
        const auto alone = runPools(scenario, seed, priority, false);
        for (std::size_t n = 0; n < classCount; ++n) {
            if (classSpecs()[n].priority == priority)
                result.classes[n] = alone.classes[n];
        }
        if (priority == Priority::Urgent)
            result.quietUrgent = alone.quietUrgent;
    }
    return result;
}

} // namespace yuccashift::runner
