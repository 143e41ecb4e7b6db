// Routes in force: which services take new flows of an address and port, and which ones may still hold older flows.
//
//     RouteTable table = RouteTable::successor(previous, configuration);
//     if (const Route* route = table.find(packet.flow.service))
//         ServiceKey service = route->draw(packet.flow.hash());
//
// A successor remembers the services that earlier configurations gave to a route, because their flows stay where they
// are. The memory is part of the replicated state, so a restarted process has it too.
#pragma once

#include "directory/directory.h"

#include <absl/container/flat_hash_map.h>
#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace cicadaward::steering {

// Hash of a service's name. Names never appear in packets.
using ServiceKey = Id<struct ServiceKeyTag, uint64_t>;
ServiceKey serviceKey(const std::string& name);

struct WeightedService {
    ServiceKey service;
    uint32_t weight = 1;

    friend bool operator==(const WeightedService& a, const WeightedService& b)
    {
        return a.service == b.service && a.weight == b.weight;
    }
};

struct Route {
    std::string name;
    Endpoint address; // where callers send
    std::vector<WeightedService> services; // of new flows; at least one weight is above 0
    std::chrono::milliseconds objective { 0 }; // latency objective of its requests; 0: none
    std::chrono::milliseconds timeout { 0 }; // callers wait for an answer no longer; 0: not known
    uint32_t priority = 0; // of its requests under load; 0 is served first
    std::vector<ServiceKey>
        formerServices; // services of earlier configurations, newest first, at most maxFormerServices

    // The service of a new flow: equal hashes give equal services while the weights stay.
    ServiceKey selectService(uint64_t flowHash) const;
};

constexpr size_t maxFormerServices = 8;

struct ServicePolicy {
    ServiceKey key;
    std::string name;
    std::chrono::milliseconds warmUp { 0 }; // how long a target is cold after a start or an evacuation
    double warmUpRate = 0; // new flows a second that a cold target bears
    uint32_t maxFlows = 0; // open flows of a target
};

// What the operators' pipeline generates. A higher version supersedes a lower one.
struct Configuration {
    uint64_t version = 0;
    std::vector<Route> routes;
    std::vector<ServicePolicy> services;
    std::chrono::milliseconds flowIdleLimit { 0 }; // a flow that is idle for longer may be forgotten
};

class RouteTable {
public:
    RouteTable() = default;
    static RouteTable successor(const RouteTable& previous, Configuration);

    uint64_t version() const { return m_configuration.version; }
    const Configuration& configuration() const { return m_configuration; }
    const Route* find(Endpoint serviceAddress) const;
    const ServicePolicy* policy(ServiceKey) const;

    // Rebuilds the table from a configuration whose routes carry their former services.
    explicit RouteTable(Configuration);

private:
    Configuration m_configuration;
    absl::flat_hash_map<Endpoint, size_t> m_routes; // address -> position in the configuration
};

} // namespace cicadaward::steering
