// The routes in force: which services get the new flows of an address and port, and which ones may still hold
// existing flows.
//
//     RouteTable table = RouteTable::successor(previous, configuration);
//     if (const Route* route = table.find(packet.flow.service))
//         ServiceKey service = route->selectService(packet.flow.hash());
//
// A successor keeps the services that earlier configurations assigned to a route, because open flows stay at their
// targets. This list is part of the replicated state, so it survives a restart of the process.
#pragma once

#include "core/clock.h"
#include "directory/directory.h"

#include <absl/container/flat_hash_map.h>
#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace cicadaward::steering {

// Hash of a service's name; frames carry the hash in place of the name.
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
    Endpoint address; // destination of the callers' packets
    std::vector<WeightedService> services; // for new flows; at least one weight is above 0
    std::chrono::milliseconds objective { 0 }; // latency objective of its requests; 0: none
    std::chrono::milliseconds timeout { 0 }; // how long callers wait for an answer; 0: not known
    uint32_t priority = 0; // of its requests when they queue; 0 is served first
    bool isIdempotent = false; // its callers may repeat a request that may have run
    bool hasBulkRequests = false; // its requests carry bodies of many packets
    std::vector<ServiceKey>
        formerServices; // services of earlier configurations, newest first, at most maxFormerServices

    // Selects the service of a new flow by weight. Equal hashes select the same service until the weights change.
    // Returns the default key when all weights are 0.
    ServiceKey selectService(uint64_t flowHash) const;
    // True when some new flows go to the service.
    bool takesNewFlows(ServiceKey) const;
};

constexpr size_t maxFormerServices = 8;

struct ServicePolicy {
    ServiceKey key;
    std::string name;
    std::chrono::milliseconds warmUp { 0 }; // how long a target is cold after its start or the end of an evacuation
    double warmUpRate = 0; // new flows per second that a cold target can handle
    uint32_t maxFlows = 0; // open flows per target; 0: no limit
};

// The configuration that the operators' pipeline generates. A higher version supersedes a lower one.
struct Configuration {
    uint64_t version = 0;
    std::vector<Route> routes;
    std::vector<ServicePolicy> services;
    std::chrono::milliseconds flowIdleLimit {
        0
    }; // a flow that is idle for longer may be dropped from tables; 0: default
};

class RouteTable {
public:
    RouteTable() = default;
    // The table of a new configuration, whose routes keep the services of `previous` with the same address.
    static RouteTable successor(const RouteTable& previous, Configuration);

    uint64_t version() const { return m_configuration.version; }
    const Configuration& configuration() const { return m_configuration; }
    const Route* find(Endpoint serviceAddress) const;
    const ServicePolicy* policy(ServiceKey) const;
    // True when a route has bulk requests.
    bool hasBulkRoutes() const;
    // Configuration::flowIdleLimit, or its default.
    Duration flowIdleLimit() const;

    // Builds the table from a configuration whose routes already list their former services.
    explicit RouteTable(Configuration);

private:
    Configuration m_configuration;
    absl::flat_hash_map<Endpoint, size_t> m_routes; // address -> position in the configuration
};

} // namespace cicadaward::steering
