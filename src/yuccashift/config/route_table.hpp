#pragma once

#include "yuccashift/config/document_store.hpp"

#include <string_view>

namespace yuccashift {

/** What the resolver needs of a caller's request. */
struct RouteQuery {
    std::string_view method;
    /** Path without its query. */
    std::string_view path;
    /** The body's `model` field, `name` or `name:adapter`; empty for plain services. */
    std::string_view model;
};

/** A request's service, route and model. The pointers live as long as `document`. */
struct ResolvedRoute {
    DocumentPtr document;
    const RouteSpec* route = nullptr;
    /** Null for plain services. */
    const ModelSpec* model = nullptr;
    /** Empty where the request names none. */
    std::string adapter;
};

/** Path on which every model service is called. */
constexpr std::string_view chatCompletionsPath = "/v1/chat/completions";

/**
 * Requests resolved against one set of documents. Immutable once made; build a
 * new one when the set's generation changes.
 */
class RouteTable {
public:
    explicit RouteTable(DocumentSetPtr);

    /**
     * The service behind a request. Plain services match by the longest path
     * prefix, model services by the model's name; of several services that
     * offer one model, the first by name.
     * UnknownService, UnknownRoute or UnknownModel.
     */
    Result<ResolvedRoute> resolve(const RouteQuery&) const;

    const DocumentSetPtr& documents() const { return m_documents; }

private:
    Result<ResolvedRoute> resolveModel(const RouteQuery&) const;
    Result<ResolvedRoute> resolvePlain(const RouteQuery&) const;

    struct OfferedModel {
        DocumentPtr document;
        const ModelSpec* model = nullptr;
    };

    struct PlainPrefix {
        std::string prefix;
        DocumentPtr document;
    };

    DocumentSetPtr m_documents;
    std::map<std::string, OfferedModel, std::less<>> m_models;
    /** Longest prefix first. */
    std::vector<PlainPrefix> m_prefixes;
};

/** The organisation that holds this bearer credential; Unauthenticated where none does. */
Result<const OrganisationSpec*> findByCredential(const Document&, std::string_view credential);

} // namespace yuccashift
