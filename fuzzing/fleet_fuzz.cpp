#include "fuzzing/support/check.hpp"
#include "tests/support/fakes/fleet_items.hpp"
#include "yuccashift/dispatch/fleet_retry_budget.hpp"
#include "yuccashift/entry/dispatch_planner.hpp"
#include "yuccashift/entry/snapshot_exchange.hpp"
#include "yuccashift/fleet/datagram.hpp"
#include "yuccashift/kernel/log.hpp"

#include <algorithm>
#include <array>
#include <deque>
#include <memory>

namespace yuccashift::fuzzing {
namespace {

    constexpr std::size_t instanceCount = 3;
    constexpr std::size_t serverCount = 6;
    /** Instances of one region that share limits. */
    constexpr std::size_t entryCount = 8;

    /** The platform's store with the history of all revisions of each era. */
    class Store {
    public:
        void write(const std::string& key, std::optional<std::string> value)
        {
            m_histories.back().push_back({ key, std::move(value), ++m_revision });
        }

        /** Comes back from a copy of this revision, in a new era. */
        void restore(std::int64_t revision)
        {
            m_revision = revision;
            auto history = m_histories.back();
            std::erase_if(history, [&](const auto& it) { return it.revision > revision; });
            m_histories.push_back(std::move(history));
        }

        /** The first era is 1. */
        std::int64_t era() const { return static_cast<std::int64_t>(m_histories.size()); }
        std::int64_t revision() const { return m_revision; }

        std::vector<ItemChange> changesBetween(std::int64_t after, std::int64_t upTo) const
        {
            std::vector<ItemChange> changes;
            std::ranges::copy_if(m_histories.back(), std::back_inserter(changes), [&](const auto& it) { return it.revision > after && it.revision <= upTo; });
            return changes;
        }

        /** Returns the items as they were at a revision of an era. */
        std::map<std::string, ItemReplica::Item> itemsAt(const StorePosition& position) const
        {
            std::map<std::string, ItemReplica::Item> items;
            for (const auto& change : m_histories[static_cast<std::size_t>(position.era - 1)]) {
                if (change.revision > position.revision)
                    break;
                if (change.value)
                    items[change.key] = { *change.value, change.revision };
                else
                    items.erase(change.key);
            }
            return items;
        }

        std::vector<ItemChange> listingAt(const StorePosition& position) const
        {
            std::vector<ItemChange> listing;
            for (const auto& [key, item] : itemsAt(position))
                listing.push_back({ key, item.value, item.revision });
            return listing;
        }

    private:
        std::int64_t m_revision = 1;
        std::vector<std::vector<ItemChange>> m_histories { 1 };
    };

    /** Instances that learn published items from watches, listings and each other, late and out of order. */
    class PublicationSimulation {
    public:
        explicit PublicationSimulation(std::string_view mutant)
            : m_mutant(mutant)
        {
            for (auto& it : m_fleets) {
                it = std::make_unique<FleetState>(m_clock, m_items);
                it->setFirstEra(1);
            }
        }

