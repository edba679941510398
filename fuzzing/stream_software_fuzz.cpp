#include "fuzzing/support/check.hpp"
#include "tests/support/fakes/fleet_items.hpp"
#include "yuccashift/entry/resumed_stream.hpp"
#include "yuccashift/kernel/log.hpp"

#include <algorithm>
#include <array>
#include <deque>
#include <memory>

namespace yuccashift::fuzzing {
namespace {

    constexpr std::size_t instanceCount = 3;
    constexpr std::size_t versionCount = 3;
    constexpr std::array<const char*, 2> services { "draft", "chat" };
    constexpr std::array<const char*, 2> targets { "/s/x", "/s/long/x" };
    /** How long the callers of a path wait for their streams, over all their tries. */
    constexpr std::array<Duration, 2> callerDeadlines { seconds(12), seconds(4) };
    constexpr std::array<int, 4> limitsInSeconds { 1, 3, 6, 12 };
    /** A fleet that hears its store and one another, and in which nothing changes for so long, knows what began its streams. */
    constexpr Duration undisturbed = seconds(90);

    /** Decodes configurations by their number. */
    class NumberedConfigs final : public ItemDecoder {
    public:
        DecodedItem decode(std::string_view key, std::string_view value) const override
        {
            if (key == "config")
                return configs.at(std::stoul(std::string(value)));
            return m_words.decode(key, value);
        }

        std::vector<RouteConfig> configs { RouteConfig {} };

    private:
        test::WordItems m_words;
    };

    struct Stream {
        std::size_t path = 0;
        SoftwareId software = 0;
        Instant endsAt {};
    };

    /** Instances that restart and learn late of releases, time limits and routes, and streams that callers resume without a record. */
    class ResumedStreamsSimulation {
    public:
        explicit ResumedStreamsSimulation(std::string_view mutant)
            : m_mutant(mutant)
        {
            setServer(0, 0, true);
            setServer(1, 0, true);
            m_configs.configs.push_back(configWith(1, 0, 3, {}));
            write("config", "1");
            for (auto& it : m_instances) {
                it = std::make_unique<FleetState>(m_clock, m_configs);
                it->onFirstStart();
            }
            for (std::size_t n = 0; n < instanceCount; ++n)
                follow(n, m_changes.size());
        }

        std::optional<std::string> apply(const Step& step)
        {
            enum class Action { Config,
                Release,
                Kill,
                Follow,
                FollowNewest,
                Begin,
                Time,
                LongTime,
                Count };
            const auto at = pick(step.a, instanceCount);
            switch (static_cast<Action>(pick(step.action, static_cast<std::size_t>(Action::Count)))) {
            case Action::Config:
                changeConfig(step);
                break;
            case Action::Release:
                setServer(pick(step.a, services.size()), pick(step.b, versionCount), step.c % 2 == 0);
                break;
            case Action::Kill:
                kill(at);
                break;
            case Action::Follow:
                follow(at, m_read[at] + pick(step.b, 4));
                break;
            case Action::FollowNewest:
                followNewest(at);
                break;
            case Action::Begin:
                begin(at, pick(step.b, targets.size()), step.c);
                break;
            case Action::Time:
                pass(milliseconds(pick(step.b, 2000)));
                break;
            default:
                // Everything is quiet now and then, so that streams may go on again.
                for (std::size_t n = 0; n < instanceCount && step.c % 8 == 0; ++n)
                    followNewest(n);
                pass(step.c % 8 == 0 ? undisturbed : Duration(seconds(pick(step.b, 20))));
            }
            // What one instance hears is in its next heartbeat.
            heartbeats();
            heartbeats();
            return checkResumed();
        }

    private:
        bool is(std::string_view mutant) const { return m_mutant == mutant; }

        void write(const std::string& key, std::optional<std::string> value)
        {
            m_changes.push_back({ key, std::move(value), static_cast<std::int64_t>(m_changes.size() + 1) });
            m_lastChange = m_clock.now();
        }

        void setServer(std::size_t service, std::size_t version, bool serves)
        {
            const auto key = std::string(services.at(service)) + std::to_string(version);
            write(key, serves ? std::optional("server " + std::string(services.at(service)) + " 10.0.0.1:80 hall ready 1 0 6 v" + std::to_string(version)) : std::nullopt);
        }

        static Route routeWith(const std::string& prefix, std::uint32_t serviceChoice, int limit)
        {
            Route route;
            route.host = "a";
            route.pathPrefix = prefix;
            route.kind = RouteKind::Streaming;
            route.resumable = true;
            route.timeLimit = seconds(limit);
            if (serviceChoice != 1)
                route.services.push_back({ services[0], 1 });
            if (serviceChoice != 0)
                route.services.push_back({ services[1], 1 });
            return route;
        }

