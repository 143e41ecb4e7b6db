// Callers that open a flow with the ports of an earlier one.
#include "steering/agent_fixture.h"

using namespace cicadaward;
using namespace cicadaward::steering;
using namespace std::chrono_literals;

namespace {

constexpr uint32_t firstIsn = 1000;
constexpr uint32_t laterIsn = 5000;

// An agent that knows all flows of its target, which has answered a flow of the caller.
struct PortReuseFixture : AgentFixture {
    PortReuseFixture()
    {
        heartbeatSequence = 0;
        makeReady();
        offerWith(firstIsn);
        receiveFromTarget(dataPacket(flow, 10));
    }
    void offerWith(uint32_t isn, uint8_t synRetransmission = 0)
    {
        FlowPacket syn = synPacket(flow, synRetransmission);
        syn.sequence = isn;
        frame(FrameKind::Offer, syn, { options().self, testMember(2).agent });
    }
    void closeByTarget()
    {
        FlowPacket end = dataPacket(flow, 0);
        end.fin = true;
        receiveFromTarget(end);
    }
    void closeByCaller()
    {
        FlowPacket end = dataPacket(flow, 0);
        end.fin = true;
        deliver(end);
    }
    void deliver(const FlowPacket& packet)
    {
        frame(FrameKind::Deliver, packet, { options().self, testMember(2).agent });
    }
    bool isAtTarget(size_t before) const { return output.toTarget.size() == before + 1; }

    const FlowId flow = testFlow(1);
};

} // namespace

// Guards against new flows at a draining or evacuated target: the SYN of a later flow was taken for a copy of the SYN
// of the closed one.
TEST_CASE("agent: a new flow with the ports of a closed one is subject to admission", "[agent]")
{
    PortReuseFixture fixture;
    fixture.closeByTarget();
    fixture.closeByCaller();
    size_t before = fixture.output.toTarget.size();
    SECTION("the target takes flows")
    {
        fixture.offerWith(laterIsn);
        CHECK(fixture.isAtTarget(before));
        fixture.offerWith(laterIsn, 1); // a copy
        CHECK(fixture.isAtTarget(before + 1));
    }
    SECTION("the target drains") { fixture.sendHeartbeat("t-1", 100, true); }
    SECTION("its data centre is evacuated") { fixture.agent.setState(StateIndex(1), makeHubRouteTable(2), { "east" }); }
    if (fixture.output.toTarget.size() != before)
        return;
    fixture.offerWith(laterIsn);
    CHECK(fixture.output.toTarget.size() == before);
    CHECK(fixture.output.frames.back().to == testMember(2).agent);
    fixture.deliver(dataPacket(fixture.flow)); // the new flow is open at another target
    CHECK(fixture.output.toTarget.size() == before);
    CHECK(fixture.output.frames.back().to == testMember(2).agent);
}

// Guards against an open flow that its agent denies after a late copy of an earlier SYN.
TEST_CASE("agent: a SYN with another sequence number leaves a flow that is not closed as it is", "[agent]")
{
    PortReuseFixture fixture;
    SECTION("open") { }
    SECTION("closed by the target") { fixture.closeByTarget(); }
    SECTION("closed by the caller") { fixture.closeByCaller(); }
    fixture.sendHeartbeat("t-1", 100, true);
    size_t before = fixture.output.toTarget.size();
    fixture.offerWith(laterIsn);
    CHECK(fixture.isAtTarget(before));
    fixture.deliver(dataPacket(fixture.flow));
    CHECK(fixture.isAtTarget(before + 1));
}
