// Heartbeats at an agent: starts of its target, claims of other writers, and what they mean for open flows.
#include "steering/agent_fixture.h"

#include <catch2/catch.hpp>

using namespace cicadaward;
using namespace cicadaward::steering;
using namespace std::chrono_literals;

TEST_CASE("agent: flows of a target that restarted are reset, unknown flows never", "[agent]")
{
    AgentFixture fixture;
    fixture.makeReady();
    Endpoint self = AgentFixture::options().self;
    fixture.open(testFlow(1), 4711);
    fixture.run(1600ms);
    CHECK(fixture.sendHeartbeat("t-1", 200) == HeartbeatResult::NewStart);
    size_t answers = fixture.output.toCaller.size();
    FlowPacket late = dataPacket(testFlow(1));
    late.acknowledged = 4711;
    fixture.frame(FrameKind::Deliver, late, { self });
    fixture.bounceLastPacket();
    REQUIRE(fixture.output.toCaller.size() == answers + 1);
    FlowPacket reset;
    std::memcpy(&reset, fixture.output.toCaller.back().bytes.data(), sizeof(reset));
    CHECK(reset.reset);
    CHECK(reset.sequence == 4711);
    fixture.frame(FrameKind::Deliver, dataPacket(testFlow(2)), { self });
    CHECK(fixture.output.toCaller.size() == answers + 1);
    // The target need not be asked twice.
    size_t given = fixture.output.toTarget.size();
    fixture.frame(FrameKind::Deliver, late, { self });
    CHECK(fixture.output.toCaller.size() == answers + 2);
    CHECK(fixture.output.toTarget.size() == given);
}

// Guards against open flows that are reset because another writer sent a heartbeat.
TEST_CASE("agent: a heartbeat of another start neither ends flows nor replaces a target that lives", "[agent]")
{
    AgentFixture fixture;
    fixture.makeReady();
    fixture.open(testFlow(1), 4711);
    Heartbeat foreign = *fixture.agent.registration().lastHeartbeat();
    HeartbeatResult expected = HeartbeatResult::Claimed;
    foreign.id = "x-1";
    foreign.sequence = 1;
    foreign.startTimeMs += 100;
    SECTION("of the same service") { }
    SECTION("of another service") { foreign.service = catalogue; }
    SECTION("that is draining") { foreign.draining = true; }
    SECTION("with the id of the target") { foreign.id = "t-1"; }
    SECTION("of a service that the configuration does not name")
    {
        foreign.service = serviceKey("unknown");
        expected = HeartbeatResult::UnknownService;
    }
    SECTION("without a start time")
    {
        foreign.startTimeMs = 0;
        expected = HeartbeatResult::Outdated;
    }
    CHECK(fixture.agent.onHeartbeat(foreign) == expected);
    size_t given = fixture.output.toTarget.size();
    size_t answers = fixture.output.toCaller.size();
    // Who is at the address is not known while a claim is open, so no SYN may go there.
    fixture.offer(testFlow(2));
    fixture.offer(testFlow(1));
    CHECK(fixture.output.toTarget.size() == given + (expected == HeartbeatResult::Claimed ? 0 : 2));
    fixture.run(1000ms);
    CHECK(fixture.sendHeartbeat() != HeartbeatResult::Outdated);
    CHECK(fixture.agent.record().service == hub);
    CHECK(fixture.agent.isRegistered());
    given = fixture.output.toTarget.size();
    fixture.frame(FrameKind::Deliver, dataPacket(testFlow(1)), { AgentFixture::options().self });
    fixture.offer(testFlow(3));
    CHECK(fixture.output.toTarget.size() == given + 2);
    CHECK(fixture.output.toCaller.size() == answers);
}

TEST_CASE("agent: a target that bounces its flows has restarted, without waiting for its silence", "[agent]")
{
    AgentFixture fixture;
    fixture.makeReady();
    Endpoint self = AgentFixture::options().self;
    fixture.open(testFlow(1), 4711);
    fixture.open(testFlow(2), 815);
    CHECK(fixture.sendHeartbeat("t-1", 200) == HeartbeatResult::Claimed);
    size_t answers = fixture.output.toCaller.size();
    FlowPacket data = dataPacket(testFlow(1));
    SECTION("a packet of a later flow between the same ends proves nothing")
    {
        data.acknowledged = 9'000'000;
        fixture.frame(FrameKind::Deliver, data, { self });
        fixture.bounceLastPacket();
        CHECK(fixture.output.toCaller.size() == answers);
        CHECK(fixture.agent.registration().lastHeartbeat()->startTimeMs == 100);
    }
    SECTION("a packet of the flow proves it")
    {
        data.acknowledged = 4711;
        fixture.frame(FrameKind::Deliver, data, { self });
        fixture.bounceLastPacket();
        CHECK(fixture.output.toCaller.size() == answers + 1);
        CHECK(fixture.agent.registration().lastHeartbeat()->startTimeMs == 200);
        CHECK(fixture.agent.registration().hasSeenStart());
        // The other flow is still asked of the target.
        size_t given = fixture.output.toTarget.size();
        fixture.frame(FrameKind::Deliver, dataPacket(testFlow(2)), { self });
        CHECK(fixture.output.toTarget.size() == given + 1);
    }
}

