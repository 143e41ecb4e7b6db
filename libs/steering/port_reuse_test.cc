// Callers that open a flow with the ports of an earlier one.
#include "steering/agent_fixture.h"
#include "steering/entry_fixture.h"

using namespace cicadaward;
using namespace cicadaward::steering;
using namespace std::chrono_literals;

namespace {

constexpr uint32_t earlierIsn = 0x0fff'0000;
constexpr uint32_t firstIsn = 0x1000'0000;
constexpr uint32_t firstTargetIsn = 0x2000'0000;
constexpr uint32_t laterTargetIsn = 0x3000'0000;
constexpr uint16_t requestBytes = 10;

enum class Ending { ByBoth, ByCaller, ByTarget, CallerReset, TargetReset, None, IdleLimit };
enum class Check { NewerRoutes, OtherService, Draining, Evacuated, WarmUp, FlowLimit, Unregistered };

constexpr Ending allEndings[] { Ending::ByBoth, Ending::ByCaller, Ending::ByTarget, Ending::CallerReset,
    Ending::TargetReset, Ending::None, Ending::IdleLimit };
constexpr Check allChecks[] { Check::NewerRoutes, Check::OtherService, Check::Draining, Check::Evacuated, Check::WarmUp,
    Check::FlowLimit, Check::Unregistered };

// An agent, an entry that offers it flows between the same ends, and its target.
struct PortFixture : AgentFixture {
    void setState(StateIndex index, std::vector<WeightedService> services, std::set<std::string> evacuated = {})
    {
        Configuration configuration = makeConfiguration(
            index.value(), { makeRoute(serviceAddress, std::move(services)) }, { "hub", "catalogue" });
        configuration.services[0].warmUpRate = warmUpRate;
        configuration.services[0].maxFlows = maxFlows;
        agent.setState(index, RouteTable(configuration), std::move(evacuated));
    }
    void offerWith(uint32_t isn, uint8_t synRetransmission = 0)
    {
        FlowPacket syn = synPacket(flow, synRetransmission);
        syn.sequence = isn;
        Frame offer;
        offer.kind = FrameKind::Offer;
        offer.nextPosition = 1;
        offer.service = offeredService;
        offer.state = StateIndex(4);
        offer.entry = entryEndpoint;
        offer.members = { options().self, testMember(2).agent };
        send(offer, syn);
    }
    FlowPacket callerPacket(uint32_t isn, uint16_t length) const
    {
        FlowPacket packet = dataPacket(flow, length);
        packet.sequence = isn + 1;
        return packet;
    }
    FlowPacket targetPacket(uint32_t targetIsn, uint16_t length) const
    {
        FlowPacket packet = dataPacket(flow, length);
        packet.sequence = targetIsn + 1;
        packet.acknowledged = firstIsn + 1 + requestBytes;
        return packet;
    }
    void answerSyn(uint32_t isn, uint32_t targetIsn)
    {
        FlowPacket answer = dataPacket(flow, 0);
        answer.syn = true;
        answer.sequence = targetIsn;
        answer.acknowledged = isn + 1;
        receiveFromTarget(answer);
    }
    void deliver(const FlowPacket& packet)
    {
        frame(FrameKind::Deliver, packet, { options().self, testMember(2).agent });
    }
    // Returns whether the target got a data packet of the caller's flow with this number.
    bool isDelivered(uint32_t isn)
    {
        size_t before = output.toTarget.size();
        deliver(callerPacket(isn, 0));
        return output.toTarget.size() > before;
    }
    // Returns whether the target got a SYN with this number.
    bool isOffered(uint32_t isn, uint8_t synRetransmission = 0)
    {
        size_t before = output.toTarget.size();
        offerWith(isn, synRetransmission);
        return output.toTarget.size() > before;
    }
    void end(Ending ending)
    {
        FlowPacket byCaller = callerPacket(firstIsn + requestBytes, 0);
        FlowPacket byTarget = targetPacket(firstTargetIsn + requestBytes, 0);
        byCaller.fin = byTarget.fin = true;
        if (ending == Ending::ByTarget || ending == Ending::ByBoth)
            receiveFromTarget(byTarget);
        if (ending == Ending::ByCaller || ending == Ending::ByBoth)
            deliver(byCaller);
        byCaller.fin = byTarget.fin = false;
        byCaller.reset = byTarget.reset = true;
        if (ending == Ending::CallerReset)
            deliver(byCaller);
        if (ending == Ending::TargetReset)
            receiveFromTarget(byTarget);
        if (ending == Ending::IdleLimit) {
            run(16s);
            sendHeartbeat();
        }
    }
    // Makes one of the agent's checks refuse new flows.
    void refuseBy(Check check)
    {
        if (check == Check::NewerRoutes)
            setState(StateIndex(5), { { catalogue, 1 } });
        if (check == Check::OtherService)
            offeredService = catalogue;
        if (check == Check::Draining)
            sendHeartbeat("t-1", 100, true);
        if (check == Check::Evacuated)
            setState(StateIndex(4), { { hub, 1 } }, { "east" });
        if (check == Check::WarmUp) {
            warmUpRate = 0.1;
            setState(StateIndex(4), { { hub, 1 } });
            sendHeartbeat("t-1", 100, false, 5s);
            for (uint16_t i = 0; i < 8; ++i)
                offer(testFlow(100 + i));
        }
        if (check == Check::FlowLimit) {
            offer(testFlow(100));
            maxFlows = 1;
            setState(StateIndex(4), { { hub, 1 } });
        }
        if (check == Check::Unregistered)
            agent.raiseIncarnationAbove(agent.record().incarnation + 1);
    }