        std::optional<std::string> apply(const Step& step)
        {
            enum class Action { Config,
                Server,
                Remove,
                Watch,
                Listing,
                StaleListing,
                Snapshot,
                Changes,
                Value,
                Restore,
                Cut,
                Time,
                Count };
            const auto at = pick(step.a, instanceCount);
            auto& fleet = *m_fleets[at];
            const auto known = watchPosition(fleet);
            switch (static_cast<Action>(pick(step.action, static_cast<std::size_t>(Action::Count)))) {
            case Action::Config:
                m_version += 1 + pick(step.b, 3);
                // Every other configuration is too large to be sent along with other changes.
                m_store.write("config", "config " + std::to_string(m_version) + std::string(step.c % 2 * (maxInlineValueBytes + 1), ' '));
                break;
            case Action::Server:
                m_store.write(serverKey(step), "server draft 10.0.0.1:80 hall " + std::string(step.c % 3 == 0 ? "draining" : "ready") + " " + std::to_string(1 + step.b % 2) + " 0 4");
                break;
            case Action::Remove:
                m_store.write(serverKey(step), std::nullopt);
                break;
            case Action::Watch:
                watch(fleet, known + pick(step.b, 8));
                break;
            case Action::Listing:
                list(fleet);
                break;
            case Action::StaleListing:
                applyStaleListing(fleet, 1 + static_cast<std::int64_t>(pick(step.b, 40)));
                break;
            case Action::Snapshot:
                snapshot(*m_fleets[pick(step.b, instanceCount)], fleet);
                break;
            case Action::Changes:
                fetchChanges(m_fleets[pick(step.b, instanceCount)]->replica(), fleet);
                break;
            case Action::Value:
                fetchValue(*m_fleets[pick(step.b, instanceCount)], fleet);
                break;
            case Action::Restore:
                m_store.restore(std::max<std::int64_t>(1, m_store.revision() - pick(step.b, 6)));
                break;
            case Action::Cut:
                // Too short for an entry to expire.
                fleet.onStoreUnreachable(m_clock.now() - (is("a cut call counts as an outage") ? seconds(10) : milliseconds(100)));
                fleet.onStoreReachable();
                break;
            default:
                m_clock.advance(milliseconds(pick(step.b, 3000)));
                fleet.tick();
                if (waitsTooLong(at))
                    return "a removal waits for longer than two seconds";
            }
            followRemovals(at);
            return checkReplica(at);
        }

        /** Lets every instance read the rest from the store. Each must then equal the store. */
        std::optional<std::string> finish()
        {
            for (std::size_t n = 0; n < instanceCount; ++n) {
                auto& fleet = *m_fleets[n];
                watch(fleet, m_store.revision());
                if (auto violation = checkReplica(n))
                    return violation;
                if (!fleet.replica().awaitedValues().empty())
                    return "a value is awaited although the store was read to its end";
                if (auto violation = checkServers(fleet))
                    return violation;
            }
            return std::nullopt;
        }

    private:
        /** Notes when each server disappeared from the items that an instance knows, and when its era began. */
        void followRemovals(std::size_t at)
        {
            const auto& fleet = *m_fleets[at];
            const auto now = m_clock.now();
            if (std::exchange(m_erasSeen[at], fleet.replica().era()) != fleet.replica().era())
                m_eraBegan[at] = now;
            for (const auto& [key, server] : fleet.servers()) {
                if (fleet.replica().items().contains(key))
                    m_vanished[at].erase(key);
                else
                    m_vanished[at].try_emplace(key, now);
            }
        }

        bool waitsTooLong(std::size_t at) const
        {
            constexpr Duration maxWait = seconds(2);
            return std::ranges::any_of(m_vanished[at], [&](const auto& it) {
                const bool waits = m_fleets[at]->servers().contains(it.first) && !m_fleets[at]->replica().items().contains(it.first);
                return waits && m_clock.now() - std::max(it.second, m_eraBegan[at]) > maxWait;
            });
        }

        /** Once deferred removals are due, the servers are those of the store. */
        std::optional<std::string> checkServers(FleetState& fleet)
        {
            m_clock.advance(seconds(3));
            fleet.tick();
            const auto items = m_store.itemsAt(storeEnd());
            for (const auto& [key, server] : fleet.servers()) {
                if (!items.contains(key))
                    return "a server is used that the store does not hold";
            }
            for (const auto& [key, item] : items) {
                if (key.starts_with('s') && !fleet.servers().contains(key))
                    return "a server of the store is not known";
            }
            return std::nullopt;
        }

        bool is(std::string_view mutant) const { return m_mutant == mutant; }
        std::int64_t watchPosition(const FleetState& fleet) const
        {
            return is("a watch skips values that follow") ? fleet.replica().revision() : fleet.replica().completeRevision();
        }
        static std::string serverKey(const Step& step) { return "s" + std::to_string(pick(step.c, serverCount)); }

        StorePosition storeEnd() const { return { m_store.era(), m_store.revision() }; }

