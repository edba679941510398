#include "yuccashift/orders/desired_placement.hpp"

#include <algorithm>
#include <map>
#include <tuple>

namespace yuccashift {

namespace {

    std::vector<ModelSpec> modelsOf(const Document& document, const BackendSpec& backend)
    {
        std::vector<ModelSpec> models;
        for (const auto& model : document.models) {
            if (holdsModel(backend, model.name))
                models.push_back(model);
        }
        return models;
    }

    DesiredEngineState desiredEngine(const Document& document, const BackendSpec& backend)
    {
        DesiredEngineState engine;
        engine.service = document.service;
        engine.backend = backend.name;
        engine.region = backend.region;
        engine.address = backend.address;
        engine.fenceMode = backend.fence;
        engine.fence = document.revision;
        engine.role = backend.role;
        engine.models = modelsOf(document, backend);
        return engine;
    }

    void markShared(std::vector<DesiredEngineState>& engines)
    {
        std::map<std::string, int> uses;
        for (const auto& engine : engines)
            ++uses[toString(engine.address)];
        for (auto& engine : engines)
            engine.addressShared = uses[toString(engine.address)] > 1;
    }

} // namespace

std::vector<DesiredEngineState> desiredPlacement(std::span<const DocumentPtr> documents)
{
    std::vector<DesiredEngineState> engines;
    for (const auto& document : documents) {
        if (document->deleted || document->kind != ServiceKind::Model)
            continue;
        for (const auto& backend : document->backends)
            engines.push_back(desiredEngine(*document, backend));
    }
    std::ranges::sort(engines, {}, [](const auto& engine) { return std::tie(engine.service, engine.backend); });
    markShared(engines);
    return engines;
}

} // namespace yuccashift
