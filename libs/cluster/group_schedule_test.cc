// Random fault schedules of a control group. Guards against the loss of an acknowledged write, a read older than an
// acknowledged write, two contents of one version, two leaders in a term, and a group that doesn't recover.
//
//     CICADAWARD_SCHEDULES=200000 group_schedule_test   run more schedules
//     CICADAWARD_SEED=4711 group_schedule_test          run one schedule by its seed
#include "cluster/group_simulation.h"

#include <atomic>
#include <catch2/catch.hpp>
#include <cstdlib>
#include <mutex>
#include <thread>

using namespace cicadaward;
using namespace cicadaward::cluster;
using namespace std::chrono_literals;

namespace {

uint64_t environmentNumber(const char* variable, uint64_t otherwise)
{
    const char* text = std::getenv(variable);
    return text ? std::strtoull(text, nullptr, 10) : otherwise;
}

struct Totals {
    std::atomic<uint64_t> diskFaults { 0 };
    std::atomic<uint64_t> acknowledged { 0 };
    std::atomic<uint64_t> members { 0 };
    std::atomic<uint64_t> reads { 0 };
    std::atomic<uint64_t> lostDisks { 0 };
    std::atomic<uint64_t> membershipChanges { 0 };
    std::mutex mutex;
    std::string failures;
};

void runSchedule(uint64_t seed, Totals& totals)
{
    GroupSimulation simulation(seed, 3 + seed % 3);
    simulation.run(6s, 8s);
    totals.acknowledged += simulation.acknowledgedOrders();
    totals.reads += simulation.answeredReads();
    totals.members += simulation.confirmedMembers();
    totals.lostDisks += simulation.lostDisks();
    if (simulation.violation().empty())
        return;
    std::lock_guard<std::mutex> lock(totals.mutex);
    totals.failures += "seed " + std::to_string(seed) + ": " + simulation.violation() + "\n";
}

// Bounds of the deployments: an instance catches up within 4 s, then a change is acknowledged within 5 s.
void runDiskSchedule(uint64_t seed, Totals& totals)
{
    constexpr size_t groupSizes[] = { 3, 4, 6, 8 };
    size_t instances = groupSizes[seed % 4];
    GroupSimulation simulation(seed, instances, instances > 4 ? 1 + seed / 4 % 2 : 1, seed / 8 % 2 == 0);
    simulation.runDiskFaults(9s);
    totals.diskFaults += simulation.diskFaults();
    totals.acknowledged += simulation.acknowledgedOrders();
    totals.reads += simulation.answeredReads();
    if (simulation.violation().empty())
        return;
    std::lock_guard<std::mutex> lock(totals.mutex);
    totals.failures += "seed " + std::to_string(seed) + ": " + simulation.violation() + "\n";
}

void runReplacementSchedule(uint64_t seed, Totals& totals)
{
    constexpr size_t groupSizes[] = { 4, 5, 6, 8 };
    size_t instances = groupSizes[seed % 4];
    GroupSimulation simulation(seed, instances, instances > 5 ? 1 + seed / 4 % 2 : 1);
    simulation.runReplacements();
    totals.lostDisks += simulation.lostDisks();
    totals.membershipChanges += simulation.membershipChanges();
    totals.acknowledged += simulation.acknowledgedOrders();
    if (simulation.violation().empty())
        return;
    std::lock_guard<std::mutex> lock(totals.mutex);
    totals.failures += "seed " + std::to_string(seed) + ": " + simulation.violation() + "\n";
}

using Schedule = void (*)(uint64_t seed, Totals&);

// Returns the number of schedules that were run.
uint64_t runSchedules(uint64_t schedules, Schedule run, Totals& totals)
{
    constexpr uint64_t firstSeed = 1000;
    constexpr size_t threads = 4;
    if (uint64_t seed = environmentNumber("CICADAWARD_SEED", 0)) {
        run(seed, totals);
        return 0;
    }
    schedules = environmentNumber("CICADAWARD_SCHEDULES", schedules);
    std::atomic<uint64_t> next { 0 };
    std::vector<std::thread> workers;
    for (size_t i = 0; i < threads; ++i) {
        workers.emplace_back([&] {
            for (uint64_t number = next++; number < schedules; number = next++)
                run(firstSeed + number, totals);
        });
    }
    for (std::thread& worker : workers)
        worker.join();
    return schedules;
}

} // namespace

TEST_CASE("control groups keep acknowledged writes under random faults", "[schedules]")
{
    Totals totals;
    if (uint64_t schedules = runSchedules(20000, runSchedule, totals)) {
        // Guards against schedules in which the checked operations hardly occur.
        CHECK(totals.acknowledged > 10 * schedules);
        CHECK(totals.reads > 5 * schedules);
        CHECK(totals.members > 5 * schedules);
        CHECK(totals.lostDisks > schedules / 4);
    }
    INFO(totals.failures.substr(0, 2000));
    CHECK(totals.failures.empty());
}

// Guards against a group that removes a silent voter before its successor is a voter: the loss of one disk in between
// ends it.
TEST_CASE("control groups survive the loss of disks between two membership changes", "[replacements]")
{
    Totals totals;
    if (uint64_t schedules = runSchedules(400, runReplacementSchedule, totals)) {
        CHECK(totals.lostDisks > 2 * schedules);
        CHECK(totals.membershipChanges > 10 * schedules);
        CHECK(totals.acknowledged > 10 * schedules);
    }
    INFO(totals.failures.substr(0, 2000));
    CHECK(totals.failures.empty());
}

TEST_CASE("control groups accept changes after disks were full one after another", "[disks]")
{
    Totals totals;
    if (uint64_t schedules = runSchedules(400, runDiskSchedule, totals)) {
        CHECK(totals.diskFaults > 3 * schedules);
        CHECK(totals.acknowledged > 10 * schedules);
        CHECK(totals.reads > 5 * schedules);
    }
    INFO(totals.failures.substr(0, 2000));
    CHECK(totals.failures.empty());
}
