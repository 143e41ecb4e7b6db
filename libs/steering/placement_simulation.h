// A service whose agents decide on new flows, without a network: callers, an entry that offers each flow to members
// drawn at random, agents with their real state machines, and targets that work on as many requests at once as they
// have slots. Compares the ways to place flows under equal requests.
//
//     PlacementResult result = runPlacement(scenario, PlacementPolicy::Work, seed);
//
// Both oracles know the work that each target still has and its speed, and take the better one of the same two members.
// One knows the mean cost of a request of the route, the other the cost of the new request itself, which no process can
// know when a flow is opened. Equal seeds give equal requests to each policy.
#pragma once

#include "core/clock.h"

#include <string>
#include <vector>

namespace cicadaward::steering {

enum class PlacementPolicy : uint8_t { Requests, Work, Auto, Oracle, CostOracle };

// Requests of one route.
struct SimulatedRoute {
    double share = 1; // of the work of all routes
    Duration cost {}; // mean at a target of speed 1
    Duration objective = std::chrono::milliseconds(200);
    double expensiveShare = 0; // requests that cost seven times as much as the others
    unsigned requestsPerFlow = 1;
    Duration pause {}; // between the answer to a request of a flow and its next request
};

struct PlacementScenario {
    std::string name;
    std::vector<SimulatedRoute> routes;
    std::vector<double> speeds; // of the targets, repeated
    bool speedsChange = false; // each third of the run, each target takes the speed of the next one
    bool agentsRestart = false; // every second, the next agent restarts and knows nothing
    double load = 0.7; // work over the capacity of all targets
};

struct PlacementResult {
    size_t requests = 0;
    Duration median {};
    Duration p99 {};
    double lateShare = 0; // of the requests, answered after their objective or not at all
    double busiest = 0; // busy time of the busiest target over the mean
    uint64_t trace = 0; // hash of all that the agents sent, in order
};

PlacementResult runPlacement(const PlacementScenario&, PlacementPolicy, uint64_t seed);

} // namespace cicadaward::steering
