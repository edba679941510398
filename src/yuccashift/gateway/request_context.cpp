#include "yuccashift/gateway/request_context.hpp"

#include "peer_types.h"
#include "yuccashift/gateway/chat_request.hpp"
#include "yuccashift/keys/request_fingerprint.hpp"
#include "yuccashift/routing/prefix_blocks.hpp"

#include <algorithm>
#include <array>
#include <boost/beast/core/string.hpp>
#include <charconv>

namespace yuccashift {

namespace {

    constexpr std::string_view bearerPrefix = "Bearer ";

    /** Headers that only instances may set. */
    constexpr std::array<std::string_view, 9> reservedHeaders { "authorization", "idempotency-key", "traceparent", "x-request-id",
        "x-priority", "x-resume-offset", "x-deadline-ms", "x-origin", "x-organisation" };

    bool isReserved(std::string_view name)
    {
        return std::ranges::any_of(reservedHeaders, [&](std::string_view it) { return boost::beast::iequals(it, name); });
    }

    std::string_view pathOf(std::string_view target)
    {
        return target.substr(0, target.find('?'));
    }

    std::string_view credentialOf(const RequestMessage& message)
    {
        const auto value = findHeader(message.headers, "Authorization").value_or("");
        return value.starts_with(bearerPrefix) ? value.substr(bearerPrefix.size()) : std::string_view();
    }

    // A caller can shorten the deadline of the route, but not extend it.
    Duration requestedTimeout(const RequestMessage& message, const RouteSpec& route)
    {
        const auto text = findHeader(message.headers, "X-Deadline-Ms");
        if (!text)
            return route.deadline;
        std::int64_t timeoutMs = 0;
        const auto parsed = std::from_chars(text->data(), text->data() + text->size(), timeoutMs);
        if (parsed.ec != std::errc() || timeoutMs < 1)
            return route.deadline;
        return std::min<milliseconds>(route.deadline, milliseconds(timeoutMs));
    }

    /** Parses the body of a chat completion, whose model determines the service; returns an empty request for other paths. */
    Result<ChatRequest> parseChatBody(const RequestMessage& message)
    {
        if (pathOf(message.target) != chatCompletionsPath)
            return ChatRequest {};
        return parseChatRequest(message.body);
    }

    void fillTraits(RequestContext& context, const ChatRequest& chat, Instant deadline)
    {
        auto& traits = context.traits;
        traits.service = context.document().service;
        traits.organisation = context.organisation->name;
        traits.priority = context.route().priority;
        traits.deadline = deadline;
        traits.idempotent = context.route().idempotent;
        traits.allowedRegions = allowedRegions(context.document(), *context.organisation);
        if (context.resolved.model == nullptr)
            return;
        traits.model = context.resolved.model->name;
        traits.adapter = context.resolved.adapter;
        traits.promptTokens = countTokens(chat.prompt);
        traits.expectedOutputTokens = chat.maxTokens;
        traits.prefixBlocks = prefixBlocks(chat.prompt, context.document().prefixCache.blockTokens);
        context.streaming = chat.stream;
    }

    Result<RequestContext> resolve(const RouteTable& routes, RequestMessage message, const ChatRequest& chat)
    {
        const auto resolved = routes.resolve({ message.method, pathOf(message.target), chat.model });
        if (!resolved)
            return tl::unexpected(resolved.error());
        RequestContext context;
        context.resolved = *resolved;
        context.message = std::move(message);
        return context;
    }

    bool contains(std::span<const RegionName> regions, const RegionName& region)
    {
        return std::ranges::find(regions, region) != regions.end();
    }

    void dropReservedHeaders(HeaderFields& headers)
    {
        std::erase_if(headers, [](const HeaderField& field) { return isReserved(field.name) || isHopByHop(field.name); });
    }

    const BackendSpec* findBackend(const Document& document, const BackendName& name)
    {
        const auto it = std::ranges::find(document.backends, name, &BackendSpec::name);
        return it == document.backends.end() ? nullptr : &*it;
    }

