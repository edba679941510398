#include "benchmarks/capacity/measure.hpp"
#include "benchmarks/capacity/samples.hpp"

#include "yuccashift/document/parser.hpp"

#include <optional>
#include <stdexcept>

namespace yuccashift::capacity {

namespace {

    constexpr auto backendSizes = { 30.0, 120.0, 480.0, 1920.0 };
    constexpr auto organisationSizes = { 10.0, 40.0, 160.0, 640.0 };

    Document parseOrThrow(const std::string& text)
    {
        auto parsed = parseDocument(text);
        if (!parsed)
            throw std::runtime_error("invalid sample document: expected " + parsed.error().front().expected);
        return std::move(*parsed);
    }

    using MakeText = std::string (*)(std::size_t size);

    std::string textWithBackends(std::size_t backends)
    {
        return modelDocumentText("yucca-draft", 1, backends, 1);
    }

    std::string textWithOrganisations(std::size_t organisations)
    {
        return modelDocumentText("yucca-draft", 1, 1, organisations);
    }

    void addTextSlopes(Slopes& slopes, const std::string& name, const std::string& against, std::initializer_list<double> sizes, MakeText make)
    {
        addSlope(slopes, measureSlope(name + ".text", "bytes", against, sizes, [&](std::size_t n) {
            return static_cast<double>(make(n).size());
        }));
        addSlope(slopes, measureSlope(name + ".parse", "us", against, sizes, [&](std::size_t n) {
            const auto text = make(n);
            return microsecondsOf([&] { parseOrThrow(text); });
        }));
        addSlope(slopes, measureSlope(name + ".memory", "bytes", against, sizes, [&](std::size_t n) {
            const auto text = make(n);
            std::optional<Document> kept;
            return heapBytesKeptBy([&] { kept = parseOrThrow(text); });
        }));
    }

} // namespace

void addDocumentSlopes(Slopes& slopes)
{
    addTextSlopes(slopes, "document_backend", "backend server", backendSizes, textWithBackends);
    addTextSlopes(slopes, "document_organisation", "organisation", organisationSizes, textWithOrganisations);
}

} // namespace yuccashift::capacity
