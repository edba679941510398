#include "yuccashift/config/route_table.hpp"

#include <algorithm>

namespace yuccashift {

namespace {

    struct ModelName {
        std::string_view model;
        std::string_view adapter;
    };

    ModelName splitModelName(std::string_view text)
    {
        const auto colon = text.find(':');
        if (colon == std::string_view::npos)
            return { text, {} };
        return { text.substr(0, colon), text.substr(colon + 1) };
    }

    bool pathMatches(std::string_view pattern, std::string_view path)
    {
        if (pattern.ends_with('*'))
            return path.starts_with(pattern.substr(0, pattern.size() - 1));
        return pattern == path;
    }

    const RouteSpec* findRoute(const Document& document, std::string_view method, std::string_view path)
    {
        const auto matches = [&](const RouteSpec& route) {
            return (route.method == "*" || route.method == method) && pathMatches(route.path, path);
        };
        const auto it = std::ranges::find_if(document.routes, matches);
        return it == document.routes.end() ? nullptr : &*it;
    }

    // `/pass` is a prefix of `/pass` and `/pass/x`, not of `/passport`.
    bool hasPathPrefix(std::string_view path, std::string_view prefix)
    {
        if (!path.starts_with(prefix))
            return false;
        return path.size() == prefix.size() || prefix.ends_with('/') || path[prefix.size()] == '/';
    }

    std::string_view stripPathPrefix(std::string_view path, std::string_view prefix)
    {
        const auto rest = path.substr(prefix.ends_with('/') ? prefix.size() - 1 : prefix.size());
        return rest.empty() ? "/" : rest;
    }

} // namespace

RouteTable::RouteTable(DocumentSetPtr documents)
    : m_documents(std::move(documents))
{
    for (const auto& [service, held] : m_documents->documents) {
        if (held.document->deleted)
            continue;
        if (held.document->kind == ServiceKind::Plain)
            m_prefixes.push_back({ held.document->pathPrefix, &held });
        for (const auto& model : held.document->models)
            m_models.emplace(model.name, OfferedModel { &held, &model });
    }
    // A stable sort, so that if two services have the same prefix, every instance chooses the first by service name.
    std::ranges::stable_sort(m_prefixes, [](const auto& left, const auto& right) { return left.prefix.size() > right.prefix.size(); });
}

Result<ResolvedRoute> RouteTable::resolve(const RouteQuery& query) const
{
    return query.path == chatCompletionsPath ? resolveModel(query) : resolvePlain(query);
}

Result<ResolvedRoute> RouteTable::resolveModel(const RouteQuery& query) const
{
    const auto name = splitModelName(query.model);
    const auto it = m_models.find(name.model);
    if (it == m_models.end())
        return fail(ErrorKind::UnknownModel, "no service offers the model '" + std::string(name.model) + "'");
    const auto& [held, model] = it->second;
    const auto& document = held->document;
    if (!name.adapter.empty() && std::ranges::find(model->adapters, name.adapter) == model->adapters.end())
        return fail(ErrorKind::UnknownModel, "the model has no adapter '" + std::string(name.adapter) + "'");
    const auto* route = findRoute(*document, query.method, query.path);
    if (route == nullptr)
        return fail(ErrorKind::UnknownRoute, "the service '" + document->service + "' has no such route");
    return ResolvedRoute { document, held->organisations, route, model, std::string(name.adapter) };
}

Result<ResolvedRoute> RouteTable::resolvePlain(const RouteQuery& query) const
{
    const auto it = std::ranges::find_if(m_prefixes, [&](const auto& plain) { return hasPathPrefix(query.path, plain.prefix); });
    if (it == m_prefixes.end())
        return fail(ErrorKind::UnknownService, "no service at this path");
    const auto& document = it->held->document;
    const auto* route = findRoute(*document, query.method, stripPathPrefix(query.path, it->prefix));
    // The paths in a document may also include the prefix of the service.
    if (route == nullptr)
        route = findRoute(*document, query.method, query.path);
    if (route == nullptr)
        return fail(ErrorKind::UnknownRoute, "the service '" + document->service + "' has no such route");
    return ResolvedRoute { document, it->held->organisations, route, nullptr, {} };
}

Result<const OrganisationSpec*> findOrganisationByCredential(const OrganisationIndex& organisations, std::string_view credential)
{
    if (credential.empty())
        return fail(ErrorKind::Unauthenticated, "no bearer credential");
    if (const auto* organisation = organisations.findByCredential(credential))
        return organisation;
    return fail(ErrorKind::Unauthenticated, "the credential is not known to this service");
}

} // namespace yuccashift