        void list(FleetState& fleet)
        {
            const auto listing = m_store.listingAt(storeEnd());
            if (m_store.era() > fleet.replica().era())
                fleet.beginEra(m_store.era(), listing, m_store.revision());
            else
                fleet.replaceAll(listing, m_store.revision());
        }

        // The store names its era in each answer, so that a watch of an instance in an older one ends in a listing.
        void watch(FleetState& fleet, std::int64_t upTo)
        {
            if (m_store.era() > fleet.replica().era() && !is("a watch goes on in a new era"))
                return list(fleet);
            const auto through = std::min(upTo, m_store.revision());
            auto changes = m_store.changesBetween(watchPosition(fleet), through);
            if (is("a watch loses a change") && changes.size() > 1)
                changes.erase(changes.begin());
            fleet.apply(changes, through);
        }

        // Applies a listing that was read earlier in the same era than what is known.
        void applyStaleListing(FleetState& fleet, std::int64_t revision)
        {
            if (m_store.era() != fleet.replica().era())
                return;
            const auto listing = m_store.listingAt({ m_store.era(), std::min(revision, m_store.revision()) });
            if (is("a late listing counts as new"))
                fleet.replaceAll(listing, m_store.revision());
            else
                fleet.replaceAll(listing, std::min(revision, m_store.revision()));
        }

        void fetchChanges(const ItemReplica& from, FleetState& to)
        {
            const bool sameEra = from.era() == to.replica().era();
            auto snapshot = sameEra ? snapshotAfter(from, to.replica().revision()) : wholeSnapshot(from);
            if (is("a snapshot forgets its era"))
                snapshot.era = to.replica().era();
            applySnapshot(to, snapshot);
        }

        void fetchValue(const FleetState& from, FleetState& to)
        {
            const auto held = to.replica().items().find("config");
            CompressedValues values;
            const auto message = values.encode(from.replica(), "config", held == to.replica().items().end() ? 0 : held->second.revision);
            if (!message)
                return;
            auto value = *decodeItemValue(*message);
            if (is("a value forgets its era"))
                value.era = to.replica().era();
            applyItemValue(to, value);
        }

        void snapshot(const FleetState& from, FleetState& to)
        {
            // Earlier versions send snapshots with all values, which takes that none is missing.
            if (!from.replica().awaitedValues().empty() || from.replica().era() != to.replica().era())
                return;
            if (!is("an older snapshot is taken") && from.replica().revision() <= to.replica().revision())
                return;
            std::vector<ItemChange> items;
            for (const auto& [key, item] : from.replica().items())
                items.push_back({ key, item.value, item.revision });
            const auto through = is("an older snapshot is taken") ? std::max(from.replica().revision(), to.replica().revision() + 1) : from.replica().revision();
            to.replaceAll(items, through);
        }

        std::optional<std::string> checkReplica(std::size_t at)
        {
            const auto& fleet = *m_fleets[at];
            if (fleet.configVersion() < m_versionsSeen[at])
                return "an instance went back to an older configuration";
            m_versionsSeen[at] = fleet.configVersion();
            const auto expected = m_store.itemsAt({ fleet.replica().era(), fleet.replica().revision() });
            const auto& awaited = fleet.replica().awaitedValues();
            for (const auto& [key, revision] : awaited) {
                // A value may be newer than the changes known.
                if (revision > fleet.replica().revision())
                    continue;
                if (!expected.contains(key) || expected.at(key).revision > revision)
                    return "a value is awaited that is not the newest of its item";
            }
            for (const auto& [key, item] : expected) {
                if (awaited.contains(key))
                    continue;
                const auto it = fleet.replica().items().find(key);
                if (it == fleet.replica().items().end())
                    return "an item is missing at the revision that is said to be known";
                if (it->second.revision < item.revision)
                    return "an item is older than the revision that is said to be known";
                if (it->second.revision == item.revision && it->second.value != item.value)
                    return "an item has the value of another era";
            }
            for (const auto& [key, item] : fleet.replica().items()) {
                if (item.revision <= fleet.replica().revision() && !expected.contains(key))
                    return "an item is held that was removed";
            }
            return std::nullopt;
        }

