// Runs the simulation under random schedules of packet loss, duplication and reordering, restarts, crashes and
// directory changes, and checks the agents against its model. CICADAWARD_FLOW_SCHEDULES sets the number of schedules
// and CICADAWARD_FLOW_SEED the first seed.

#include "flow/simulation.h"

#include <catch2/catch.hpp>
#include <cstdlib>
#include <thread>

using namespace cicadaward;
using namespace cicadaward::flow;
using namespace cicadaward::flow::simulation;

namespace {

constexpr uint64_t threadCount = 4;

uint64_t setting(const char* name, uint64_t fallback)
{
    const char* text = std::getenv(name);
    return text ? std::strtoull(text, nullptr, 10) : fallback;
}

std::string report(const SimulationResult& result)
{
    std::string text;
    for (const std::string& note : result.notes)
        text += "\n  " + note;
    return text;
}

} // namespace

TEST_CASE("established flows survive every schedule of faults", "[flow][schedules]")
{
    uint64_t count = setting("CICADAWARD_FLOW_SCHEDULES", 2000);
    uint64_t first = setting("CICADAWARD_FLOW_SEED", 1);
    // Schedules share no state, so the number of threads does not change the results.
    std::vector<SimulationResult> results(count);
    std::vector<std::thread> threads;
    for (uint64_t offset = 0; offset < threadCount; ++offset) {
        threads.emplace_back([&results, first, count, offset] {
            for (uint64_t i = offset; i < count; i += threadCount) {
                SimulationSettings settings;
                settings.seed = first + i;
                settings.trace = count == 1;
                results[i] = Simulation(settings).run();
            }
        });
    }
    for (std::thread& thread : threads)
        thread.join();
    uint64_t established = 0;
    for (uint64_t i = 0; i < count; ++i) {
        const SimulationResult& result = results[i];
        established += result.established;
        if (result.brokenFlows + result.misdelivered + result.overAdmitted + result.splitFlows == 0)
            continue;
        FAIL_CHECK("seed " << first + i << ": broken_flows " << result.brokenFlows << ", misdelivered "
                           << result.misdelivered << ", over_admitted " << result.overAdmitted << ", split flows "
                           << result.splitFlows << report(result));
    }
    // Guards against schedules that open too few flows to test anything.
    CHECK(established > count * 10);
}

TEST_CASE("targets are balanced at steady state", "[flow][schedules]")
{
    SimulationSettings settings;
    settings.agents = 7;
    settings.callers = 1400;
    settings.capacity = 2000;
    settings.buckets = 1024;
    settings.coldShare = 1;
    settings.faultCount = 0;
    settings.faultPeriod = std::chrono::seconds(15);
    settings.faultFreeTime = std::chrono::seconds(15);
    settings.meanConnectionTime = std::chrono::seconds(15);
    settings.meanThinkSeconds = 5;
    SimulationResult result = Simulation(settings).run();
    INFO(report(result));
    CHECK(result.established > 2000);
    CHECK(result.brokenFlows + result.misdelivered + result.overAdmitted + result.splitFlows == 0);
    CHECK(result.imbalance <= 1.05);
}
