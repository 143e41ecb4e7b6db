#include "steering/route_table.h"

#include "core/hash.h"

#include <algorithm>

namespace cicadaward::steering {

namespace {

    // Makes the selection of a service independent of the order of its members, which depends on the same flow hash.
    constexpr uint64_t serviceSelectionSeed = 0x5eed'0001;

    constexpr Duration defaultFlowIdleLimit = std::chrono::seconds(15);

    bool isCurrentService(const Route& route, ServiceKey service)
    {
        return std::any_of(route.services.begin(), route.services.end(),
            [&](const WeightedService& candidate) { return candidate.service == service; });
    }

    void inheritFormerServices(Route& route, const Route& previous)
    {
        auto addFormerService = [&](ServiceKey service) {
            bool known = std::find(route.formerServices.begin(), route.formerServices.end(), service)
                != route.formerServices.end();
            if (!known && !isCurrentService(route, service) && route.formerServices.size() < maxFormerServices)
                route.formerServices.push_back(service);
        };
        for (const WeightedService& service : previous.services)
            addFormerService(service.service);
        for (ServiceKey service : previous.formerServices)
            addFormerService(service);
    }

} // namespace

ServiceKey serviceKey(const std::string& name) { return ServiceKey(hashString(name)); }

ServiceKey Route::selectService(uint64_t flowHash) const
{
    uint64_t total = 0;
    for (const WeightedService& service : services)
        total += service.weight;
    if (total == 0)
        return {};
    uint64_t point = mixHash(flowHash, serviceSelectionSeed) % total;
    for (const WeightedService& service : services) {
        if (point < service.weight)
            return service.service;
        point -= service.weight;
    }
    return {};
}

bool Route::takesNewFlows(ServiceKey service) const
{
    return std::any_of(services.begin(), services.end(),
        [&](const WeightedService& candidate) { return candidate.service == service && candidate.weight > 0; });
}

RouteTable::RouteTable(Configuration configuration)
    : m_configuration(std::move(configuration))
{
    m_routes.reserve(m_configuration.routes.size());
    for (size_t i = 0; i < m_configuration.routes.size(); ++i)
        m_routes.emplace(m_configuration.routes[i].address, i);
}

RouteTable RouteTable::successor(const RouteTable& previous, Configuration configuration)
{
    for (Route& route : configuration.routes) {
        if (const Route* before = previous.find(route.address))
            inheritFormerServices(route, *before);
    }
    return RouteTable(std::move(configuration));
}

const Route* RouteTable::find(Endpoint serviceAddress) const
{
    auto found = m_routes.find(serviceAddress);
    return found == m_routes.end() ? nullptr : &m_configuration.routes[found->second];
}

bool RouteTable::hasBulkRoutes() const
{
    const std::vector<Route>& routes = m_configuration.routes;
    return std::any_of(routes.begin(), routes.end(), [](const Route& route) { return route.hasBulkRequests; });
}

Duration RouteTable::flowIdleLimit() const
{
    Duration limit = m_configuration.flowIdleLimit;
    return limit == Duration::zero() ? defaultFlowIdleLimit : limit;
}

const ServicePolicy* RouteTable::policy(ServiceKey key) const
{
    for (const ServicePolicy& policy : m_configuration.services) {
        if (policy.key == key)
            return &policy;
    }
    return nullptr;
}

} // namespace cicadaward::steering
