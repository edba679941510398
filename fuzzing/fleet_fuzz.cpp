#include "fuzzing/support/check.hpp"
#include "tests/support/fakes/fleet_items.hpp"
#include "yuccashift/dispatch/fleet_retry_budget.hpp"
#include "yuccashift/entry/dispatch_planner.hpp"
#include "yuccashift/kernel/log.hpp"

#include <algorithm>
#include <array>
#include <deque>
#include <memory>

namespace yuccashift::fuzzing {
namespace {

    constexpr std::size_t instanceCount = 3;
    constexpr std::size_t serverCount = 6;
    /** Instances of one region that share bounds. */
    constexpr std::size_t sharerCount = 8;

    /** The platform's store, with its whole history. */
    class Store {
    public:
        void write(const std::string& key, std::optional<std::string> value)
        {
            m_history.push_back({ key, std::move(value), ++m_revision });
        }

        std::int64_t revision() const { return m_revision; }

        std::vector<ItemChange> changesBetween(std::int64_t after, std::int64_t upTo) const
        {
            std::vector<ItemChange> changes;
            std::ranges::copy_if(m_history, std::back_inserter(changes), [&](const auto& it) { return it.revision > after && it.revision <= upTo; });
            return changes;
        }

        /** The items as they were at a revision. */
        std::map<std::string, ItemReplica::Item> itemsAt(std::int64_t revision) const
        {
            std::map<std::string, ItemReplica::Item> items;
            for (const auto& change : m_history) {
                if (change.revision > revision)
                    break;
                if (change.value)
                    items[change.key] = { *change.value, change.revision };
                else
                    items.erase(change.key);
            }
            return items;
        }

        std::vector<ItemChange> listingAt(std::int64_t revision) const
        {
            std::vector<ItemChange> listing;
            for (const auto& [key, item] : itemsAt(revision))
                listing.push_back({ key, item.value, item.revision });
            return listing;
        }

    private:
        std::int64_t m_revision = 1;
        std::vector<ItemChange> m_history;
    };

    /** Instances that learn what is published by watches, listings and from each other, late and out of order. */
    class PublishedWorld {
    public:
        explicit PublishedWorld(std::string_view mutant)
            : m_mutant(mutant)
        {
            for (auto& it : m_worlds)
                it = std::make_unique<FleetState>(m_clock, m_items);
        }

        std::optional<std::string> apply(const Step& step)
        {
            enum class Action { Config,
                Server,
                Remove,
                Watch,
                Listing,
                LatePage,
                Snapshot,
                Time,
                Count };
            const auto at = pick(step.a, instanceCount);
            auto& world = *m_worlds[at];
            const auto known = world.replica().revision();
            switch (static_cast<Action>(pick(step.action, static_cast<std::size_t>(Action::Count)))) {
            case Action::Config:
                m_version += 1 + pick(step.b, 3);
                m_store.write("config", "config " + std::to_string(m_version));
                break;
            case Action::Server:
                m_store.write(serverKey(step), "server draft 10.0.0.1:80 hall " + std::string(step.c % 3 == 0 ? "draining" : "ready") + " " + std::to_string(1 + step.b % 2) + " 0 4");
                break;
            case Action::Remove:
                m_store.write(serverKey(step), std::nullopt);
                break;
            case Action::Watch:
                watch(world, known + pick(step.b, 8));
                break;
            case Action::Listing:
                world.replaceAll(m_store.listingAt(m_store.revision()), m_store.revision());
                break;
            case Action::LatePage:
                latePage(world, 1 + pick(step.b, static_cast<std::size_t>(m_store.revision())));
                break;
            case Action::Snapshot:
                snapshot(*m_worlds[pick(step.b, instanceCount)], world);
                break;
            default:
                m_clock.advance(milliseconds(pick(step.b, 3000)));
                world.tick();
            }
            return judge(at);
        }

    private:
        bool is(std::string_view mutant) const { return m_mutant == mutant; }
        static std::string serverKey(const Step& step) { return "s" + std::to_string(pick(step.c, serverCount)); }

        void watch(FleetState& world, std::int64_t upTo)
        {
            const auto through = std::min(upTo, m_store.revision());
            auto changes = m_store.changesBetween(world.replica().revision(), through);
            if (is("a watch loses a change") && changes.size() > 1)
                changes.erase(changes.begin());
            world.apply(changes, through);
        }