        static RouteConfig configWith(std::int64_t version, std::uint32_t serviceChoice, std::uint32_t limitChoice, std::optional<std::uint32_t> longChoice)
        {
            RouteConfig config;
            config.version = version;
            config.routes.push_back(routeWith("/s/", serviceChoice, limitsInSeconds.at(limitChoice)));
            if (longChoice)
                config.routes.push_back(routeWith("/s/long/", pick(*longChoice, 2), limitsInSeconds.at(pick(*longChoice / 2, limitsInSeconds.size()))));
            return config;
        }

        void changeConfig(const Step& step)
        {
            const auto version = static_cast<std::int64_t>(m_configs.configs.size());
            auto config = configWith(version, pick(step.a, 6) == 0 ? 2 : pick(step.a, 2), pick(step.b, limitsInSeconds.size()), step.c % 2 == 0 ? std::optional(step.c / 2) : std::nullopt);
            if (step.c % 16 == 1)
                config.routes.clear();
            m_configs.configs.push_back(std::move(config));
            write("config", std::to_string(version));
        }

        /** Applies changes one by one, as a watch brings them. */
        void follow(std::size_t at, std::size_t upTo)
        {
            auto& fleet = *m_instances.at(at);
            upTo = std::min(upTo, m_changes.size());
            for (; m_read.at(at) < upTo; ++m_read.at(at))
                fleet.apply(std::span(&m_changes[m_read.at(at)], 1), static_cast<std::int64_t>(m_read.at(at) + 1));
            confirm(at);
        }

        /** Takes over the newest values only, as another instance passes them on. */
        void followNewest(std::size_t at)
        {
            std::map<std::string, ItemChange> newest;
            for (std::size_t n = m_read.at(at); n < m_changes.size(); ++n)
                newest[m_changes[n].key] = m_changes[n];
            std::vector<ItemChange> changes;
            changes.reserve(newest.size());
            for (const auto& [key, change] : newest)
                changes.push_back(change);
            m_read.at(at) = m_changes.size();
            m_instances.at(at)->apply(changes, static_cast<std::int64_t>(m_changes.size()));
            confirm(at);
        }

        bool isUpToDate(std::size_t at) const { return m_read.at(at) == m_changes.size(); }

        void confirm(std::size_t at)
        {
            if (isUpToDate(at))
                m_instances.at(at)->confirm(m_clock.now());
        }

        void kill(std::size_t at)
        {
            m_instances.at(at) = std::make_unique<FleetState>(m_clock, m_configs);
            m_read.at(at) = 0;
            m_lastRestart = m_clock.now();
            followNewest(at);
        }

        /** In steps in which instances hear the store and one another. No instance is behind for longer than replacementDelay. */
        void pass(Duration time)
        {
            for (; time > Duration::zero(); time -= seconds(1)) {
                m_clock.advance(std::min<Duration>(time, seconds(1)));
                for (std::size_t n = 0; n < instanceCount; ++n) {
                    if (m_clock.now() - m_lastChange >= seconds(3))
                        followNewest(n);
                    m_instances[n]->tick();
                    confirm(n);
                }
                heartbeats();
            }
        }

        void heartbeats()
        {
            for (std::size_t sender = 0; sender < instanceCount; ++sender) {
                const auto& from = m_instances.at(sender);
                auto report = from->softwareReport();
                if (is("a report says nothing of earlier time limits"))
                    report.formerStreamAge = Duration::zero();
                const auto& ages = from->streamAges();
                for (std::size_t receiver = 0; receiver < instanceCount; ++receiver) {
                    const auto& to = m_instances.at(receiver);
                    if (sender == receiver)
                        continue;
                    to->onSoftwareDigestOfOther(report.digest, { from->replica().era(), from->replica().revision() });
                    if (const auto deadline = ages.longestCallerDeadline(m_clock.now()); deadline > Duration::zero())
                        to->onReportedDeadline(deadline);
                    to->onConfigsOfOther(from->configVersion(), ages.formerVersions(m_clock.now()), report.formerStreamAge);
                    if (from->configVersion() >= to->configVersion() && m_read.at(sender) >= m_read.at(receiver))
                        to->onSoftwareReport(report, m_runs.at(sender));
                }
            }
        }

