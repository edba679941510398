#include "yuccashift/document/document.hpp"

#include <algorithm>

namespace yuccashift {

std::string_view toString(ServiceKind kind)
{
    return kind == ServiceKind::Model ? "model" : "plain";
}

std::string_view toString(Priority priority)
{
    switch (priority) {
    case Priority::Urgent:
        return "urgent";
    case Priority::Normal:
        return "normal";
    case Priority::Batch:
        break;
    }
    return "batch";
}

std::string_view toString(FenceMode mode)
{
    return mode == FenceMode::Checked ? "checked" : "ignored";
}

std::string_view toString(BackendRole role)
{
    switch (role) {
    case BackendRole::Both:
        return "both";
    case BackendRole::Prefill:
        return "prefill";
    case BackendRole::Decode:
        break;
    }
    return "decode";
}

std::string_view toString(SpillMode mode)
{
    return mode == SpillMode::Never ? "never" : "when-loaded";
}

double costOf(const FleetLimitSpec& limit, std::optional<std::uint64_t> tokens)
{
    if (!limit.countsTokens)
        return 1;
    return tokens ? static_cast<double>(*tokens) : limit.plainTokens;
}

const ModelSpec* findModel(const Document& document, std::string_view name)
{
    const auto it = std::ranges::find(document.models, name, &ModelSpec::name);
    return it == document.models.end() ? nullptr : &*it;
}

const OrganisationSpec* findOrganisation(const Document& document, std::string_view name)
{
    const auto it = std::ranges::find(document.organisations, name, &OrganisationSpec::name);
    return it == document.organisations.end() ? nullptr : &*it;
}

bool holdsModel(const BackendSpec& backend, std::string_view model)
{
    return backend.models.empty() || std::ranges::find(backend.models, model) != backend.models.end();
}

} // namespace yuccashift
