#pragma once

#include "yuccashift/config/document_store.hpp"

#include <string_view>

namespace yuccashift {

/** The parts of a caller's request that determine its route. */
struct RouteQuery {
    std::string_view method;
    /** Path without the query string. */
    std::string_view path;
    /** The `model` field of the body, as `name` or `name:adapter`; empty for plain services. */
    std::string_view model;
};

/** Service, route and model of a request. The pointers are valid as long as `document` is held. */
struct ResolvedRoute {
    DocumentPtr document;
    std::shared_ptr<const OrganisationIndex> organisations;
    const RouteSpec* route = nullptr;
    /** nullptr for plain services. */
    const ModelSpec* model = nullptr;
    /** Empty if the request does not name an adapter. */
    std::string adapter;
};

/** Request path of all model services. */
constexpr std::string_view chatCompletionsPath = "/v1/chat/completions";

/**
 * Resolves requests against one set of documents. Immutable; build a new table
 * when the generation of the set changes.
 */
class RouteTable {
public:
    explicit RouteTable(DocumentSetPtr);

    /**
     * Finds the service, route and model of a request. Plain services match by the
     * longest path prefix, model services by the name of the model. If several
     * services offer the same model, the first by service name is chosen.
     * Errors: UnknownService, UnknownRoute, UnknownModel.
     */
    Result<ResolvedRoute> resolve(const RouteQuery&) const;

    const DocumentSetPtr& documents() const { return m_documents; }

private:
    Result<ResolvedRoute> resolveModel(const RouteQuery&) const;
    Result<ResolvedRoute> resolvePlain(const RouteQuery&) const;

    struct OfferedModel {
        const StoredDocument* held = nullptr;
        const ModelSpec* model = nullptr;
    };

    struct PlainPrefix {
        std::string prefix;
        const StoredDocument* held = nullptr;
    };

    DocumentSetPtr m_documents;
    std::map<std::string, OfferedModel, std::less<>> m_models;
    /** Longest prefix first. */
    std::vector<PlainPrefix> m_prefixes;
};

/** Returns the organisation to which this bearer credential belongs, or Unauthenticated if there is none. */
Result<const OrganisationSpec*> findOrganisationByCredential(const OrganisationIndex&, std::string_view credential);

} // namespace yuccashift
