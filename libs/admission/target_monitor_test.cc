#include "admission/target_monitor.h"

#include <catch2/catch.hpp>

using namespace cicadaward;

TEST_CASE("one refused connection does not take the target down, two in a row do", "[admission]")
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

TEST_CASE("a new incarnation and a drain change the condition", "[admission]")
{
    ManualClock clock;
    TargetMonitor monitor(clock, {});
    monitor.onHealthReply(Incarnation(1), false);
    CHECK(monitor.onHealthReply(Incarnation(2), false));
    CHECK(monitor.onHealthReply(Incarnation(2), true));
    CHECK(monitor.condition().state == TargetState::Draining);
    CHECK(monitor.onHealthReply(Incarnation(2), false));
}

TEST_CASE("the state stays unknown until the target is known to be up or down", "[admission]")
{
    // Guards against a restarted agent that reports its target as down, which would reset the target's flows.
    ManualClock clock;
    TargetMonitor monitor(clock, {});
    CHECK_FALSE(monitor.onHealthConnectionRefused());
    CHECK(monitor.condition().state == TargetState::Unknown);
    CHECK(monitor.onHealthConnectionRefused());
    CHECK(monitor.condition().state == TargetState::Down);
}
