#pragma once

#include "yuccashift/fleet/backend_server.hpp"
#include "yuccashift/fleet/item_replica.hpp"
#include "yuccashift/fleet/route_config.hpp"
#include "yuccashift/fleet/software_versions.hpp"
#include "yuccashift/fleet/stream_ages.hpp"

#include <array>
#include <map>
#include <memory>
#include <set>
#include <string_view>
#include <variant>

namespace yuccashift {

/** A decoded item that describes a backend server. */
struct ServerEntry {
    BackendServer server;
    /** How long the server stays cold after the entry is applied. */
    Duration coldFor {};
    /** Time until the server exits, if it announced that it leaves soon. */
    std::optional<Duration> timeToDeparture;
};
/** A decoded item that marks a data centre as evacuated. */
struct EvacuatedDatacentre {
    DatacentreName datacentre;
};
/** An item that could not be decoded, with the reason for the log. */
struct InvalidItem {
    std::string reason;
};
/** An item of a kind that the gateway does not use. */
struct IgnoredItem {
};
using DecodedItem = std::variant<IgnoredItem, InvalidItem, ServerEntry, RouteConfig, EvacuatedDatacentre>;

/** Decodes the platform's items. Has no state: the same item gives the same result on every instance. */
class ItemDecoder {
public:
    virtual ~ItemDecoder();
    virtual DecodedItem decode(std::string_view key, std::string_view value) const = 0;
};

/** Receives the changes that FleetState applies. */
class FleetObserver {
public:
    virtual ~FleetObserver();
    /** The server was removed, or is draining. */
    virtual void onServerGone(const BackendServer&) = 0;
    /** The server was removed. Follows onServerGone(). */
    virtual void onServerRemoved(const BackendServer&) = 0;
    /** The server is new, or is no longer draining. */
    virtual void onServerAdded(const BackendServer&) = 0;
    virtual void onConfig(const RouteIndex&) = 0;
};

/** Why the removals of servers are deferred. */
enum class Deferral {
    /** Many servers disappear at once. */
    MassRemoval,
    /** The store was away or begins an era, so that servers could not register for a while. */
    Outage,
};

constexpr std::size_t deferralReasons = 2;

std::string_view toString(Deferral);

/**
 * The configuration, the backend servers and the evacuated data centres, as
 * decoded from the published items that this instance knows. A configuration is
 * never replaced by an older version.
 */
class FleetState {
public:
    FleetState(const Clock&, const ItemDecoder&);

    void setObserver(FleetObserver* observer) { m_observer = observer; }

    /** Applies changes from a watch; see ItemReplica::apply(). */
    void apply(std::span<const ItemChange>, std::int64_t through);
    /** Applies a value that followed its change; see ItemReplica::applyValue(). */
    void applyValue(const ItemChange&);
    /** Applies a complete listing; see ItemReplica::replaceAll(). */
    void replaceAll(std::span<const ItemChange>, std::int64_t through);
    /**
     * Applies the first listing of an era; see ItemReplica::beginEra(). What the listing lacks is dropped after a delay,
     * because its writers write it again. What was known of departures holds, though the listing may be older.
     */
    void beginEra(std::int64_t era, std::span<const ItemChange> listing, std::int64_t through);

    /** To be called when the platform's store stops answering; it was last heard at `since`. */
    void onStoreUnreachable(Instant since);
    /**
     * To be called when it answers again. After an outage in which entries may have expired, their
     * servers register again soon, so removals take effect only after a delay.
     */
    void onStoreReachable();
    /** Carries out the deferred removals that are due. */
    void tick();
    /** Number of servers and evacuations whose removal is known and has not taken effect. */
    std::size_t waitingRemovals() const { return m_deferredRemovals.size(); }
    /** Number of removals that were deferred for this reason since the start. */
    std::uint64_t deferredRemovals(Deferral reason) const { return m_deferralCounts.at(static_cast<std::size_t>(reason)); }

    /** To be called when the instance had all changes that were published until then, by the store or by another instance. */
    void confirm(Instant asOf);
    /** To be called when the process did not run for a while, in which it has missed changes. */
    void onPause();
    /** Whether the instance had all published changes a short time ago. */
    bool isConfirmed() const;
    /** The latest time at which it had them; std::nullopt if that is not known. */
    std::optional<Instant> confirmedAt() const { return m_confirmedAt; }

