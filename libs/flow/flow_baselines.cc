// Compares the agents of this library with simpler designs under the same seeded schedules. Prints one line for each
// schedule and design.
// Usage: flow_baselines [SCHEDULES [FIRST_SEED]]

#include "flow/simulation.h"

#include <cstdio>
#include <cstdlib>

using namespace cicadaward;
using namespace cicadaward::flow;
using namespace cicadaward::flow::simulation;

namespace {

SimulationSettings faultSettings(uint64_t seed)
{
    SimulationSettings settings;
    settings.seed = seed;
    return settings;
}

SimulationSettings steadySettings(uint64_t seed)
{
    SimulationSettings settings;
    settings.seed = seed;
    settings.agents = 7;
    settings.callers = 2100;
    settings.capacity = 2000;
    settings.buckets = 1024;
    settings.coldShare = 1;
    settings.faultCount = 0;
    settings.lossProbability = 0;
    settings.duplicateProbability = 0;
    settings.faultPeriod = std::chrono::seconds(20);
    settings.faultFreeTime = std::chrono::seconds(20);
    settings.meanConnectionTime = std::chrono::seconds(15);
    settings.meanThinkSeconds = 5;
    return settings;
}

// Three members join. Buckets move as a result, and there is no other fault.
SimulationSettings joinSettings(uint64_t seed)
{
    SimulationSettings settings = steadySettings(seed);
    settings.faultCount = 3;
    settings.allowedFaults = { Fault::Join };
    return settings;
}

// All targets start cold, and there are more callers than they sustain at first.
SimulationSettings coldSettings(uint64_t seed)
{
    SimulationSettings settings = steadySettings(seed);
    settings.capacity = 500;
    settings.coldShare = 0.1;
    return settings;
}

void report(
    const char* title, Policy policy, uint64_t first, uint64_t count, SimulationSettings (*makeSettings)(uint64_t))
{
    SimulationResult sum;
    double worstImbalance = 0;
    for (uint64_t seed = first; seed < first + count; ++seed) {
        SimulationSettings settings = makeSettings(seed);
        settings.policy = policy;
        SimulationResult result = Simulation(settings).run();
        sum.brokenFlows += result.brokenFlows;
        sum.misdelivered += result.misdelivered;
        sum.overAdmitted += result.overAdmitted;
        sum.splitFlows += result.splitFlows;
        sum.established += result.established;
        sum.extraHops += result.extraHops;
        sum.deliveries += result.deliveries;
        worstImbalance = std::max(worstImbalance, result.imbalance);
    }
    std::printf("%-10s %-17s %11lu %12lu %12lu %13lu %5lu %9.4f %9.3f\n", title, policyName(policy), sum.established,
        sum.brokenFlows, sum.misdelivered, sum.overAdmitted, sum.splitFlows, worstImbalance,
        static_cast<double>(sum.extraHops) / static_cast<double>(sum.deliveries));
}

} // namespace

int main(int argc, char** argv)
{
    uint64_t count = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 200;
    uint64_t first = argc > 2 ? std::strtoull(argv[2], nullptr, 10) : 1;
    std::printf("schedule   policy            established broken_flows misdelivered over_admitted split imbalance "
                "extra_hops\n");
    for (Policy policy : { Policy::Machines, Policy::HashOnly, Policy::PreviousOwner })
        report("faults", policy, first, count, faultSettings);
    uint64_t steady = std::max<uint64_t>(1, count / 100);
    for (Policy policy : { Policy::Machines, Policy::RandomPlacement, Policy::TwoChoices, Policy::HashOnly })
        report("steady", policy, first, steady, steadySettings);
    for (Policy policy : { Policy::Machines, Policy::HashOnly, Policy::PreviousOwner })
        report("join", policy, first, steady, joinSettings);
    for (Policy policy : { Policy::Machines, Policy::RandomPlacement, Policy::TwoChoices, Policy::HashOnly })
        report("cold", policy, first, steady, coldSettings);
    return 0;
}
