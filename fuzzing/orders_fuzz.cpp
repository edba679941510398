#include "fuzzing/support/check.hpp"
#include "yuccashift/orders/order_planner.hpp"
#include "yuccashift/orders/ownership.hpp"

#include <algorithm>
#include <array>
#include <set>
#include <tuple>

namespace yuccashift::fuzzing {
namespace {

    constexpr std::size_t instanceCount = 3;
    constexpr auto tick = seconds(1);
    constexpr auto settling = seconds(5);
    constexpr auto maxPause = seconds(2);

    DocumentPtr documentOf(Revision revision)
    {
        Document document;
        document.service = "draft";
        document.revision = revision;
        document.kind = ServiceKind::Model;
        document.models = { { "m", std::to_string(revision / 2), { "a" + std::to_string(revision % 3) } } };
        for (const auto* name : { "checks", "ignores" }) {
            BackendSpec backend;
            backend.name = name;
            backend.region = "sofia";
            backend.address = { name, 1 };
            backend.fence = backend.name == "checks" ? FenceMode::Checked : FenceMode::Ignored;
            backend.role = revision % 2 == 0 ? BackendRole::Both : BackendRole::Prefill;
            document.backends.push_back(backend);
        }
        return std::make_shared<const Document>(std::move(document));
    }

    /** An engine that executes orders at once and, if it checks fences, refuses outdated ones. */
    struct Engine {
        LoadReport state;
        bool checksFence = false;
        /** Newest document revision of an accepted order, for the oracle. */
        Revision newestDocument = 0;

        bool accept(const EngineOrder& order)
        {
            if (checksFence && order.fencingToken < state.highestFencingToken)
                return false;
            if (checksFence)
                state.highestFencingToken = order.fencingToken;
            const auto isNamed = [&](const ModelSpec& model) { return model.name == order.model && model.version == order.version; };
            auto it = std::ranges::find_if(state.models, isNamed);
            if (order.kind == OrderKind::SetRole)
                state.role = order.role;
            if (order.kind == OrderKind::LoadModel && it == state.models.end())
                state.models.push_back({ order.model, order.version, {} });
            if (order.kind == OrderKind::LoadAdapter && it != state.models.end())
                it->adapters.push_back(order.adapter);
            if (order.kind == OrderKind::UnloadModel)
                std::erase_if(state.models, isNamed);
            return true;
        }
    };

    struct Instance {
        InstanceId name;
        Revision revision = 1;
        Ownership ownership;
        OrderPlanner planner { OrderTiming {} };
        std::array<EngineView, 2> views;
        bool asleep = false;
        bool cutOff = false;
        /** Time of the last run, and the time since which it has run without a pause. */
        Instant lastRun {};
        Instant awakeSince {};
    };

    /** Three instances and two engines with changing documents, sleeping processes, partitions and lost orders. */
    class OrdersSimulation {
    public:
        explicit OrdersSimulation(std::string_view mutant)
            : m_mutant(mutant)
        {
            for (std::size_t n = 0; n < instanceCount; ++n) {
                const auto name = "i" + std::to_string(n);
                m_instances.push_back({ name, 1, Ownership(name, { settling, maxPause }), OrderPlanner { OrderTiming {} }, {}, false, false, {}, {} });
            }
            m_engines[0].checksFence = true;
        }

        std::optional<std::string> apply(const Step& step)
        {
            enum class Action { Publish,
                Learn,
                Sleep,
                Wake,
                CutOff,
                Rejoin,
                LoseOrders,
                RestartEngine,
                Count };
            constexpr std::uint32_t ticks = 12;
            auto& instance = m_instances[pick(step.a, instanceCount)];
            switch (static_cast<Action>(pick(step.action, static_cast<std::size_t>(Action::Count) + ticks))) {
            case Action::Publish:
                ++m_published;
                break;
            case Action::Learn:
                instance.revision = std::max<Revision>(instance.revision, 1 + pick(step.b, m_published));
                break;
            case Action::Sleep:
                instance.asleep = true;
                break;
            case Action::Wake:
                instance.asleep = false;
                break;
            case Action::CutOff:
                instance.cutOff = true;
                break;
            case Action::Rejoin:
                instance.cutOff = false;
                break;
            case Action::LoseOrders:
                m_ordersToLose = pick(step.b, 4);
                break;
            case Action::RestartEngine:
                restart(m_engines[pick(step.b, 2)]);
                break;
            default:
                runFor(1 + pick(step.b, 8));
            }
            return m_violation;
        }

        std::optional<std::string> settle()
        {
            constexpr std::uint32_t ticksToConverge = 600;
            m_ordersToLose = 0;
            for (auto& instance : m_instances) {
                instance.asleep = false;
                instance.cutOff = false;
                instance.revision = m_published;
            }
            runFor(ticksToConverge);
            for (const auto& engine : desiredPlacement(std::vector { documentOf(m_published) })) {
                const auto& state = m_engines[engine.backend == "checks" ? 0 : 1].state;
                if (state.models.size() != 1 || !missingOrders(engine, state).empty())
                    return m_violation ? m_violation : "an engine does not reach the published state";
            }
            return m_violation;
        }

    private:
        bool is(std::string_view mutant) const { return m_mutant == mutant; }

