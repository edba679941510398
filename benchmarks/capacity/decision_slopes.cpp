#include "benchmarks/capacity/measure.hpp"

#include "yuccashift/admission/admission_queue.hpp"
#include "yuccashift/kernel/registry.hpp"
#include "yuccashift/limits/shared_limits.hpp"
#include "yuccashift/routing/backend_load_tracker.hpp"
#include "yuccashift/routing/policies.hpp"
#include "yuccashift/routing/prefix_blocks.hpp"
#include "yuccashift/routing/prefix_cache_tracker.hpp"

#include <stdexcept>

namespace yuccashift::capacity {

namespace {

    constexpr auto workerSizes = { 30.0, 120.0, 480.0, 1920.0 };
    constexpr auto organisationSizes = { 10.0, 50.0, 210.0, 840.0 };
    constexpr auto instanceSizes = { 8.0, 32.0, 128.0, 370.0 };
    constexpr std::size_t promptBlocks = 62;
    constexpr Instant start { seconds(1000) };

    Document makeDocument(std::size_t workers)
    {
        Document document;
        document.service = "yucca-draft";
        document.kind = ServiceKind::Model;
        document.models.push_back({ "draft-8b", "v3", {} });
        document.regions = { "ikeja-hall" };
        for (std::size_t n = 0; n < workers; ++n) {
            BackendSpec backend;
            backend.name = "worker-" + std::to_string(n);
            backend.region = "ikeja-hall";
            backend.datacentre = n % 3 == 0 ? "ikeja-hall-a" : "ikeja-hall-b";
            document.backends.push_back(std::move(backend));
        }
        return document;
    }

    LoadReport makeReport(RandomSource& random, std::uint64_t sequence)
    {
        LoadReport report;
        report.sequence = sequence;
        report.running = static_cast<std::uint32_t>(random.uniformBelow(16));
        report.waiting = static_cast<std::uint32_t>(random.uniformBelow(4));
        report.queuedTokens = random.uniformBelow(2000);
        report.prefillTokensPerSecond = 8000;
        report.decodeTokensPerSecond = 900;
        report.models.push_back({ "draft-8b", "v3", { "bik" } });
        return report;
    }

    RequestTraits makeRequest()
    {
        RequestTraits request;
        request.service = "yucca-draft";
        request.organisation = "organisation-7";
        request.model = "draft-8b";
        request.deadline = start + seconds(30);
        request.promptTokens = 1000;
        request.expectedOutputTokens = 238;
        request.allowedRegions = { "ikeja-hall" };
        for (std::size_t n = 0; n < promptBlocks; ++n)
            request.prefixBlocks.push_back(n + 1);
        return request;
    }

    BackendLoadTrackerSettings trackerSettings()
    {
        BackendLoadTrackerSettings settings;
        settings.localRegion = "ikeja-hall";
        settings.datacentre = "ikeja-hall-a";
        return settings;
    }

    /** A load tracker that has received a report of every backend server in its document. */
    struct Region {
        explicit Region(std::size_t workers)
            : document(makeDocument(workers))
            , loadTracker(trackerSettings())
        {
            for (const auto& backend : document.backends)
                loadTracker.onReport({ document.service, backend.name }, makeReport(random, 1), start);
        }

        SeededRandom random { 5 };
        Document document;
        BackendLoadTracker loadTracker;
        PrefixCacheTracker caches;
    };

    void addLoadSlopes(Slopes& slopes)
    {
        addSlope(slopes, measureSlope("load_book.memory", "bytes", "backend server", workerSizes, [](std::size_t n) {
            const auto document = makeDocument(n);
            SeededRandom random(5);
            BackendLoadTracker loadTracker(trackerSettings());
            return heapBytesKeptBy([&] {
                for (const auto& backend : document.backends)
                    loadTracker.onReport({ document.service, backend.name }, makeReport(random, 1), start);
            });
        }));
        addSlope(slopes, measureSlope("load_book.report", "us", "backend server known", workerSizes, [](std::size_t n) {
            Region region(n);
            auto now = start;
            std::size_t next = 0;
            return microsecondsOf([&] {
                now += microseconds(10);
                const auto& backend = region.document.backends[next++ % n];
                region.loadTracker.onReport({ region.document.service, backend.name }, makeReport(region.random, next), now);
            });
        }));
    }

    void addDecisionTimeSlopes(Slopes& slopes)
    {
        const auto policy = Registry<BackendPolicy>::instance().create("expected-latency");
        addSlope(slopes, measureSlope("decision.backend", "us", "backend server in the region", workerSizes, [&](std::size_t n) {
            Region region(n);
            const auto request = makeRequest();
            return microsecondsOf([&] {
                const auto states = region.loadTracker.states(region.document, request, start, &region.caches);
                policy->choose(request, states, start, region.random);
            });
        }));
        addSlope(slopes, measureSlope("decision.prefix", "us", "prompt token", { 64, 256, 1024, 4096 }, [](std::size_t n) {
            const std::string prompt(n * bytesPerToken, 'p');
            return microsecondsOf([&] { prefixBlocks(prompt, 16); });
        }));
    }

