// Entries and agents under random faults; fabric_simulation.h describes the world.
//
// Guards against: a packet of an open flow that never reaches its target again, a reset of an open flow, a new flow at
// a target of another service or one that is draining or evacuated, flows of lost targets that are never reset.
//
//     CICADAWARD_SCHEDULES=20000 steering_schedule_test   more of them
//     CICADAWARD_SEED=17 steering_schedule_test           one, with its seed
#include "steering/fabric_simulation.h"

#include <catch2/catch.hpp>
#include <cstdlib>

using namespace cicadaward;
using namespace cicadaward::steering;

namespace {

uint64_t numberFrom(const char* variable, uint64_t otherwise)
{
    const char* text = std::getenv(variable);
    return text ? std::strtoull(text, nullptr, 10) : otherwise;
}

} // namespace

TEST_CASE("open flows keep their targets under random faults", "[schedules]")
{
    uint64_t only = numberFrom("CICADAWARD_SEED", 0);
    uint64_t first = only ? only : 1;
    uint64_t count = only ? 1 : numberFrom("CICADAWARD_SCHEDULES", 1000);
    size_t opened = 0;
    size_t delivered = 0;
    size_t waited = 0;
    size_t lost = 0;
    size_t ended = 0;
    std::string failures;
    for (uint64_t seed = first; seed < first + count; ++seed) {
        Fabric fabric(seed);
        std::string violation = fabric.run();
        if (!violation.empty())
            failures += "seed " + std::to_string(seed) + ": " + violation + "\n";
        opened += fabric.opened();
        delivered += fabric.delivered();
        waited += fabric.waited();
        lost += fabric.lost();
        ended += fabric.ended();
    }
    INFO(failures.substr(0, 2000));
    CHECK(failures.empty());
    CHECK(opened > 200 * count);
    CHECK(delivered > 1000 * count);
    CHECK(waited > 10 * count);
    // Flows of lost targets are reset as a rule: a lost datagram or a target that is registered late costs a few.
    INFO(lost << " flows were lost, of these " << ended << " reset");
    CHECK(10 * ended > 9 * lost);
}