        static void restart(Engine& engine)
        {
            engine.state = {};
            engine.newestDocument = 0;
        }

        void recordViolation(std::string violation)
        {
            if (!m_violation)
                m_violation = std::move(violation);
        }

        void runFor(std::uint32_t ticks)
        {
            for (std::uint32_t n = 0; n < ticks; ++n) {
                m_now += tick;
                m_senders = {};
                for (auto& instance : m_instances) {
                    if (!instance.asleep)
                        run(instance);
                }
            }
        }

        void run(Instance& instance)
        {
            if (m_now - instance.lastRun > maxPause)
                instance.awakeSince = m_now;
            instance.lastRun = m_now;
            const auto view = liveInstances(instance);
            const auto placement = desiredPlacement(std::vector { documentOf(instance.revision) });
            std::vector<RegionalBackend> keys;
            keys.reserve(placement.size());
            for (const auto& engine : placement)
                keys.push_back({ engine.service, engine.backend, engine.region });
            instance.ownership.update(keys, view, m_now);
            for (std::size_t n = 0; n < placement.size(); ++n)
                runEngine(instance, placement[n], keys[n], n);
        }

        std::vector<OwnerCandidate> liveInstances(const Instance& self) const
        {
            std::vector<OwnerCandidate> live { { self.name, "sofia" } };
            for (const auto& other : m_instances) {
                if (&other != &self && !self.cutOff && !other.cutOff)
                    live.push_back({ other.name, "sofia" });
            }
            return live;
        }

        void runEngine(Instance& instance, const DesiredEngineState& desired, const RegionalBackend& key, std::size_t n)
        {
            auto& engine = m_engines[n];
            auto& view = instance.views[n];
            const bool readsReport = !is("an old account is taken for new") || toMilliseconds(m_now.time_since_epoch()) % 7000 == 0;
            if (readsReport)
                view.report = engine.state;
            view.readAt = m_now;
            auto actingSince = instance.ownership.actingSince(key, m_now);
            if (is("acts without settling") && ownerOf(key, liveInstances(instance)) == instance.name)
                actingSince = m_now;
            if (is("everyone is the owner"))
                actingSince = m_now;
            auto orders = instance.planner.nextOrders(desired, view, actingSince, m_now);
            if (is("orders are given once") && !orders.empty() && !m_sentOrders.insert({ instance.name, desired.backend, desired.fence }).second)
                orders.clear();
            if (is("unloads before it loads") && !orders.empty() && !engine.state.models.empty() && orders[0].kind == OrderKind::LoadModel) {
                orders[0].kind = OrderKind::UnloadModel;
                orders[0].version = engine.state.models[0].version;
            }
            for (auto& order : orders)
                sendOrder(instance, desired, order, n);
        }

        void sendOrder(Instance& instance, const DesiredEngineState& desired, EngineOrder order, std::size_t n)
        {
            auto& engine = m_engines[n];
            if (m_now - instance.awakeSince < settling)
                recordViolation("an instance acted on what it believed before a pause");
            const auto missing = missingOrders(desired, engine.state);
            if (order.kind == OrderKind::UnloadModel && engine.state.models.size() == 1)
                recordViolation("an engine was left without any version");
            if (order.kind != OrderKind::UnloadModel && std::ranges::find(missing, order) == missing.end())
                recordViolation("an order was given that the engine did not need");
            if (m_senders[n] && m_senders[n] != instance.name && !anyCutOff())
                recordViolation("two connected instances gave one engine orders");
            m_senders[n] = instance.name;
            if (is("an old fence is sent"))
                order.fencingToken = 0;
            if (m_ordersToLose > 0) {
                --m_ordersToLose;
                return;
            }
            if (!engine.accept(order) || !engine.checksFence)
                return;
            if (instance.revision < engine.newestDocument)
                recordViolation("an engine that checks fences went back to an older document");
            engine.newestDocument = std::max(engine.newestDocument, instance.revision);
        }

        bool anyCutOff() const
        {
            return std::ranges::any_of(m_instances, &Instance::cutOff);
        }

        std::string m_mutant;
        Instant m_now { seconds(1000) };
        std::vector<Instance> m_instances;
        std::array<Engine, 2> m_engines;
        Revision m_published = 1;
        std::uint32_t m_ordersToLose = 0;
        /** Instances that sent orders to each engine in this tick. */
        std::array<std::optional<InstanceId>, 2> m_senders;
        std::set<std::tuple<InstanceId, BackendName, Revision>> m_sentOrders;
        std::optional<std::string> m_violation;
    };

    class OrdersCheck final : public Check {
    public:
        std::vector<std::string> mutants() const override
        {
            return { "acts without settling", "everyone is the owner", "an old account is taken for new",
                "unloads before it loads", "orders are given once", "an old fence is sent" };
        }

        std::optional<std::string> run(std::span<const Step> steps, std::string_view mutant) override
        {
            OrdersSimulation simulation(mutant);
            for (const auto& step : steps) {
                if (auto violation = simulation.apply(step))
                    return violation;
            }
            return simulation.settle();
        }
    };

    const Registrar<Check, OrdersCheck> registered { "orders" };

} // namespace
} // namespace yuccashift::fuzzing