    /** Target for the backend server; without the service's path prefix for a plain service. */
    std::string backendTarget(const RequestContext& context)
    {
        const auto& target = context.message.target;
        const auto& prefix = context.document().pathPrefix;
        if (context.resolved.model != nullptr || !target.starts_with(prefix))
            return target;
        const auto rest = target.substr(prefix.size());
        return rest.starts_with('/') ? rest : "/" + rest;
    }

} // namespace

const std::vector<RegionName>& allowedRegions(const Document& document, const OrganisationSpec& organisation)
{
    return organisation.residency.empty() ? document.regions : organisation.residency;
}

Result<RequestContext> admitRequest(const RouteTable& routes, RequestMessage message, const Arrival& arrival)
{
    const auto chat = parseChatBody(message);
    if (!chat)
        return tl::unexpected(chat.error());
    auto context = resolve(routes, std::move(message), *chat);
    if (!context)
        return context;
    const auto organisation = findOrganisationByCredential(*context->resolved.organisations, credentialOf(context->message));
    if (!organisation)
        return tl::unexpected(organisation.error());
    context->organisation = *organisation;
    fillTraits(*context, *chat, arrival.now + requestedTimeout(context->message, context->route()));
    context->key = findHeader(context->message.headers, "Idempotency-Key").value_or("");
    context->backendKey = context->key;
    context->fingerprint = requestFingerprint(context->organisation->name, context->message.method, context->message.target, context->message.body);
    context->trace = arrival.trace;
    context->requestId = arrival.requestId;
    context->origin = { arrival.instance, arrival.region, 0, 0 };
    dropReservedHeaders(context->message.headers);
    return context;
}

Result<RequestContext> admitForward(const RouteTable& routes, const wire::Forward& forward, const Arrival& arrival)
{
    RequestMessage message { forward.method, forward.target, {}, forward.body };
    for (const auto& field : forward.headers)
        message.headers.push_back({ field.name, field.value });
    const auto chat = parseChatBody(message);
    if (!chat)
        return tl::unexpected(chat.error());
    auto context = resolve(routes, std::move(message), *chat);
    if (!context)
        return context;
    context->organisation = findOrganisation(context->document(), forward.organisation);
    if (context->organisation == nullptr)
        return fail(ErrorKind::Forbidden, "the organisation is not known here");
    context->origin = { forward.originInstance, forward.originRegion, forward.regionHops, forward.localHops };
    if (forward.regionHops > 1 || forward.localHops > 1)
        return fail(ErrorKind::HopLimit);
    const auto remaining = milliseconds(std::max(forward.remainingMs, 0));
    fillTraits(*context, *chat, arrival.now + std::min<milliseconds>(remaining, context->route().deadline));
    // A request that must not run in this region is accepted only to check its key; the minter then forwards it.
    if (forward.key.empty() && !contains(context->traits.allowedRegions, arrival.region))
        return fail(ErrorKind::ResidencyViolation, "this region may not serve the organisation");
    context->key = forward.key;
    context->backendKey = forward.key.empty() ? forward.backendKey : forward.key;
    context->requestId = forward.requestId;
    context->resumeOffset = static_cast<std::uint32_t>(std::max(forward.resumeOffset, 0));
    if (forward.__isset.streamSoftware)
        context->streamSoftware = StreamSoftware::begunBy(static_cast<SoftwareId>(forward.streamSoftware));
    else if (context->resumeOffset > 0) {
        // The origin may have begun the stream under another revision of the document than the one in force here.
        const bool sameRevision = static_cast<std::int64_t>(context->document().revision) == forward.revision;
        context->streamSoftware = StreamSoftware::begunBy(sameRevision ? onlySoftware(context->document()) : 0);
    }
    context->fingerprint = requestFingerprint(forward.organisation, forward.method, forward.target, forward.body);
    context->trace = arrival.trace;
    return context;
}

SoftwareId onlySoftware(const Document& document)
{
    const auto& backends = document.backends;
    const bool differs = std::ranges::any_of(backends, [&](const BackendSpec& it) { return it.softwareVersion != backends.front().softwareVersion; });
    return backends.empty() || differs ? 0 : softwareIdOf(document.service, backends.front().softwareVersion);
}

SoftwareId softwareOfBackend(const Document& ofRequest, const Document* inForce, const BackendName& name)
{
    const auto* backend = findBackend(ofRequest, name);
    const auto* now = inForce ? findBackend(*inForce, name) : nullptr;
    const bool known = backend && (!now || now->softwareVersion == backend->softwareVersion);
    return known ? softwareIdOf(ofRequest.service, backend->softwareVersion) : 0;
}

wire::Forward makeForward(const RequestContext& context, ForwardPurpose purpose, Instant now, bool crossesRegion)
{
    wire::Forward forward;
    forward.serviceName = context.document().service;
    forward.route = context.route().name;
    forward.organisation = context.organisation->name;
    forward.method = context.message.method;
    forward.target = context.message.target;
    for (const auto& field : context.message.headers) {
        wire::Header header;
        header.name = field.name;
        header.value = field.value;
        forward.headers.push_back(std::move(header));
    }
    forward.body = context.message.body;
    forward.remainingMs = static_cast<std::int32_t>(toMilliseconds(context.traits.deadline - now));
    forward.originInstance = context.origin.instance;
    forward.originRegion = context.origin.region;
    forward.regionHops = context.origin.regionHops + (crossesRegion ? 1 : 0);
    forward.localHops = context.origin.localHops + (crossesRegion ? 0 : 1);
    forward.traceparent = formatTraceparent(context.trace);
    forward.revision = static_cast<std::int64_t>(context.document().revision);
    forward.requestId = context.requestId;
    if (purpose == ForwardPurpose::CheckKey)
        forward.key = context.key;
    else
        forward.backendKey = context.backendKey;
    forward.resumeOffset = static_cast<std::int32_t>(context.resumeOffset);
    if (context.streamSoftware.begun())
        forward.__set_streamSoftware(static_cast<std::int64_t>(context.streamSoftware.software()));
    return forward;
}

RequestMessage makeBackendRequest(const RequestContext& context, const TraceContext& trace, std::uint32_t resumeOffset)
{
    RequestMessage request { context.message.method, backendTarget(context), context.message.headers, context.message.body };
    setHeader(request.headers, "traceparent", formatTraceparent(trace));
    setHeader(request.headers, "X-Request-Id", context.requestId);
    setHeader(request.headers, "X-Priority", std::to_string(static_cast<int>(context.traits.priority)));
    if (!context.backendKey.empty())
        setHeader(request.headers, "Idempotency-Key", context.backendKey);
    if (resumeOffset > 0)
        setHeader(request.headers, "X-Resume-Offset", std::to_string(resumeOffset));
    return request;
}

} // namespace yuccashift