        // A page that was read before what is known now.
        void latePage(FleetState& world, std::int64_t revision)
        {
            const auto listing = m_store.listingAt(revision);
            if (is("a late listing counts as new"))
                world.replaceAll(listing, m_store.revision());
            else
                world.replaceAll(listing, revision);
        }

        void snapshot(const FleetState& from, FleetState& to)
        {
            if (!is("an older snapshot is taken") && from.replica().revision() <= to.replica().revision())
                return;
            std::vector<ItemChange> items;
            for (const auto& [key, item] : from.replica().items())
                items.push_back({ key, item.value, item.revision });
            const auto through = is("an older snapshot is taken") ? std::max(from.replica().revision(), to.replica().revision() + 1) : from.replica().revision();
            to.replaceAll(items, through);
        }

        std::optional<std::string> judge(std::size_t at)
        {
            const auto& world = *m_worlds[at];
            if (world.configVersion() < m_versionsSeen[at])
                return "an instance went back to an older configuration";
            m_versionsSeen[at] = world.configVersion();
            const auto expected = m_store.itemsAt(world.replica().revision());
            for (const auto& [key, item] : expected) {
                const auto it = world.replica().items().find(key);
                if (it == world.replica().items().end())
                    return "an item is missing at the revision that is said to be known";
                if (it->second.revision < item.revision)
                    return "an item is older than the revision that is said to be known";
            }
            for (const auto& [key, item] : world.replica().items()) {
                if (item.revision <= world.replica().revision() && !expected.contains(key))
                    return "an item is held that was removed";
            }
            return std::nullopt;
        }

        std::string m_mutant;
        VirtualClock m_clock;
        test::WordItems m_items;
        Store m_store;
        std::int64_t m_version = 0;
        std::array<std::unique_ptr<FleetState>, instanceCount> m_worlds;
        std::array<std::int64_t, instanceCount> m_versionsSeen {};
    };

    class PublishedCheck final : public Check {
    public:
        std::vector<std::string> mutants() const override { return { "a watch loses a change", "a late listing counts as new", "an older snapshot is taken" }; }

        std::optional<std::string> run(std::span<const Step> steps, std::string_view mutant) override
        {
            initialiseLog("error", "fuzz");
            PublishedWorld world(mutant);
            for (const auto& step : steps) {
                if (auto broken = world.apply(step))
                    return broken;
            }
            return std::nullopt;
        }
    };

    /** One entry instance's part in the bounds that all share. */
    struct Sharer {
        explicit Sharer(const Clock& clock, const ItemDecoder& items, const std::string& name)
            : world(clock, items)
            , members(clock, name)
            , book(clock)
            , repeats(clock, RetryBudgetLimits())
            , dispatcher(clock, settings, world, book, members, random)
        {
            settings.instance = name;
            settings.region = "sofia";
            settings.regions = { { "hall", "sofia" } };
        }

        EntrySettings settings;
        FleetState world;
        PeerTable members;
        ServerTracker book;
        FleetRetryBudget repeats;
        SeededRandom random { 5 };
        DispatchPlanner dispatcher;
        std::uint32_t side = 0;
    };

    /** Instances that share a cold server and a bound on repeats while they hear each other or not. */
    class SharedBounds {
    public:
        explicit SharedBounds(std::string_view mutant)
            : m_mutant(mutant)
        {
            m_items.config.services["draft"] = { "/health", 0, seconds(3), coldRate, false, 0 };
            for (std::size_t n = 0; n < sharerCount; ++n)
                m_sharers[n] = std::make_unique<Sharer>(m_clock, m_items, "i" + std::to_string(n));
            for (auto& it : m_sharers) {
                const std::vector<ItemChange> listing { { "config", "config 1", 2 }, { "s", "server draft 10.0.0.1:80 hall ready 1 600000 4", 3 } };
                it->world.replaceAll(listing, 3);
                it->repeats.setInstanceCount(sharerCount);
                it->members.expectPeers();
            }
        }

        std::optional<std::string> apply(const Step& step)
        {
            auto& sharer = *m_sharers[pick(step.a, sharerCount)];
            switch (pick(step.action, 4)) {
            case 0:
                sharer.side = pick(step.b, sharerCount);
                break;
            case 1:
                run(milliseconds(50 + pick(step.b, 1500)));
                break;
            case 2:
                for (std::uint32_t n = 0; n < pick(step.b, 40); ++n) {
                    sharer.repeats.onRequest("draft");
                    m_requests.push_back(m_clock.now());
                }
                break;
            default:
                for (std::uint32_t n = 0; n < pick(step.b, 40); ++n)
                    repeat(sharer);
            }
            return m_broken;
        }

