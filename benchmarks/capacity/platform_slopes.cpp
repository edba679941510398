#include "benchmarks/capacity/measure.hpp"

#include "benchmarks/capacity/samples.hpp"
#include "peer_types.h"
#include "yuccashift/config/text_delta.hpp"
#include "yuccashift/orders/ownership.hpp"
#include "yuccashift/ports/json_bodies.hpp"

#include <sstream>
#include <stdexcept>

namespace yuccashift::capacity {

namespace {

    std::string loadReportBody(std::size_t models)
    {
        std::ostringstream out;
        out << R"({"sequence":123456,"running":12,"waiting":3,"queued_tokens":20000,"prefill_tokens_per_second":8000,)"
               R"("decode_tokens_per_second":900,"leaving":false,"role":"both","fence":1234,"models":[)";
        for (std::size_t n = 0; n < models; ++n)
            out << (n == 0 ? "" : ",") << R"({"name":"draft-8b-)" << n << R"(","version":"v3","adapters":["bik","pool"]})";
        out << "]}";
        return out.str();
    }

    std::string cacheEventsBody(std::size_t events)
    {
        std::ostringstream out;
        out << R"({"events":[)";
        for (std::size_t n = 0; n < events; ++n)
            out << (n == 0 ? "" : ",") << R"({"sequence":)" << 1000000 + n << R"(,"kind":"stored","block":"0123456789abcdef"})";
        out << "]}";
        return out.str();
    }

    std::string instancesBody(std::size_t instances)
    {
        std::ostringstream out;
        out << R"({"instances":[)";
        for (std::size_t n = 0; n < instances; ++n) {
            out << (n == 0 ? "" : ",") << R"({"instance":"ikeja-hall-entry-)" << n << R"(","region":"ikeja-hall","datacentre":"ikeja-hall-b",)"
                << R"("callers":"10.20.0.17:8080","peers":"10.20.0.17:7400","operators":"10.20.0.17:9100","state":"live"})";
        }
        out << R"(],"backends":[]})";
        return out.str();
    }

    std::string backendsBody(std::size_t backends)
    {
        std::ostringstream out;
        out << R"({"instances":[],"backends":[)";
        for (std::size_t n = 0; n < backends; ++n)
            out << (n == 0 ? "" : ",") << R"({"service":"yucca-draft","name":"worker-)" << n << R"(","state":"live"})";
        out << "]}";
        return out.str();
    }

    template <typename Parse>
    void addBodySlopes(Slopes& slopes, const std::string& name, const std::string& against, std::initializer_list<double> sizes, std::string (*make)(std::size_t), Parse parse)
    {
        addSlope(slopes, measureSlope(name + ".bytes", "bytes", against, sizes, [&](std::size_t n) { return static_cast<double>(make(n).size()); }));
        addSlope(slopes, measureSlope(name + ".parse", "us", against, sizes, [&](std::size_t n) {
            const auto body = make(n);
            if (!parse(body))
                throw std::runtime_error(name + ": the sample was rejected");
            return microsecondsOf([&] { (void)parse(body); });
        }));
    }

    void addOwnerSlopes(Slopes& slopes)
    {
        addSlope(slopes, measureSlope("owner.choose", "us", "instance of the region", { 8, 16, 64, 154 }, [](std::size_t n) {
            std::vector<OwnerCandidate> candidates;
            for (std::size_t k = 0; k < n; ++k)
                candidates.push_back({ "ikeja-hall-entry-" + std::to_string(k), "ikeja-hall" });
            const RegionalBackend backend { "yucca-draft", "worker-1182", "ikeja-hall" };
            return microsecondsOf([&] { (void)ownerOf(backend, candidates); });
        }));
    }

    void addOwnershipSlopes(Slopes& slopes)
    {
        constexpr std::size_t instances = 154;
        addSlope(slopes, measureSlope("ownership.unchanged", "us", "backend server of the region, 154 instances", { 500, 1000, 2500, 5000 }, [](std::size_t n) {
            std::vector<OwnerCandidate> candidates;
            for (std::size_t k = 0; k < instances; ++k)
                candidates.push_back({ "ikeja-hall-entry-" + std::to_string(k), "ikeja-hall" });
            std::vector<RegionalBackend> backends;
            for (std::size_t k = 0; k < n; ++k)
                backends.push_back({ "yucca-draft", "worker-" + std::to_string(k), "ikeja-hall" });
            Ownership ownership("ikeja-hall-entry-7", {});
            Instant now { seconds(1000) };
            ownership.update(backends, candidates, now);
            return microsecondsOf([&] { ownership.update(backends, candidates, now); });
        }));
    }

    constexpr auto documentSizes = { 120.0, 480.0, 1920.0, 7680.0 };

    // Measures the delta for a change of one backend server's address in a model service's document.
    void addDeltaSlopes(Slopes& slopes)
    {
        const auto change = [](std::size_t backends) {
            auto text = modelDocumentText("yucca-draft", 2, backends, 210);
            text.replace(text.find("10.0.0.7:"), 9, "10.9.9.9:");
            return text;
        };
        addSlope(slopes, measureSlope("delta.bytes", "bytes", "backend server in the document", documentSizes, [&](std::size_t n) {
            return static_cast<double>(textDeltaBytes(makeTextDelta(modelDocumentText("yucca-draft", 1, n, 210), change(n))));
        }));
        addSlope(slopes, measureSlope("delta.make", "us", "backend server in the document", documentSizes, [&](std::size_t n) {
            const auto base = modelDocumentText("yucca-draft", 1, n, 210);
            const auto target = change(n);
            return microsecondsOf([&] { makeTextDelta(base, target); });
        }));
    }

} // namespace

void addPlatformSlopes(Slopes& slopes)
{
    addBodySlopes(slopes, "load_report", "model held", { 1, 2, 4, 8 }, loadReportBody, detail::parseLoadReport);
    addBodySlopes(slopes, "cache_events", "event", { 16, 64, 256, 1024 }, cacheEventsBody, detail::parseCacheEvents);
    addBodySlopes(slopes, "list_instance", "instance listed", { 24, 96, 192, 370 }, instancesBody, detail::parseListing);
    addBodySlopes(slopes, "list_backend", "backend server listed", { 500, 2000, 5000, 12000 }, backendsBody, detail::parseListing);
    addOwnerSlopes(slopes);
    addOwnershipSlopes(slopes);
    addDeltaSlopes(slopes);
}

} // namespace yuccashift::capacity
