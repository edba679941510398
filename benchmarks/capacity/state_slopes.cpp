#include "benchmarks/capacity/measure.hpp"
#include "benchmarks/capacity/samples.hpp"
#include "benchmarks/support/control_traffic.hpp"

#include "yuccashift/config/document_store.hpp"
#include "yuccashift/config/route_table.hpp"
#include "yuccashift/kernel/random.hpp"
#include "yuccashift/keys/key_table.hpp"
#include "yuccashift/membership/member_table.hpp"
#include "yuccashift/ports/instance_list.hpp"
#include "yuccashift/resilience/quarantine.hpp"

#include <stdexcept>

namespace yuccashift::capacity {

namespace {

    constexpr auto regionSizes = { 8.0, 16.0, 64.0, 154.0 };
    constexpr auto fleetSizes = { 24.0, 96.0, 192.0, 370.0 };
    constexpr auto keySizes = { 1000.0, 4000.0, 16000.0, 64000.0 };
    constexpr auto documentSizes = { 10.0, 40.0, 160.0, 640.0 };
    constexpr Instant start { seconds(1000) };

    benchmarks::ControlFleet quietFleet(std::size_t members)
    {
        benchmarks::ControlFleet fleet;
        fleet.regionMembers = members;
        fleet.servicesPerRegion = 7;
        fleet.changesPerSecond = 0;
        fleet.measured = seconds(20);
        return fleet;
    }

    void addRegionSlopes(Slopes& slopes)
    {
        std::vector<Point> bytes;
        std::vector<Point> frames;
        std::vector<Point> time;
        std::vector<Point> loads;
        std::vector<Point> summaries;
        for (const double size : regionSizes) {
            const auto cost = benchmarks::measureControlTraffic(quietFleet(static_cast<std::size_t>(size)));
            bytes.push_back({ size, cost.sentPerSecond + cost.receivedPerSecond });
            frames.push_back({ size, cost.framesSentPerSecond });
            time.push_back({ size, cost.processorMicroseconds });
            loads.push_back({ size, cost.loadsReceivedPerSecond });
            summaries.push_back({ size, cost.summariesReceivedPerSecond });
        }
        addSlope(slopes, fitLine("region.bytes", "bytes/s, sent and received", "instance in the region", bytes));
        addSlope(slopes, fitLine("region.frames", "frames/s sent", "instance in the region", frames));
        addSlope(slopes, fitLine("region.time", "us/s", "instance in the region", time));
        addSlope(slopes, fitLine("region.loads", "loads/s heard", "instance in the region", loads));
        addSlope(slopes, fitLine("region.summaries", "summaries/s heard", "instance in the region", summaries));
    }

    void addDistributionSlopes(Slopes& slopes)
    {
        constexpr double changesPerSecond = 0.5;
        const auto quiet = benchmarks::measureControlTraffic(quietFleet(16));
        std::vector<Point> bytes;
        for (const double size : { 4096.0, 16384.0, 65536.0, 262144.0 }) {
            auto fleet = quietFleet(16);
            fleet.changesPerSecond = changesPerSecond;
            fleet.documentBytes = static_cast<std::size_t>(size);
            const auto cost = benchmarks::measureControlTraffic(fleet);
            const double more = cost.sentPerSecond + cost.receivedPerSecond - quiet.sentPerSecond - quiet.receivedPerSecond;
            bytes.push_back({ size, more / changesPerSecond });
        }
        addSlope(slopes, fitLine("spread.bytes", "bytes, sent and received", "byte of the changed document", bytes));
    }

    void addMemberSlopes(Slopes& slopes)
    {
        addSlope(slopes, measureSlope("member_table.memory", "bytes", "instance known", fleetSizes, [](std::size_t n) {
            InstanceListing listing;
            for (std::size_t k = 0; k < n; ++k) {
                const auto name = "ikeja-hall-entry-" + std::to_string(k);
                listing.instances.push_back({ name, "region-" + std::to_string(k % 24), "ikeja-hall-a", { "10.20.0.17", 8080 }, { "10.20.0.17", 7400 } });
            }
            MemberInfo self;
            self.instance = "ikeja-hall-entry-0";
            MemberTable table(self);
            return heapBytesKeptBy([&] { table.onListing(listing, start); });
        }));
    }

