#include "yuccashift/gateway/entry_answer.hpp"

#include "yuccashift/gateway/gateway_components.hpp"
#include "yuccashift/gateway/request_context.hpp"
#include "yuccashift/membership/coordinator.hpp"
#include "yuccashift/routing/entry_policy.hpp"

#include <algorithm>
#include <boost/json.hpp>
#include <set>

namespace yuccashift {

namespace json = boost::json;

namespace {

    constexpr std::string_view bearerPrefix = "Bearer ";

    /** The organisation of a credential and the regions that may serve it for at least one service. */
    struct EntryCaller {
        OrganisationName organisation;
        std::set<RegionName> regions;
    };

    Result<EntryCaller> identify(GatewayComponents& components, const RequestMessage& message)
    {
        auto credential = findHeader(message.headers, "Authorization").value_or("");
        if (credential.starts_with(bearerPrefix))
            credential.remove_prefix(bearerPrefix.size());
        EntryCaller caller;
        const auto documents = components.documents.snapshot();
        for (const auto& [service, held] : documents->documents) {
            const auto organisation = findOrganisationByCredential(*held.organisations, credential);
            if (held.document->deleted || !organisation)
                continue;
            caller.organisation = (*organisation)->name;
            const auto& regions = allowedRegions(*held.document, **organisation);
            caller.regions.insert(regions.begin(), regions.end());
        }
        if (caller.organisation.empty())
            return fail(ErrorKind::Unauthenticated);
        return caller;
    }

    EntryState toEntryState(const MemberState& member)
    {
        EntryState entry { member.info.instance, member.info.region, member.info.datacentre, member.info.callers, false, false, 1 };
        entry.draining = member.liveness == Liveness::Draining || member.liveness == Liveness::Leaving || member.liveness == Liveness::Gone;
        entry.suspect = member.liveness == Liveness::Suspect;
        return entry;
    }

    std::vector<EntryState> knownEntries(const GatewayComponents& components, const Coordinator& coordinator)
    {
        std::vector<EntryState> entries;
        const auto view = coordinator.view();
        for (const auto& [instance, member] : view->members) {
            if (instance != components.self.instance)
                entries.push_back(toEntryState(member));
        }
        const auto self = coordinator.self();
        entries.push_back({ self.instance, self.region, self.datacentre, self.callers, components.lifecycle.draining(), false, 1 });
        return entries;
    }

} // namespace

Result<std::string> entryAnswer(GatewayComponents& components, const Coordinator& coordinator, const RequestMessage& message)
{
    const auto caller = identify(components, message);
    if (!caller)
        return tl::unexpected(caller.error());
    const auto entries = knownEntries(components, coordinator);
    EntryRequest request;
    request.callerKey = caller->organisation;
    request.region = components.settings.region;
    request.datacentre = components.settings.datacentre;
    request.allowedRegions = { caller->regions.begin(), caller->regions.end() };
    json::array addresses;
    for (const auto index : components.policies.entry->rank(request, entries))
        addresses.emplace_back(toString(entries[index].callers));
    json::object answer { { "entries", std::move(addresses) }, { "instance", components.self.instance } };
    if (caller->regions.contains(components.settings.region) && !components.lifecycle.draining())
        answer["idempotencyKey"] = toString(components.minter.mint(caller->organisation, components.clock.now(), threadRandom()));
    return json::serialize(answer);
}

} // namespace yuccashift