        std::string m_mutant;
        VirtualClock m_clock;
        test::WordItems m_items;
        Store m_store;
        std::int64_t m_version = 0;
        std::array<std::unique_ptr<FleetState>, instanceCount> m_fleets;
        std::array<std::int64_t, instanceCount> m_versionsSeen {};
        std::array<std::int64_t, instanceCount> m_erasSeen {};
        std::array<Instant, instanceCount> m_eraBegan {};
        std::array<std::map<std::string, Instant>, instanceCount> m_vanished;
    };

    class PublishedCheck final : public Check {
    public:
        std::vector<std::string> mutants() const override { return { "a watch loses a change", "a late listing counts as new", "an older snapshot is taken", "a watch skips values that follow", "a watch goes on in a new era", "a snapshot forgets its era", "a value forgets its era", "a cut call counts as an outage" }; }

        std::optional<std::string> run(std::span<const Step> steps, std::string_view mutant) override
        {
            initialiseLog("error", "fuzz");
            PublicationSimulation simulation(mutant);
            for (const auto& step : steps) {
                if (auto violation = simulation.apply(step))
                    return violation;
            }
            return simulation.finish();
        }
    };

    /** The state of one entry instance that shares limits with the others. */
    struct EntryInstance {
        explicit EntryInstance(const Clock& clock, const ItemDecoder& items, const std::string& name)
            : fleet(clock, items)
            , members(clock, name)
            , serverTracker(clock)
            , retries(clock, RetryBudgetLimits())
            , dispatcher(clock, settings, fleet, serverTracker, members, random)
        {
            settings.instance = name;
            settings.region = "sofia";
            settings.regions = { { "hall", "sofia" } };
        }

        EntrySettings settings;
        FleetState fleet;
        PeerTable members;
        ServerTracker serverTracker;
        FleetRetryBudget retries;
        SeededRandom random { 5 };
        DispatchPlanner dispatcher;
        std::uint32_t partition = 0;
    };

    /** Instances that share a cold server and a retry budget, with and without contact to each other. */
    class SharedLimitsSimulation {
    public:
        explicit SharedLimitsSimulation(std::string_view mutant)
            : m_mutant(mutant)
        {
            m_items.config.services["draft"] = { "/health", 0, seconds(3), coldRate, false, 0 };
            for (std::size_t n = 0; n < entryCount; ++n)
                m_entries[n] = std::make_unique<EntryInstance>(m_clock, m_items, "i" + std::to_string(n));
            for (auto& it : m_entries) {
                const std::vector<ItemChange> listing { { "config", "config 1", 2 }, { "s", "server draft 10.0.0.1:80 hall ready 1 600000 4", 3 } };
                it->fleet.replaceAll(listing, 3);
                it->retries.setInstanceCount(entryCount);
                it->members.expectPeers();
            }
        }

        std::optional<std::string> apply(const Step& step)
        {
            auto& entry = *m_entries[pick(step.a, entryCount)];
            switch (pick(step.action, 4)) {
            case 0:
                entry.partition = pick(step.b, entryCount);
                break;
            case 1:
                run(milliseconds(50 + pick(step.b, 1500)));
                break;
            case 2:
                for (std::uint32_t n = 0; n < pick(step.b, 40); ++n) {
                    entry.retries.onRequest("draft");
                    m_requests.push_back(m_clock.now());
                }
                break;
            default:
                for (std::uint32_t n = 0; n < pick(step.b, 40); ++n)
                    retry(entry);
            }
            return m_violation;
        }

    private:
        static constexpr double coldRate = 2.5;
        static constexpr double maxColdSends = coldRate * 1.5 + 3;

        bool is(std::string_view mutant) const { return m_mutant == mutant; }

        void run(Duration time)
        {
            for (const auto until = m_clock.now() + time; m_clock.now() < until;) {
                m_clock.advance(milliseconds(25));
                exchangeHeartbeats();
                for (auto& it : m_entries)
                    sendCold(*it);
            }
        }