    KeyOwner owner()
    {
        return { "ikeja-hall-entry-7", 1780000000000, start, std::chrono::minutes(15) };
    }

    void addKeySlopes(Slopes& slopes)
    {
        addSlope(slopes, measureSlope("key_table.memory", "bytes", "key remembered", keySizes, [](std::size_t n) {
            const KeyMinter minter("ikeja-hall-entry-7", 1780000000000, start, "0123456789abcdef");
            SeededRandom random(1);
            KeyTable table(owner(), {});
            return heapBytesKeptBy([&] {
                for (std::size_t k = 0; k < n; ++k)
                    table.finishWithoutAnswer(table.begin(minter.mint("museum", start, random), k, start).ticket);
            });
        }));
        addSlope(slopes, measureSlope("key_table.run", "us", "key remembered", keySizes, [](std::size_t n) {
            const KeyMinter minter("ikeja-hall-entry-7", 1780000000000, start, "0123456789abcdef");
            SeededRandom random(1);
            KeyTable table(owner(), { 10000000 });
            for (std::size_t k = 0; k < n; ++k)
                table.finishWithoutAnswer(table.begin(minter.mint("museum", start, random), k, start).ticket);
            return microsecondsOf([&] {
                const auto key = minter.mint("museum", start, random);
                const auto parsed = parseMintedKey(toString(key), "museum", "0123456789abcdef");
                table.releaseNotRun(table.begin(*parsed, 1, start).ticket);
            });
        }));
        addSlope(slopes, measureSlope("quarantine.memory", "bytes", "suspect request", { 256, 512, 1024, 4096 }, [](std::size_t n) {
            Quarantine quarantine;
            return heapBytesKeptBy([&] {
                for (std::uint64_t k = 0; k < n; ++k)
                    quarantine.onBackendCrash(k, std::span(&k, 1), start);
            });
        }));
    }

    void fill(DocumentStore& store, std::size_t documents)
    {
        for (std::size_t n = 0; n < documents; ++n) {
            if (!store.accept(plainDocumentText("pass-ledger-" + std::to_string(n), 1)))
                throw std::runtime_error("sample document was not accepted");
        }
    }

    void addStoreSlopes(Slopes& slopes)
    {
        addSlope(slopes, measureSlope("store.memory", "bytes", "plain document", documentSizes, [](std::size_t n) {
            DocumentStore store;
            return heapBytesKeptBy([&] { fill(store, n); });
        }));
        addSlope(slopes, measureSlope("store.accept", "us", "document held", documentSizes, [](std::size_t n) {
            DocumentStore store;
            fill(store, n);
            std::uint64_t revision = 1;
            return microsecondsOf([&] { (void)store.accept(plainDocumentText("pass-ledger-0", ++revision)); });
        }));
        addSlope(slopes, measureSlope("store.accept_model", "us", "backend server in the document", { 30, 120, 480, 1920 }, [](std::size_t n) {
            DocumentStore store;
            std::uint64_t revision = 0;
            return microsecondsOf([&] { (void)store.accept(modelDocumentText("yucca-draft", ++revision, n, 1)); });
        }));
        addSlope(slopes, measureSlope("route_table.build", "us", "document held", documentSizes, [](std::size_t n) {
            DocumentStore store;
            fill(store, n);
            return microsecondsOf([&] { const RouteTable table(store.snapshot()); });
        }));
        addSlope(slopes, measureSlope("route_table.credential", "us", "organisation of the document", { 10, 50, 210, 840 }, [](std::size_t n) {
            DocumentStore store;
            (void)store.accept(modelDocumentText("yucca-draft", 1, 1, n));
            const auto document = store.find("yucca-draft");
            const OrganisationIndex organisations(document->organisations);
            return microsecondsOf([&] { (void)findOrganisationByCredential(organisations, "a credential that no organisation has"); });
        }));
    }

} // namespace

void addStateSlopes(Slopes& slopes)
{
    addRegionSlopes(slopes);
    addDistributionSlopes(slopes);
    addMemberSlopes(slopes);
    addKeySlopes(slopes);
    addStoreSlopes(slopes);
}

} // namespace yuccashift::capacity