    /** See SoftwareVersions::onFirstStart(). */
    void onFirstStart();
    /** See ItemReplica::setFirstEra(). */
    void setFirstEra(std::int64_t era) { m_replica.setFirstEra(era); }
    const ItemReplica& replica() const { return m_replica; }
    /** Null until the first configuration arrives. */
    std::shared_ptr<const RouteIndex> routes() const { return m_routes; }
    std::int64_t configVersion() const { return m_routes ? m_routes->config().version : 0; }
    const std::map<std::string, BackendServer>& servers() const { return m_servers; }
    /** Which software the published servers run, draining ones included. */
    const SoftwareVersions& softwareVersions() const { return m_softwareVersions; }
    /** Takes what another instance has followed of the software versions. */
    void onSoftwareReport(const SingleSoftware& report, std::uint64_t reporter = 0) { m_softwareVersions.onReport(report, m_clock.now(), reporter); }
    /** Takes the digest of the software that another instance knew at a position of the store; see SoftwareVersions::onDigestOfOther(). */
    void onSoftwareDigestOfOther(std::uint64_t digest, const StorePosition&);
    /** What other instances may conclude from what this one has followed. */
    SingleSoftware softwareReport() const;
    /** How old the streams may be that callers resume. */
    const StreamAges& streamAges() const { return m_streamAges; }
    /** See StreamAges::onCallerDeadline(). */
    void onCallerDeadline(const Route& route, Duration deadline) { m_streamAges.onCallerDeadline(route, deadline, m_clock.now()); }
    /** See StreamAges::onReportedDeadline(). */
    void onReportedDeadline(Duration deadline) { m_streamAges.onReportedDeadline(deadline, m_clock.now()); }
    /** Takes the versions of the present and the earlier configurations of another instance, and the longest age of their streams. */
    void onConfigsOfOther(std::int64_t version, std::span<const std::int64_t> formerVersions, Duration streamAge);
    bool evacuated(const DatacentreName& datacentre) const { return m_evacuated.contains(datacentre); }
    /** Marks a server as cold after it said so in an answer, which is newer than its entry. */
    void setCold(const std::string& id, Instant until);

private:
    struct DeferredRemoval {
        Instant due;
        Instant learnedAt;
        Deferral reason;
    };

    void deferRemovals(Deferral);
    void deferRemoval(const std::string& key, Instant learnedAt);
    bool isStoreAway() const;
    void endEvacuation(const std::string& key);
    void rememberDeparture(const BackendServer&);
    void deferIfMassRemoval(std::span<const ItemChange>);
    void onChanges(std::span<const ItemChange>);
    void onItem(const ItemChange&);
    void onRouteConfig(RouteConfig, std::int64_t revision);
    void updateServer(const std::string& key, ServerEntry);
    void removeServer(const std::string& key);
    void onRemoved(const ItemChange&);

    const Clock& m_clock;
    const ItemDecoder& m_decoder;
    FleetObserver* m_observer = nullptr;
    ItemReplica m_replica;
    std::shared_ptr<const RouteIndex> m_routes;
    /** Servers by their item's key. */
    std::map<std::string, BackendServer> m_servers;
    SoftwareVersions m_softwareVersions;
    StreamAges m_streamAges;
    /** Digests of the software of other instances that knew more than this one, with their positions. */
    std::map<std::uint64_t, StorePosition> m_laterSoftware;
    std::optional<Instant> m_confirmedAt;
    /** Whether the instance was out of step and has not received the newest configuration since. */
    bool m_mayHaveMissedConfigs = false;
    /** Evacuated data centres by their item's key. */
    std::map<std::string, DatacentreName> m_evacuations;
    std::set<DatacentreName> m_evacuated;
    /** Removals of servers and evacuations that have not taken effect, by the item's key. */
    std::map<std::string, DeferredRemoval> m_deferredRemovals;
    /** Removals that become known before this time are deferred until then. */
    Instant m_removalsDeferredUntil {};
    Deferral m_deferralReason = Deferral::Outage;
    std::array<std::uint64_t, deferralReasons> m_deferralCounts {};
    /** When the store was last heard, while it does not answer. */
    std::optional<Instant> m_storeLastHeard;
    /** Whether the items being applied may be older than what was known before. */
    bool m_beginningEra = false;
    /** Whether the whole system has started for the first time, so that no configuration was in force before. */
    bool m_firstStart = false;
    /** Identity hashes of the servers that drained or were removed, with the time. */
    std::map<std::uint64_t, Instant> m_departures;
};

} // namespace yuccashift
