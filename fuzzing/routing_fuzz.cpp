#include "fuzzing/support/check.hpp"
#include "yuccashift/kernel/random.hpp"
#include "yuccashift/resilience/outlier_ejection.hpp"
#include "yuccashift/routing/backend_load_tracker.hpp"
#include "yuccashift/routing/policies.hpp"
#include "yuccashift/routing/region_load_tracker.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <map>
#include <set>

namespace yuccashift::fuzzing {
namespace {

    constexpr std::size_t serverCount = 5;
    constexpr std::array<const char*, 3> regions { "sofia", "varna", "plovdiv" };

    DocumentPtr makeDocument()
    {
        auto document = std::make_shared<Document>();
        document->service = "s";
        document->revision = 1;
        document->regions = { regions.begin(), regions.end() };
        for (std::size_t n = 0; n < serverCount; ++n) {
            BackendSpec backend;
            backend.name = "b" + std::to_string(n);
            backend.region = regions[0];
            backend.datacentre = n % 2 == 0 ? "d0" : "d1";
            backend.slots = 4;
            document->backends.push_back(backend);
        }
        return document;
    }

    /** Servers that fail, leave and report late, and regions that appear and disappear, run with every registered policy. */
    class RoutingSimulation {
    public:
        explicit RoutingSimulation(std::string_view mutant)
            : m_mutant(mutant)
        {
        }

        std::optional<std::string> apply(const Step& step)
        {
            enum class Action { Report,
                Leave,
                Return,
                Start,
                Finish,
                Fail,
                Lost,
                Summary,
                Unreachable,
                Reachable,
                Wait,
                Count };
            constexpr std::uint32_t choices = 8;
            const auto server = m_document->backends[pick(step.a, serverCount)].name;
            const BackendKey key { "s", server };
            const std::string region = regions[pick(step.a, regions.size())];
            switch (static_cast<Action>(pick(step.action, static_cast<std::size_t>(Action::Count) + choices))) {
            case Action::Report:
                report(key, step);
                break;
            case Action::Leave:
                m_loads.onLeaving(key, true);
                m_leaving.insert(server);
                break;
            case Action::Return:
                m_loads.onLeaving(key, false);
                m_leaving.erase(server);
                break;
            case Action::Start:
                m_running.push_back(m_loads.onStart(key, pick(step.b, 500), m_now));
                break;
            case Action::Finish:
                finish(step, RequestOutcome::Answered);
                break;
            case Action::Fail:
                m_ejection.onFailure("s", server, m_now);
                break;
            case Action::Lost:
                m_loads.onLost(key, m_now);
                break;
            case Action::Summary:
                summary(region, step);
                break;
            case Action::Unreachable:
                m_regions.onReachable(region, false, m_now);
                m_unreachable.insert(region);
                break;
            case Action::Reachable:
                m_regions.onReachable(region, true, m_now);
                m_unreachable.erase(region);
                break;
            case Action::Wait:
                m_now += milliseconds(pick(step.b, 20000));
                break;
            default:
                choose(step);
            }
            return m_violation;
        }

    private:
        bool is(std::string_view mutant) const { return m_mutant == mutant; }

        void recordViolation(std::string violation)
        {
            if (!m_violation)
                m_violation = std::move(violation);
        }

        // Load reports may arrive late and in any order.
        void report(const BackendKey& key, const Step& step)
        {
            LoadReport report;
            report.sequence = pick(step.b, 100);
            report.running = pick(step.c, 8);
            report.waiting = pick(step.c, 3);
            report.queuedTokens = pick(step.b, 3000);
            report.prefillTokensPerSecond = pick(step.c, 9000);
            report.decodeTokensPerSecond = pick(step.b, 90);
            m_loads.onReport(key, report, m_now - milliseconds(pick(step.b, 6000)));
        }

        void finish(const Step& step, RequestOutcome outcome)
        {
            if (m_running.empty())
                return;
            const auto it = m_running.begin() + pick(step.b, m_running.size());
            m_loads.onFinish(*it, outcome, m_now);
            m_running.erase(it);
        }

        void summary(const RegionName& region, const Step& step)
        {
            RegionLoad load;
            load.slots = pick(step.b, 40);
            load.busySlots = pick(step.c, 60);
            load.queueWait = milliseconds(pick(step.c, 4000));
            load.meanServiceTime = milliseconds(pick(step.b, 900));
            m_regions.onSummary(region, "s", load, m_now - milliseconds(pick(step.c, 15000)));
        }

        RequestTraits requestOf(const Step& step) const
        {
            RequestTraits request;
            request.service = "s";
            request.promptTokens = pick(step.b, 2000);
            request.expectedOutputTokens = pick(step.c, 300);
            request.deadline = m_now + seconds(10);
            const auto mask = pick(step.a, 8);
            for (std::size_t n = 0; n < regions.size(); ++n) {
                if ((mask & (1U << n)) != 0)
                    request.allowedRegions.emplace_back(regions[n]);
            }
            for (std::size_t n = 0; n < serverCount; ++n) {
                if ((step.c >> n) % 4 == 3)
                    request.triedBackends.push_back(m_document->backends[n].name);
            }
            return request;
        }

