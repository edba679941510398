#pragma once

#include "yuccashift/fleet/backend_server.hpp"
#include "yuccashift/fleet/item_replica.hpp"
#include "yuccashift/fleet/route_config.hpp"

#include <map>
#include <memory>
#include <set>
#include <variant>

namespace yuccashift {

/** A published item after decoding. */
struct ServerEntry {
    BackendServer server;
    /** How long the server stays cold from now on. */
    Duration coldFor {};
    /** Time until the server is gone, where it leaves at short notice. */
    std::optional<Duration> timeToDeparture;
};
struct EvacuatedDatacentre {
    DatacentreName datacentre;
};
/** An item that names nothing usable; the reason is for the log. */
struct InvalidItem {
    std::string reason;
};
/** An item that concerns something else. */
struct IgnoredItem {
};
using DecodedItem = std::variant<IgnoredItem, InvalidItem, ServerEntry, RouteConfig, EvacuatedDatacentre>;

/** Decodes the platform's items. Pure: the same item gives the same result on every instance. */
class ItemDecoder {
public:
    virtual ~ItemDecoder();
    virtual DecodedItem decode(std::string_view key, std::string_view value) const = 0;
};

/** Told of what changed in the world. */
class FleetObserver {
public:
    virtual ~FleetObserver();
    virtual void onServerGone(const BackendServer&) = 0;
    virtual void onServerAdded(const BackendServer&) = 0;
    virtual void onConfig(const RouteIndex&) = 0;
};

/**
 * What this instance believes about configuration, backend servers and
 * evacuated data centres. A configuration never gives way to an older one.
 */
class FleetState {
public:
    FleetState(const Clock&, const ItemDecoder&);

    void setObserver(FleetObserver* observer) { m_observer = observer; }

    /** Changes from a watch; see ItemReplica. */
    void apply(std::span<const ItemChange>, std::int64_t through);
    /** A whole listing; see ItemReplica. */
    void replaceAll(std::span<const ItemChange>, std::int64_t through);

    /**
     * To be called when the list is back after an outage: removals wait before
     * they take effect, since entries that lapsed meanwhile come back.
     */
    void deferRemovals();
    /** Carries out removals and notices that are due. */
    void tick();

    const ItemReplica& replica() const { return m_held; }
    /** Null until a configuration is known. */
    std::shared_ptr<const RouteIndex> routes() const { return m_routes; }
    std::int64_t configVersion() const { return m_routes ? m_routes->config().version : 0; }
    const std::map<std::string, BackendServer>& servers() const { return m_servers; }
    bool evacuated(const DatacentreName& datacentre) const { return m_evacuated.contains(datacentre); }
    /** The server learned to be cold from its own answer, after its entry was written. */
    void setCold(const std::string& id, Instant until);

private:
    void holdRemovalsUntil(Instant);
    void holdIfMostVanish(std::span<const ItemChange>);
    void onChanges(std::span<const ItemChange>);
    void onItem(const ItemChange&);
    void onServer(const std::string& key, ServerEntry);
    void removeServer(const std::string& key);
    void onRemoved(const std::string& key);

    const Clock& m_clock;
    const ItemDecoder& m_decoder;
    FleetObserver* m_observer = nullptr;
    ItemReplica m_held;
    std::shared_ptr<const RouteIndex> m_routes;
    /** Servers by the key of their item. */
    std::map<std::string, BackendServer> m_servers;
    std::map<std::string, DatacentreName> m_evacuationKeys;
    std::set<DatacentreName> m_evacuated;
    std::set<std::string> m_heldRemovals;
    Instant m_removalsHeldUntil {};
};

} // namespace yuccashift
