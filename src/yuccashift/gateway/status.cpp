#include "yuccashift/gateway/status.hpp"

#include "yuccashift/gateway/gateway.hpp"
#include "yuccashift/gateway/gateway_components.hpp"
#include "yuccashift/membership/coordinator.hpp"
#include "yuccashift/routing/prefix_blocks.hpp"

#include <boost/json.hpp>

namespace yuccashift {

namespace json = boost::json;

namespace {

    constexpr std::uint32_t explainedOutputTokens = 256;

    std::string_view stateOf(const GatewayComponents& components, const Coordinator& coordinator)
    {
        if (components.lifecycle.draining())
            return "draining";
        if (coordinator.superseded())
            return "superseded";
        return coordinator.ready() ? "ready" : "starting";
    }

    json::array membersJson(const Coordinator& coordinator)
    {
        json::array members;
        const auto view = coordinator.view();
        for (const auto& [instance, member] : view->members) {
            members.push_back(json::object {
                { "instance", instance },
                { "incarnation", member.info.incarnation },
                { "region", member.info.region },
                { "datacentre", member.info.datacentre },
                { "liveness", toString(member.liveness) },
                { "ready", member.ready },
            });
        }
        return members;
    }

    json::array documentsJson(const DocumentStore& documents)
    {
        json::array list;
        for (const auto& [service, stored] : documents.snapshot()->documents) {
            list.push_back(json::object {
                { "service", service },
                { "revision", stored.version.revision },
                { "deleted", stored.document->deleted },
            });
        }
        return list;
    }

    json::array rejectedJson(const DocumentStore& documents)
    {
        json::array list;
        for (const auto& rejected : documents.rejectedTexts())
            list.push_back(json::object { { "service", rejected.service }, { "faults", format(rejected.faults, rejected.service) } });
        return list;
    }

    json::array loadJson(GatewayComponents& components)
    {
        json::array list;
        for (const auto& document : components.documents.activeDocuments()) {
            for (const auto& state : components.backendStates(*document, {})) {
                list.push_back(json::object {
                    { "service", document->service },
                    { "backend", state.name },
                    { "region", state.region },
                    { "running", state.reportedRunning },
                    { "waiting", state.reportedWaiting },
                    { "ownInFlight", state.ownInFlight },
                    { "reported", state.reportedAt.has_value() },
                    { "leaving", state.leaving },
                    { "ejected", state.ejected },
                });
            }
        }
        return list;
    }

    json::array queuesJson(GatewayComponents& components)
    {
        json::array list;
        for (const auto& document : components.documents.activeDocuments()) {
            const auto& gate = components.gate(document->service);
            list.push_back(json::object { { "service", document->service }, { "waiting", gate.waiting() }, { "inProgress", gate.inProgress() } });
        }
        return list;
    }

    json::array limitsJson(GatewayComponents& components)
    {
        json::array list;
        for (const auto& document : components.documents.activeDocuments()) {
            for (const auto& organisation : document->organisations) {
                list.push_back(json::object {
                    { "service", document->service },
                    { "organisation", organisation.name },
                    { "requestsPerSecond", organisation.limits.requestsPerSecond },
                    { "tokensPerSecond", organisation.limits.tokensPerSecond },
                    { "share", components.limits.share(document->service, organisation.name, components.clock.now()) },
                });
            }
        }
        return list;
    }

    json::array candidatesJson(const Decision& decision)
    {
        json::array list;
        for (const auto& candidate : decision.candidates) {
            json::object entry { { "name", candidate.name }, { "reason", toString(candidate.reason) } };
            if (candidate.expectedLatency)
                entry["expected_ms"] = toMilliseconds(*candidate.expectedLatency);
            list.push_back(std::move(entry));
        }
        return list;
    }

    std::string stringField(const json::object& object, std::string_view key)
    {
        const auto* value = object.if_contains(key);
        return value != nullptr && value->is_string() ? std::string(value->get_string()) : std::string();
    }