// Guards against a restart of the target that is concluded from a pause of the agent's own process.
TEST_CASE(
    "agent: a late heartbeat of an earlier start changes nothing after the agent's process stood still", "[agent]")
{
    AgentFixture fixture;
    fixture.makeReady();
    Heartbeat late = *fixture.agent.registration().lastHeartbeat();
    fixture.agent.onDeparture("t-1");
    fixture.sendHeartbeat("t-1", 200);
    fixture.open(testFlow(1), 4711);
    fixture.clock.advance(6s);
    SECTION("known to this process") { }
    SECTION("not known to this process") { late.startTimeMs = 50; }
    late.sequence += 2;
    CHECK(fixture.agent.onHeartbeat(late) == HeartbeatResult::Outdated);
    fixture.agent.onTick();
    CHECK(fixture.agent.onHeartbeat(late) == HeartbeatResult::Outdated);
    CHECK(fixture.sendHeartbeat("t-1", 200) == HeartbeatResult::Changed);
    size_t given = fixture.output.toTarget.size();
    fixture.frame(FrameKind::Deliver, dataPacket(testFlow(1)), { AgentFixture::options().self });
    CHECK(fixture.output.toTarget.size() == given + 1);
}

TEST_CASE("agent: a heartbeat takes effect once a configuration names its service, unless it is old by then", "[agent]")
{
    AgentFixture fixture;
    Configuration other = makeConfiguration(1, {}, { "catalogue" });
    SECTION("before the first state") { }
    SECTION("after a state that does not name it") { fixture.agent.setState(StateIndex(1), RouteTable(other), {}); }
    CHECK(fixture.sendHeartbeat() == HeartbeatResult::UnknownService);
    CHECK(fixture.agent.record().service == ServiceKey());
    fixture.clock.advance(1s);
    bool isOld = false;
    SECTION("soon") { }
    SECTION("late")
    {
        fixture.clock.advance(1s);
        isOld = true;
    }
    SECTION("after it has departed")
    {
        fixture.agent.onDeparture("t-1");
        isOld = true;
    }
    fixture.agent.setState(StateIndex(1), makeHubRouteTable(2), {});
    CHECK(fixture.agent.registration().state() == (isOld ? TargetState::Unknown : TargetState::Ready));
    if (!isOld)
        CHECK(fixture.agent.registration().heartbeatAge() == 1s);
}

TEST_CASE("agent: a target that was heard from its start before the first state has no unknown flows", "[agent]")
{
    AgentFixture fixture;
    fixture.heartbeatSequence = 0;
    fixture.sendHeartbeat();
    fixture.run(1200ms);
    fixture.sendHeartbeat();
    fixture.agent.setState(StateIndex(1), makeHubRouteTable(), {});
    CHECK(fixture.agent.registration().hasSeenStart());
}

TEST_CASE("agent: a target is heard after its service was removed", "[agent]")
{
    AgentFixture fixture;
    fixture.makeReady();
    fixture.agent.setState(StateIndex(1), RouteTable(makeConfiguration(2, {}, { "catalogue" })), {});
    CHECK(fixture.sendHeartbeat("t-1", 100, true) == HeartbeatResult::Changed);
    CHECK(fixture.agent.record().state == TargetState::Draining);
}

TEST_CASE("agent: a flow that was not established at the ended target is passed on, not reset", "[agent]")
{
    AgentFixture fixture;
    fixture.makeReady();
    fixture.offer(testFlow(1));
    SECTION("the SYN was not answered") { }
    SECTION("the SYN was answered, and perhaps by another target too")
    {
        FlowPacket answer = dataPacket(testFlow(1), 0);
        answer.syn = true;
        fixture.receiveFromTarget(answer);
    }
    fixture.run(1600ms);
    REQUIRE(fixture.sendHeartbeat("t-1", 200) == HeartbeatResult::NewStart);
    size_t answers = fixture.output.toCaller.size();
    fixture.frame(FrameKind::Deliver, dataPacket(testFlow(1)), { AgentFixture::options().self, testMember(2).agent });
    fixture.bounceLastPacket();
    CHECK(fixture.output.toCaller.size() == answers);
    CHECK(fixture.output.frames.back().to == testMember(2).agent);
}