    private:
        static constexpr double coldRate = 2.5;
        static constexpr double coldMost = coldRate * 1.5 + 3;

        bool is(std::string_view mutant) const { return m_mutant == mutant; }

        void run(Duration time)
        {
            for (const auto until = m_clock.now() + time; m_clock.now() < until;) {
                m_clock.advance(milliseconds(25));
                beat();
                for (auto& it : m_sharers)
                    sendCold(*it);
            }
        }

        void beat()
        {
            if (m_clock.now() - m_beatAt < milliseconds(100))
                return;
            m_beatAt = m_clock.now();
            ++m_sequence;
            for (const auto& from : m_sharers) {
                fleetwire::Heartbeat beat;
                fleetwire::Profile profile;
                profile.instance = from->settings.instance;
                profile.region = "sofia";
                beat.__set_profile(profile);
                beat.sender = hashOfInstance(profile.instance);
                beat.incarnation = 1;
                beat.sequence = m_sequence;
                for (const auto& to : m_sharers) {
                    if (to != from && to->side == from->side)
                        to->members.onHeartbeat(beat);
                }
            }
            for (const auto& it : m_sharers)
                it->members.updateActiveInstances("sofia");
        }

        void sendCold(Sharer& sharer)
        {
            const auto plan = sharer.dispatcher.planLocal("draft", {}, seconds(1), {}, std::nullopt);
            const bool owner = plan.choice.best.has_value();
            const auto& known = sharer.book.statusOf(plan.servers.front()->identityHash);
            const bool careless = is("everyone sends to a cold server") && m_clock.now() - known.lastColdSend > milliseconds(300);
            if (!owner && !careless)
                return;
            sharer.book.recordColdSend(plan.servers.front()->identityHash);
            m_coldSends.push_back(m_clock.now());
            while (m_coldSends.front() <= m_clock.now() - seconds(1))
                m_coldSends.pop_front();
            if (static_cast<double>(m_coldSends.size()) > coldMost)
                m_broken = "a cold server got more requests in a second than it takes";
        }

        void repeat(Sharer& sharer)
        {
            const bool allowed = sharer.repeats.tryRetry("draft");
            if (!allowed && !(is("repeats are not asked for") && ++m_careless % 2 == 0))
                return;
            const RetryBudgetLimits bound;
            m_repeats.push_back(m_clock.now());
            const auto within = [&](const std::deque<Instant>& times, Duration ago) {
                const auto end = m_clock.now() - ago;
                return static_cast<double>(std::ranges::count_if(times, [&](Instant it) { return it >= end - bound.window && it <= end; }));
            };
            // Requests of the window, of the one before and of the one half a window before count, whichever are most.
            const auto requests = std::max({ within(m_requests, {}), within(m_requests, bound.window / 2), within(m_requests, bound.window) });
            if (within(m_repeats, {}) > bound.ratio * requests + bound.slack)
                m_broken = "more repeats in a window than all instances together may send";
        }

        std::string m_mutant;
        VirtualClock m_clock;
        test::WordItems m_items;
        std::array<std::unique_ptr<Sharer>, sharerCount> m_sharers;
        std::deque<Instant> m_coldSends;
        std::deque<Instant> m_requests;
        std::deque<Instant> m_repeats;
        Instant m_beatAt {};
        std::int64_t m_sequence = 0;
        std::uint64_t m_careless = 0;
        std::optional<std::string> m_broken;
    };

    class SharedBoundsCheck final : public Check {
    public:
        std::vector<std::string> mutants() const override { return { "everyone sends to a cold server", "repeats are not asked for" }; }

        std::optional<std::string> run(std::span<const Step> steps, std::string_view mutant) override
        {
            initialiseLog("error", "fuzz");
            SharedBounds world(mutant);
            for (const auto& step : steps) {
                if (auto broken = world.apply(step))
                    return broken;
            }
            return std::nullopt;
        }
    };

    const Registrar<Check, PublishedCheck> registeredPublished { "published" };
    const Registrar<Check, SharedBoundsCheck> registeredBounds { "shared_bounds" };

} // namespace
} // namespace yuccashift::fuzzing