    const FlowId flow = testFlow(1);
    ServiceKey offeredService = hub;
    double warmUpRate = 0;
    uint32_t maxFlows = 0;
};

// The agent knows all flows of its target, which holds an open flow of the caller with the number firstIsn.
struct PortReuseFixture : PortFixture {
    PortReuseFixture()
    {
        heartbeatSequence = 0;
        setState(StateIndex(4), { { hub, 1 } });
        sendHeartbeat();
        offerWith(firstIsn);
        answerSyn(firstIsn, firstTargetIsn);
        deliver(callerPacket(firstIsn, requestBytes));
        receiveFromTarget(targetPacket(firstTargetIsn, requestBytes));
    }
};

// The agent has started after its target, which holds the same flow; the table lacks it.
struct LateAgentFixture : PortFixture {
    LateAgentFixture()
    {
        setState(StateIndex(4), { { hub, 1 } });
        sendHeartbeat();
    }
};

// Initial numbers of the later flow: far from the first one, and so near that their windows overlap.
const auto laterIsns = { 0x9000'0000U, firstIsn + 5000 };

} // namespace

// Guards against new flows that pass over the agent's checks because their SYN is taken for a copy of an earlier one.
TEST_CASE("ports used again: a new flow is subject to every check, however the earlier one ended", "[ports]")
{
    for (uint32_t laterIsn : laterIsns) {
        for (Ending ending : allEndings) {
            for (Check check : allChecks) {
                INFO("ending " << int(ending) << ", check " << int(check) << ", number " << laterIsn);
                PortReuseFixture fixture;
                fixture.end(ending);
                fixture.refuseBy(check);
                CHECK(!fixture.isOffered(laterIsn));
                bool isOutdated = check == Check::NewerRoutes;
                CHECK(fixture.output.frames.back().to == (isOutdated ? entryEndpoint : testMember(2).agent));
                CHECK(!fixture.isOffered(laterIsn, 1));
                CHECK(!fixture.isDelivered(laterIsn)); // it is open at another target
                bool isStillOpen = ending == Ending::ByCaller || ending == Ending::ByTarget || ending == Ending::None;
                if (isStillOpen)
                    CHECK(fixture.isDelivered(firstIsn));
            }
        }
    }
}

TEST_CASE("ports used again: a new flow that the target takes replaces the earlier one", "[ports]")
{
    for (uint32_t laterIsn : laterIsns) {
        for (Ending ending : allEndings) {
            INFO("ending " << int(ending) << ", number " << laterIsn);
            PortReuseFixture fixture;
            fixture.end(ending);
            CHECK(fixture.isOffered(laterIsn));
            CHECK(fixture.isOffered(laterIsn, 1)); // a copy
            fixture.answerSyn(laterIsn, laterTargetIsn);
            CHECK(fixture.isDelivered(laterIsn));
            CHECK(fixture.agent.flowCount() == 1);
            size_t frames = fixture.output.frames.size();
            CHECK(!fixture.isDelivered(firstIsn));
            bool isRemembered = ending != Ending::TargetReset && ending != Ending::IdleLimit;
            if (isRemembered) {
                CHECK(!fixture.isOffered(firstIsn, 2)); // a late copy of the earlier SYN
                CHECK(fixture.output.frames.size() == frames);
            }
            CHECK(fixture.isDelivered(laterIsn));
        }
    }
}

// Guards against an open flow that its agent denies after a late copy of an earlier SYN.
TEST_CASE("ports used again: a late copy of an earlier SYN ends no open flow", "[ports]")
{
    PortReuseFixture fixture;
    SECTION("the copy is refused here")
    {
        fixture.refuseBy(Check::Draining);
        CHECK(!fixture.isOffered(earlierIsn, 2));
    }
    SECTION("the target bounces it")
    {
        CHECK(fixture.isOffered(earlierIsn, 2));
        fixture.bounceLastPacket();
        CHECK(fixture.output.frames.back().to == testMember(2).agent);
    }
    SECTION("the target does not answer it") { CHECK(fixture.isOffered(earlierIsn, 2)); }
    CHECK(fixture.isDelivered(firstIsn));
    fixture.receiveFromTarget(fixture.targetPacket(firstTargetIsn + requestBytes, requestBytes));
    CHECK(fixture.isDelivered(firstIsn));
    CHECK(fixture.agent.flowCount() == 1);
}

// Guards against a flow that opens at its target although the caller has ended it.
TEST_CASE("ports used again: a copy of the SYN of a flow that has ended opens nothing", "[ports]")
{
    PortReuseFixture fixture;
    fixture.end(GENERATE(Ending::ByBoth, Ending::CallerReset));
    size_t frames = fixture.output.frames.size();
    CHECK(!fixture.isOffered(firstIsn, 2));
    CHECK(fixture.output.frames.size() == frames);
}

// Guards against packets of an open flow at a target that has only answered a late copy of an earlier SYN.
TEST_CASE("ports used again: a target that holds a flow of other numbers gets no packet", "[ports]")
{
    PortReuseFixture fixture;
    uint32_t isn = 0x9000'0000;
    CHECK(!fixture.isDelivered(isn));
    Frame passedOn = fixture.lastFrame();
    CHECK(fixture.output.frames.back().to == testMember(2).agent);
    CHECK(passedOn.isUncertain); // the known flow may be open, and a reset would reach its caller
    CHECK(fixture.observer.count(Decision::NotHeld) == 1);
}

TEST_CASE("ports used again: a reset of the caller counts only within the window of its flow", "[ports]")
{
    PortReuseFixture fixture;
    FlowPacket reset = fixture.callerPacket(GENERATE(firstIsn + (1 << 20), firstIsn - (1 << 20)), 0);
    reset.reset = true;
    size_t before = fixture.output.toTarget.size();
    fixture.deliver(reset);
    CHECK(fixture.output.toTarget.size() == before);
    CHECK(fixture.isOffered(firstIsn, 1)); // a copy of the SYN of an open flow
    CHECK(fixture.isDelivered(firstIsn));
}

// Guards against a flow that is denied because a late packet of an earlier one came first after a restart of its agent.
TEST_CASE("ports used again: a packet that was tried does not say which flow the target holds", "[ports]")
{
    LateAgentFixture fixture;
    fixture.deliver(fixture.callerPacket(earlierIsn - (1 << 20), requestBytes));
    CHECK(fixture.output.toTarget.size() == 1);
    CHECK(fixture.isDelivered(firstIsn));
    fixture.receiveFromTarget(fixture.targetPacket(firstTargetIsn, requestBytes));
    CHECK(fixture.isDelivered(firstIsn));
    CHECK(!fixture.isDelivered(earlierIsn - (1 << 20)));
}

// Guards against an open flow that is denied because its agent, after a restart, has given the target a late SYN.
TEST_CASE("ports used again: a SYN that the target does not answer hides no flow from before the agent", "[ports]")
{
    LateAgentFixture fixture;
    uint32_t lateIsn = 0x9000'0000;
    CHECK(fixture.isOffered(lateIsn, 2));
    CHECK(fixture.isDelivered(firstIsn));
    fixture.receiveFromTarget(fixture.targetPacket(firstTargetIsn, requestBytes));
    CHECK(fixture.isDelivered(firstIsn));
    CHECK(!fixture.isDelivered(lateIsn));
}

// Guards against an open flow that its agent forgets because the target returns a packet of an earlier one late.
TEST_CASE("ports used again: a bounced packet of an earlier flow ends no open one", "[ports]")
{
    PortReuseFixture fixture;
    FlowPacket bounced;
    std::memcpy(&bounced, fixture.output.toTarget.back().bytes.data(), sizeof(bounced));
    uint32_t mark = bounced.mark + 1000; // of an earlier process of the agent
    bounced = fixture.callerPacket(0x9000'0000, 0);
    bounced.bounced = true;
    bounced.mark = mark;
    fixture.receiveFromTarget(bounced);
    CHECK(fixture.agent.flowCount() == 1);
    CHECK(fixture.isDelivered(firstIsn));
}

// Guards against a new flow that opens by a copy of its SYN although the state has changed since the first one.
TEST_CASE("ports used again: each copy of a SYN beside a known flow passes the checks", "[ports]")
{
    PortReuseFixture fixture;
    CHECK(fixture.isOffered(laterIsns.begin()[0]));
    fixture.refuseBy(GENERATE(Check::NewerRoutes, Check::Draining, Check::Evacuated));
    CHECK(!fixture.isOffered(laterIsns.begin()[0], 1));
    CHECK(fixture.isDelivered(firstIsn));
}

// Guards against a new flow that counts as answered, and is located here, by a late packet of the earlier one.
TEST_CASE("ports used again: a late packet of the target on the earlier flow does not answer the new one", "[ports]")
{
    PortReuseFixture fixture;
    fixture.end(Ending::CallerReset);
    CHECK(fixture.isOffered(laterIsns.begin()[0]));
    size_t frames = fixture.output.frames.size();
    fixture.receiveFromTarget(fixture.targetPacket(firstTargetIsn, requestBytes));
    CHECK(fixture.output.frames.size() == frames);
}

// Guards against a reset of an open flow by the agent of an earlier one whose numbers are close by chance.
TEST_CASE("ports used again: a later SYN bounds the window of a flow whose initial number is unknown", "[ports]")
{
    LateAgentFixture fixture;
    CHECK(fixture.isDelivered(firstIsn));
    fixture.receiveFromTarget(fixture.targetPacket(firstTargetIsn, requestBytes));
    fixture.refuseBy(Check::OtherService);
    CHECK(!fixture.isOffered(firstIsn + 5000));
    CHECK(!fixture.isDelivered(firstIsn + 5000));
    CHECK(fixture.isDelivered(firstIsn + requestBytes));
}

// Guards against a flow at a new start of the target that is not in the register yet.
TEST_CASE("ports used again: a new start of the target decides on no SYN that the earlier one got", "[ports]")
{
    PortReuseFixture fixture;
    CHECK(fixture.isOffered(0x9000'0000));
    fixture.agent.onDeparture("t-1");
    fixture.registersAtOnce = false;
    fixture.sendHeartbeat("t-2", 200);
    CHECK(!fixture.isOffered(0x9000'0000, 1));
}

// Guards against a reset of an open flow because its agent denies a late packet of an earlier flow between the same
// ends.
TEST_CASE("ports used again: a late packet of an earlier flow resets no open flow", "[ports]")
{
    PortReuseFixture fixture;
    EntryWithoutState other; // the caller's later packets go through another entry
    other.entry.setState(StateIndex(4), makeHubRouteTable(), {});
    other.entry.members().update(testMember(1));
    other.packet(fixture.callerPacket(earlierIsn - (1 << 20), requestBytes));
    std::vector<uint8_t> packet = other.output.frames.back().bytes;
    fixture.agent.onFrame(entryEndpoint, packet.data(), packet.size());
    std::vector<uint8_t> answer = fixture.output.frames.back().bytes;
    other.entry.onFrame(testMember(1).agent, answer.data(), answer.size());
    other.clock.advance(10ms);
    other.entry.onMembersConfirmed(other.clock.now());
    CHECK(other.output.toCaller.empty());
    CHECK(fixture.isDelivered(firstIsn));
}

// Guards against a new flow in an evacuated data centre, at an agent that does not know of the evacuation yet.
TEST_CASE("ports used again: the agent of the earlier flow is not asked while its data centre is evacuated", "[ports]")
{
    EntryWithoutState entry;
    entry.entry.setState(StateIndex(4), makeHubRouteTable(), {});
    MemberRecord first = testMember(1);
    entry.entry.members().update(first);
    FlowPacket syn = synPacket(testFlow(1));
    syn.sequence = firstIsn;
    entry.packet(syn);
    std::vector<uint8_t> located = flowFrameBytes(FrameKind::Located, testFlow(1));
    entry.entry.onFrame(first.agent, located.data(), located.size());
    entry.entry.members().update(testMember(2));
    entry.entry.setState(StateIndex(5), makeHubRouteTable(), { first.dataCentre });
    syn.sequence = 0x9000'0000;
    entry.packet(syn);
    CHECK(entry.output.frames.back().to == testMember(2).agent);
    CHECK(entry.output.lastFrame().members.size() == 1);
}