        void choose(const Step& step)
        {
            const auto request = requestOf(step);
            auto states = m_loads.states(*m_document, request, m_now);
            m_ejection.apply("s", states, m_now);
            checkEjectionLimit(states);
            chooseBackend(step, request, states);
            chooseRegion(step, request, states);
        }

        void checkEjectionLimit(std::span<const BackendState> states)
        {
            const auto ejected = static_cast<std::size_t>(std::ranges::count(states, true, &BackendState::ejected)) + (is("one more is ejected") ? 1 : 0);
            const auto kept = static_cast<std::size_t>(std::ceil(static_cast<double>(states.size()) * EjectionSpec {}.minAvailablePercent / 100));
            if (ejected > states.size() - kept)
                recordViolation("more servers are ejected than the floor allows");
        }

        void chooseBackend(const Step& step, const RequestTraits& request, std::span<const BackendState> states)
        {
            const auto names = Registry<BackendPolicy>::instance().names();
            const auto policy = Registry<BackendPolicy>::instance().create(names[pick(step.action, names.size())]);
            auto submitted = request;
            std::vector<BackendState> visibleStates(states.begin(), states.end());
            if (is("residency is not asked"))
                submitted.allowedRegions = { regions.begin(), regions.end() };
            if (is("tried servers are not left out"))
                submitted.triedBackends.clear();
            for (auto& state : visibleStates)
                state.leaving = state.leaving && !is("leaving servers get work");
            const auto decision = policy->choose(submitted, visibleStates, m_now, m_random);
            if (decision.candidates.size() != states.size())
                recordViolation("a candidate has no reason");
            if (decision.chosen)
                checkBackend(request, states, states[*decision.chosen]);
            else if (std::ranges::any_of(states, [&](const auto& it) { return isEligible(request, it); }))
                recordViolation("a fit server was not found");
        }

        bool isEligible(const RequestTraits& request, const BackendState& state) const
        {
            const auto contains = [](const auto& range, const auto& value) { return std::ranges::find(range, value) != range.end(); };
            return contains(request.allowedRegions, state.region) && !contains(request.triedBackends, state.name) && !m_leaving.contains(state.name);
        }

        void checkBackend(const RequestTraits& request, std::span<const BackendState> states, const BackendState& chosen)
        {
            if (!isEligible(request, chosen))
                recordViolation("a server that is not allowed, was tried or is leaving got work");
            const bool otherEligible = std::ranges::any_of(states, [&](const auto& it) { return isEligible(request, it) && !it.ejected; });
            if (chosen.ejected && otherEligible)
                recordViolation("an ejected server got work");
        }

        void chooseRegion(const Step& step, const RequestTraits& request, std::span<const BackendState> states)
        {
            const auto names = Registry<RegionPolicy>::instance().names();
            const auto policy = Registry<RegionPolicy>::instance().create(names[pick(step.action, names.size())]);
            SpillSpec spill;
            spill.mode = pick(step.b, 3) == 0 ? SpillMode::Never : SpillMode::WhenLoaded;
            const auto regionStates = m_regions.states(*m_document, request, aggregateLoad(states, m_now), m_now);
            auto submitted = request;
            if (is("residency is widened under load"))
                submitted.allowedRegions = { regions.begin(), regions.end() };
            const auto decision = policy->choose(submitted, spill, regions[0], regionStates, m_now, m_random);
            if (!decision.chosen)
                return;
            const auto& chosen = regionStates[*decision.chosen].name;
            if (std::ranges::find(request.allowedRegions, chosen) == request.allowedRegions.end())
                recordViolation("a region outside the residency was chosen");
            if (chosen != regions[0] && m_unreachable.contains(chosen))
                recordViolation("a region that cannot be reached was chosen");
            if (chosen != regions[0])
                m_regions.onSent(chosen, "s", m_now);
        }

        std::string m_mutant;
        Instant m_now { seconds(1000) };
        SeededRandom m_random { 5 };
        DocumentPtr m_document = makeDocument();
        BackendLoadTracker m_loads { { regions[0], "d0" } };
        RegionLoadTracker m_regions { { regions[0] } };
        OutlierEjection m_ejection;
        std::vector<InFlightRequest> m_running;
        std::set<BackendName> m_leaving;
        std::set<RegionName> m_unreachable;
        std::optional<std::string> m_violation;
    };

    class RoutingCheck final : public Check {
    public:
        std::vector<std::string> mutants() const override
        {
            return { "residency is not asked", "tried servers are not left out", "leaving servers get work", "one more is ejected", "residency is widened under load" };
        }

        std::optional<std::string> run(std::span<const Step> steps, std::string_view mutant) override
        {
            RoutingSimulation simulation(mutant);
            for (const auto& step : steps) {
                if (auto violation = simulation.apply(step))
                    return violation;
            }
            return std::nullopt;
        }
    };

    const Registrar<Check, RoutingCheck> registered { "routing" };

} // namespace
} // namespace yuccashift::fuzzing