        void exchangeHeartbeats()
        {
            if (m_clock.now() - m_lastHeartbeat < milliseconds(100))
                return;
            m_lastHeartbeat = m_clock.now();
            ++m_sequence;
            for (const auto& from : m_entries) {
                fleetwire::Heartbeat heartbeat;
                fleetwire::Profile profile;
                profile.instance = from->settings.instance;
                profile.region = "sofia";
                heartbeat.__set_profile(profile);
                heartbeat.sender = hashOfInstance(profile.instance);
                heartbeat.incarnation = 1;
                heartbeat.sequence = m_sequence;
                for (const auto& to : m_entries) {
                    if (to != from && to->partition == from->partition)
                        to->members.onHeartbeat(heartbeat);
                }
            }
            for (const auto& it : m_entries)
                it->members.updateActiveInstances("sofia");
        }

        void sendCold(EntryInstance& entry)
        {
            const auto plan = entry.dispatcher.planLocal("draft", {}, seconds(1), {}, {}, std::nullopt);
            const bool owner = plan.choice.best.has_value();
            const auto& known = entry.serverTracker.statusOf(plan.servers.front()->identityHash);
            const bool ignoresOwner = is("everyone sends to a cold server") && m_clock.now() - known.lastColdSend > milliseconds(300);
            if (!owner && !ignoresOwner)
                return;
            entry.serverTracker.recordColdSend(plan.servers.front()->identityHash);
            m_coldSends.push_back(m_clock.now());
            while (m_coldSends.front() <= m_clock.now() - seconds(1))
                m_coldSends.pop_front();
            if (static_cast<double>(m_coldSends.size()) > maxColdSends)
                m_violation = "a cold server got more requests in a second than it takes";
        }

        void retry(EntryInstance& entry)
        {
            const bool allowed = entry.retries.tryRetry("draft");
            if (!allowed && !(is("repeats are not asked for") && ++m_refusedRetries % 2 == 0))
                return;
            const RetryBudgetLimits bound;
            m_retries.push_back(m_clock.now());
            const auto within = [&](const std::deque<Instant>& times, Duration ago) {
                const auto end = m_clock.now() - ago;
                return static_cast<double>(std::ranges::count_if(times, [&](Instant it) { return it >= end - bound.window && it <= end; }));
            };
            // The largest request count of three windows applies: the current one, the one half a window earlier and the one a whole window earlier.
            const auto requests = std::max({ within(m_requests, {}), within(m_requests, bound.window / 2), within(m_requests, bound.window) });
            if (within(m_retries, {}) > bound.ratio * requests + bound.slack)
                m_violation = "more repeats in a window than all instances together may send";
        }

        std::string m_mutant;
        VirtualClock m_clock;
        test::WordItems m_items;
        std::array<std::unique_ptr<EntryInstance>, entryCount> m_entries;
        std::deque<Instant> m_coldSends;
        std::deque<Instant> m_requests;
        std::deque<Instant> m_retries;
        Instant m_lastHeartbeat {};
        std::int64_t m_sequence = 0;
        std::uint64_t m_refusedRetries = 0;
        std::optional<std::string> m_violation;
    };

    class SharedBoundsCheck final : public Check {
    public:
        std::vector<std::string> mutants() const override { return { "everyone sends to a cold server", "repeats are not asked for" }; }

        std::optional<std::string> run(std::span<const Step> steps, std::string_view mutant) override
        {
            initialiseLog("error", "fuzz");
            SharedLimitsSimulation simulation(mutant);
            for (const auto& step : steps) {
                if (auto violation = simulation.apply(step))
                    return violation;
            }
            return std::nullopt;
        }
    };

    const Registrar<Check, PublishedCheck> registeredPublished { "published" };
    const Registrar<Check, SharedBoundsCheck> registeredBounds { "shared_bounds" };

} // namespace
} // namespace yuccashift::fuzzing
