#include "admission/target_monitor.h"

#include <catch2/catch.hpp>

using namespace cicadaward;

TEST_CASE("a refused connection is proof only when repeated", "[admission]")
{
    ManualClock clock;
    TargetMonitor monitor(clock, {});
    CHECK(monitor.condition().state == TargetState::Unknown);
    CHECK(monitor.onHealthReply(Incarnation(1), false));
    CHECK_FALSE(monitor.onHealthConnectionRefused());
    CHECK_FALSE(monitor.onHealthReply(Incarnation(1), false));
    CHECK_FALSE(monitor.onHealthConnectionRefused());
    CHECK(monitor.onHealthConnectionRefused());
    CHECK(monitor.condition().state == TargetState::Down);
}

TEST_CASE("a health endpoint that fails while traffic flows does not take the target down", "[admission]")
{
    ManualClock clock;
    TargetMonitor monitor(clock, {});
    monitor.onHealthReply(Incarnation(1), false);
    for (int i = 0; i < 100; ++i) {
        clock.advance(std::chrono::milliseconds(500));
        monitor.recordTraffic();
        REQUIRE_FALSE(monitor.onHealthCheckFailed());
    }
    clock.advance(std::chrono::milliseconds(2900));
    CHECK_FALSE(monitor.onHealthCheckFailed());
    clock.advance(std::chrono::milliseconds(200));
    CHECK(monitor.onHealthCheckFailed());
}

TEST_CASE("a restart and a drain are changes", "[admission]")
{
    ManualClock clock;
    TargetMonitor monitor(clock, {});
    monitor.onHealthReply(Incarnation(1), false);
    CHECK(monitor.onHealthReply(Incarnation(2), false));
    CHECK(monitor.onHealthReply(Incarnation(2), true));
    CHECK(monitor.condition().state == TargetState::Draining);
    CHECK(monitor.onHealthReply(Incarnation(2), false));
}

TEST_CASE("the state is unknown until the first proof", "[admission]")
{
    // Guards against an agent that restarts and reports its target as down: its flows would be reset.
    ManualClock clock;
    TargetMonitor monitor(clock, {});
    CHECK_FALSE(monitor.onHealthConnectionRefused());
    CHECK(monitor.condition().state == TargetState::Unknown);
    CHECK(monitor.onHealthConnectionRefused());
    CHECK(monitor.condition().state == TargetState::Down);
}
