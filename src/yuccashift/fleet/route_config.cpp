#include "yuccashift/fleet/route_config.hpp"

#include <algorithm>
#include <boost/algorithm/string/case_conv.hpp>
#include <numeric>

namespace yuccashift {

namespace {

    std::string toLower(std::string_view text)
    {
        return boost::algorithm::to_lower_copy(std::string(text));
    }

    bool permits(std::span<const RegionName> homes, const RegionName& region)
    {
        return homes.empty() || std::ranges::find(homes, region) != homes.end();
    }

    // Strips the port.
    std::string_view hostName(std::string_view host)
    {
        return host.substr(0, host.find(':'));
    }

} // namespace

AllowedRegions::AllowedRegions(const Route& route, const OrganisationSpec* organisation)
    : m_ofRoute(route.homeRegions)
    , m_ofOrganisation(organisation ? std::span<const RegionName>(organisation->residency) : std::span<const RegionName>())
{
}

bool AllowedRegions::allows(const RegionName& region) const
{
    return permits(m_ofRoute, region) && permits(m_ofOrganisation, region);
}

std::vector<RegionName> AllowedRegions::names() const
{
    std::vector<RegionName> regions;
    std::ranges::copy_if(m_ofRoute.empty() ? m_ofOrganisation : m_ofRoute, std::back_inserter(regions), [this](const auto& it) { return allows(it); });
    return regions;
}

bool Route::usesService(const ServiceName& service) const
{
    return std::ranges::any_of(services, [&](const auto& it) { return it.service == service && it.weight > 0; });
}

const ServiceName& Route::pickService(std::uint64_t draw) const
{
    const auto total = std::accumulate(services.begin(), services.end(), std::uint64_t { 0 }, [](auto sum, const auto& it) { return sum + it.weight; });
    auto remainder = total == 0 ? 0 : draw % total;
    for (const auto& it : services) {
        if (remainder < it.weight)
            return it.service;
        remainder -= it.weight;
    }
    return services.front().service;
}

bool RouteConfig::names(const ServiceName& service) const
{
    return services.contains(service) || std::ranges::any_of(routes, [&](const auto& it) { return it.usesService(service); });
}

const ServiceConfig& RouteConfig::serviceConfig(const ServiceName& service) const
{
    static const ServiceConfig defaults;
    const auto it = services.find(service);
    return it == services.end() ? defaults : it->second;
}

RouteIndex::RouteIndex(RouteConfig config)
    : m_config(std::move(config))
    , m_organisations(m_config.organisations)
{
    for (const auto& route : m_config.routes)
        m_byHost[toLower(route.host)].push_back(&route);
    for (auto& [host, routes] : m_byHost)
        std::ranges::stable_sort(routes, std::greater {}, [](const Route* route) { return route->pathPrefix.size(); });
}

const Route* RouteIndex::find(std::string_view host, std::string_view target) const
{
    const auto it = m_byHost.find(toLower(hostName(host)));
    if (it == m_byHost.end())
        return nullptr;
    const auto path = target.substr(0, target.find_first_of("?#"));
    const auto route = std::ranges::find_if(it->second, [&](const Route* candidate) { return path.starts_with(candidate->pathPrefix); });
    return route == it->second.end() ? nullptr : *route;
}

} // namespace yuccashift
