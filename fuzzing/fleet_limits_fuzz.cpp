#include "fuzzing/support/check.hpp"
#include "tests/support/limits_fleet.hpp"

namespace yuccashift::fuzzing {
namespace {

    constexpr double limitPerSecond = 360'000;
    constexpr double usualDemand = 0.55 * limitPerSecond;
    constexpr std::size_t instanceCount = 8;

    /** The limit of an organisation over all instances, while demand jumps and moves, regions are cut off and processes restart. */
    class FleetLimitsCheck final : public Check {
    public:
        std::vector<std::string> mutants() const override { return { "the limit of the fleet is not asked", "use is not reported" }; }

        std::optional<std::string> run(std::span<const Step> steps, std::string_view mutant) override
        {
            LimitsFleet fleet(instanceCount, { limitPerSecond, limitPerSecond }, steps.size());
            fleet.limitIsNotAsked = mutant == mutants()[0];
            fleet.reportsAreLost = mutant == mutants()[1];
            for (const auto& step : steps) {
                enum class Action { Usual,
                    Jump,
                    Move,
                    Cut,
                    Restart,
                    Count };
                const auto action = static_cast<Action>(pick(step.action, static_cast<std::size_t>(Action::Count)));
                fleet.setGroups(action == Action::Cut ? std::array { 0, 0, 1 } : std::array { 0, 0, 0 });
                const double demand = usualDemand * (action == Action::Jump ? 2 + pick(step.b, 6) : 1);
                fleet.setDemand({ demand * 0.4, demand * 0.35, demand * 0.25 });
                if (action == Action::Move)
                    fleet.moveCallers(0.5);
                if (action == Action::Restart)
                    fleet.restart(0.5, milliseconds(pick(step.c, 1000)));
                fleet.run(seconds(1 + pick(step.a, 6)));
                if (fleet.worstWindow() > 1)
                    return "a window holds " + std::to_string(fleet.worstWindow()) + " of what is allowed";
            }
            return std::nullopt;
        }
    };

    const Registrar<Check, FleetLimitsCheck> registered { "fleet_limits" };

} // namespace
} // namespace yuccashift::fuzzing