    /** Builds a context from an operator's description instead of a caller's request. */
    Result<RequestContext> makeDescribedContext(GatewayComponents& components, const json::object& body)
    {
        auto model = stringField(body, "model");
        auto path = stringField(body, "path");
        if (path.empty() && !model.empty())
            path = chatCompletionsPath;
        auto method = stringField(body, "method");
        if (method.empty())
            method = "POST";
        const auto routes = components.routes();
        auto resolved = routes->resolve({ method, path, model });
        if (!resolved)
            return tl::unexpected(resolved.error());
        RequestContext context;
        context.resolved = *resolved;
        const auto& document = context.document();
        context.organisation = findOrganisation(document, stringField(body, "organisation"));
        if (context.organisation == nullptr)
            return fail(ErrorKind::Forbidden, "the service has no such organisation");
        auto& traits = context.traits;
        traits.service = document.service;
        traits.organisation = context.organisation->name;
        traits.priority = context.route().priority;
        traits.idempotent = context.route().idempotent;
        traits.deadline = components.clock.now() + context.route().deadline;
        traits.allowedRegions = allowedRegions(document, *context.organisation);
        if (context.resolved.model != nullptr) {
            const auto prompt = stringField(body, "prompt");
            traits.model = context.resolved.model->name;
            traits.adapter = context.resolved.adapter;
            traits.promptTokens = countTokens(prompt);
            traits.expectedOutputTokens = explainedOutputTokens;
            traits.prefixBlocks = prefixBlocks(prompt, document.prefixCache.blockTokens);
        }
        return context;
    }

    std::string chosenName(const Decision& decision)
    {
        return decision.chosen ? decision.candidates[*decision.chosen].name : std::string();
    }

    json::object attributesJson(const Span& span)
    {
        json::object attributes;
        for (const auto& [key, value] : span.attributes)
            attributes[key] = value;
        return attributes;
    }

} // namespace

std::string statusJson(GatewayComponents& components, const Coordinator& coordinator)
{
    const json::object status {
        { "instance", components.self.instance },
        { "incarnation", components.self.incarnation },
        { "region", components.settings.region },
        { "datacentre", components.settings.datacentre },
        { "state", stateOf(components, coordinator) },
        { "inProgress", components.lifecycle.inProgress() },
        { "keys", components.keys.size() },
        { "members", membersJson(coordinator) },
        { "documents", documentsJson(components.documents) },
        { "rejected", rejectedJson(components.documents) },
        { "load", loadJson(components) },
        { "queues", queuesJson(components) },
        { "limits", limitsJson(components) },
        { "quarantine", json::object { { "suspects", components.quarantine.size() } } },
    };
    return json::serialize(status);
}

std::string traceJson(const GatewayComponents& components, const TraceId& traceId)
{
    json::array spans;
    for (const auto& span : components.spans.find(traceId)) {
        spans.push_back(json::object {
            { "traceId", toHex(span.context.traceId) },
            { "spanId", toHex(span.context.spanId) },
            { "parentId", toHex(span.parentId) },
            { "name", span.name },
            { "instance", span.instance },
            { "startUs", std::chrono::duration_cast<microseconds>(span.start.time_since_epoch()).count() },
            { "durationUs", std::chrono::duration_cast<microseconds>(span.duration).count() },
            { "failed", span.failed },
            { "attributes", attributesJson(span) },
        });
    }
    return json::serialize(json::object { { "spans", std::move(spans) } });
}

Result<std::string> explainJson(GatewayComponents& components, Gateway& gateway, std::string_view body)
{
    boost::system::error_code ec;
    const auto value = json::parse(body, ec);
    if (ec || !value.is_object())
        return fail(ErrorKind::MalformedRequest, "a JSON object is expected");
    const auto context = makeDescribedContext(components, value.get_object());
    if (!context)
        return tl::unexpected(context.error());
    std::vector<RegionState> regions;
    const auto region = gateway.chooseRegion(*context, regions);
    const auto states = components.backendStates(context->document(), context->traits);
    const auto backend = components.policies.backend->choose(context->traits, states, components.clock.now(), threadRandom());
    const json::object explanation {
        { "instance", components.self.instance },
        { "service", context->traits.service },
        { "chosenRegion", chosenName(region) },
        { "regions", candidatesJson(region) },
        { "chosenBackend", chosenName(backend) },
        { "backends", candidatesJson(backend) },
    };
    return json::serialize(explanation);
}

} // namespace yuccashift