    void addCacheSlopes(Slopes& slopes)
    {
        addSlope(slopes, measureSlope("cache_view.event", "us", "backend server known", workerSizes, [](std::size_t n) {
            const auto document = makeDocument(n);
            PrefixCacheTracker caches;
            std::uint64_t sequence = 0;
            std::size_t next = 0;
            return microsecondsOf([&] {
                const CacheEvent event { ++sequence, true, sequence };
                caches.onEvents({ document.service, document.backends[next++ % n].name }, std::span(&event, 1));
            });
        }));
        addSlope(slopes, measureSlope("cache_view.memory", "bytes", "block held", { 512, 1024, 2048, 4096 }, [](std::size_t n) {
            std::vector<std::uint64_t> blocks(n);
            for (std::size_t k = 0; k < n; ++k)
                blocks[k] = k + 1;
            PrefixCacheTracker caches;
            return heapBytesKeptBy([&] { caches.onSent({ "yucca-draft", "worker-1" }, blocks); });
        }));
        addSlope(slopes, measureSlope("cache_view.memory_all", "bytes", "backend server used, 8192 blocks each", { 500, 1000, 2500, 5000 }, [](std::size_t n) {
            constexpr std::size_t blocksPerBackend = 8192;
            const auto document = makeDocument(n);
            std::vector<std::uint64_t> blocks(blocksPerBackend);
            for (std::size_t k = 0; k < blocksPerBackend; ++k)
                blocks[k] = k + 1;
            PrefixCacheTracker caches;
            return heapBytesKeptBy([&] {
                for (const auto& backend : document.backends)
                    caches.onSent({ document.service, backend.name }, blocks);
            });
        }));
    }

    WaitingRequest makeWaiting(std::uint64_t id, std::size_t organisations)
    {
        WaitingRequest request;
        request.id = id;
        request.organisation = "organisation-" + std::to_string(id % organisations);
        request.priority = static_cast<Priority>(id % 3);
        request.deadline = start + seconds(30) + milliseconds(id % 1000);
        request.expectedServiceTime = milliseconds(100);
        return request;
    }

    void addQueueSlopes(Slopes& slopes)
    {
        addSlope(slopes, measureSlope("admission.push_pop", "us", "organisation waiting", organisationSizes, [](std::size_t n) {
            AdmissionQueue queue(4 * n);
            std::uint64_t id = 0;
            for (; id < 2 * n; ++id)
                (void)queue.push(makeWaiting(id, n), milliseconds(1), start);
            return microsecondsOf([&] {
                (void)queue.push(makeWaiting(id++, n), milliseconds(1), start);
                queue.pop(start);
            });
        }));
        addSlope(slopes, measureSlope("admission.memory", "bytes", "request waiting", organisationSizes, [](std::size_t n) {
            AdmissionQueue queue(n);
            return heapBytesKeptBy([&] {
                for (std::uint64_t id = 0; id < n; ++id)
                    (void)queue.push(makeWaiting(id, 210), milliseconds(1), start);
            });
        }));
    }

    std::vector<DemandRate> makeDemands(std::size_t organisations)
    {
        std::vector<DemandRate> demands;
        for (std::size_t n = 0; n < organisations; ++n)
            demands.push_back({ demandKey("yucca-draft", "organisation-" + std::to_string(n)), 3, 700 });
        return demands;
    }

    void addLimitSlopes(Slopes& slopes)
    {
        constexpr std::size_t organisations = 210;
        addSlope(slopes, measureSlope("limits.memory", "bytes", "instance heard for 210 organisations", instanceSizes, [](std::size_t n) {
            SharedLimits limits("entry-0");
            const auto demands = makeDemands(organisations);
            return heapBytesKeptBy([&] {
                for (std::size_t k = 1; k <= n; ++k)
                    limits.onPeerDemand("ikeja-hall-entry-" + std::to_string(k), demands, start);
            });
        }));
        addSlope(slopes, measureSlope("limits.admit", "us", "instance heard", instanceSizes, [](std::size_t n) {
            SharedLimits limits("entry-0");
            const auto demands = makeDemands(organisations);
            for (std::size_t k = 1; k <= n; ++k)
                limits.onPeerDemand("ikeja-hall-entry-" + std::to_string(k), demands, start);
            OrganisationSpec organisation;
            organisation.name = "organisation-7";
            organisation.limits.requestsPerSecond = 1e8;
            auto now = start;
            return microsecondsOf([&] {
                now += milliseconds(10);
                (void)limits.admit("yucca-draft", organisation, now);
                limits.onFinish("yucca-draft", organisation);
            });
        }));
        addSlope(slopes, measureSlope("limits.heard", "us", "organisation told", organisationSizes, [](std::size_t n) {
            SharedLimits limits("entry-0");
            const auto demands = makeDemands(n);
            return microsecondsOf([&] { limits.onPeerDemand("entry-1", demands, start); });
        }));
    }

} // namespace

void addDecisionSlopes(Slopes& slopes)
{
    addLoadSlopes(slopes);
    addDecisionTimeSlopes(slopes);
    addCacheSlopes(slopes);
    addQueueSlopes(slopes);
    addLimitSlopes(slopes);
}

} // namespace yuccashift::capacity