        /** Begins a stream as the instance knows routes and servers, which others need not know yet. */
        void begin(std::size_t at, std::size_t path, std::uint32_t choice)
        {
            auto& fleet = *m_instances.at(at);
            const auto* route = fleet.routes()->find("a", targets.at(path));
            if (!route)
                return;
            std::vector<SoftwareId> candidates;
            for (const auto& [key, server] : fleet.servers()) {
                if (route->usesService(server.service))
                    candidates.push_back(server.software);
            }
            if (candidates.empty())
                return;
            if (!is("callers wait no longer than the route allows"))
                fleet.onCallerDeadline(*route, callerDeadlines.at(path));
            m_streams.push_back({ path, candidates[pick(choice, candidates.size())], m_clock.now() + callerDeadlines.at(path) });
        }

        SoftwareId conclude(const FleetState& fleet, const Route& route) const
        {
            const auto now = m_clock.now();
            const auto period = 2 * Duration(route.timeLimit);
            if (is("the present time limit holds for all streams"))
                return route.services.size() == 1 ? fleet.softwareVersions().onlySoftware(route.services.front().service, period, now, fleet.streamAges().mayBeOfUnknownConfig(now) ? SoftwareEvidence::ReportsOfOthers : SoftwareEvidence::Any).value_or(0) : 0;
            if (is("a restarted instance takes the present configuration for the only one"))
                return route.services.size() == 1 ? fleet.softwareVersions().onlySoftware(route.services.front().service, fleet.streamAges().longestAge(route, now), now).value_or(0) : 0;
            return softwareWithoutRecord(fleet, route, now);
        }

        std::optional<std::string> checkResumed()
        {
            const auto now = m_clock.now();
            std::erase_if(m_streams, [&](const auto& it) { return now >= it.endsAt; });
            const bool quiet = now - std::max(m_lastChange, m_lastRestart) >= undisturbed;
            for (std::size_t n = 0; n < instanceCount; ++n) {
                const auto& fleet = *m_instances.at(n);
                // Any other instance would tell it that there is more, and it would conclude nothing.
                if (!fleet.routes() || m_read.at(n) != *std::ranges::max_element(m_read) || !fleet.isConfirmed())
                    continue;
                for (const auto& stream : m_streams) {
                    const auto* route = fleet.routes()->find("a", targets.at(stream.path));
                    const auto software = route ? conclude(fleet, *route) : 0;
                    const bool goesOn = software != 0 && serviceWith(fleet, *route, software);
                    if (goesOn && software != stream.software)
                        return "a stream of " + nameOf(stream.software) + " goes on at " + nameOf(software) + " by instance " + std::to_string(n);
                }
                if (quiet && isUpToDate(n) && !goesOn(fleet))
                    return "a stream is refused though nothing has changed for long";
            }
            return std::nullopt;
        }

        static std::string nameOf(SoftwareId software)
        {
            for (const std::string service : services) {
                for (std::size_t version = 0; version < versionCount; ++version) {
                    std::string name = "v";
                    name += std::to_string(version);
                    if (softwareIdOf(service, name) == software)
                        return name.insert(0, service + " ");
                }
            }
            return "unknown software";
        }

        /** Whether streams without a record go on at all routes whose only service has one version. */
        bool goesOn(const FleetState& fleet) const
        {
            return std::ranges::all_of(fleet.routes()->config().routes, [&](const Route& route) {
                const auto versions = std::ranges::count_if(fleet.servers(), [&](const auto& it) { return route.usesService(it.second.service); });
                return route.services.size() != 1 || versions != 1 || conclude(fleet, route) != 0;
            });
        }

        std::string m_mutant;
        VirtualClock m_clock;
        NumberedConfigs m_configs;
        std::vector<ItemChange> m_changes;
        std::array<std::unique_ptr<FleetState>, instanceCount> m_instances;
        /** Number of changes that each instance has read. */
        std::array<std::size_t, instanceCount> m_read {};
        /** Distinguishes the runs of all instances. */
        std::array<std::uint64_t, instanceCount> m_runs { 1, 2, 3 };
        std::deque<Stream> m_streams;
        Instant m_lastChange {};
        Instant m_lastRestart {};
    };

    class ResumedStreamsCheck final : public Check {
    public:
        std::vector<std::string> mutants() const override
        {
            return { "the present time limit holds for all streams", "a restarted instance takes the present configuration for the only one", "a report says nothing of earlier time limits", "callers wait no longer than the route allows" };
        }

        std::optional<std::string> run(std::span<const Step> steps, std::string_view mutant) override
        {
            initialiseLog("error", "fuzz");
            ResumedStreamsSimulation simulation(mutant);
            for (const auto& step : steps) {
                if (auto violation = simulation.apply(step))
                    return violation;
            }
            return std::nullopt;
        }
    };

    const Registrar<Check, ResumedStreamsCheck> registered { "resumed_streams" };

} // namespace
} // namespace yuccashift::fuzzing
