#include "steering/entry_fixture.h"

#include <catch2/catch.hpp>

using namespace cicadaward;
using namespace cicadaward::steering;
using namespace std::chrono_literals;

namespace {

struct EntryFixture : EntryWithoutState {
    EntryFixture()
    {
        entry.setState(StateIndex(1), makeHubRouteTable(), {});
        for (uint32_t i = 1; i <= 4; ++i)
            entry.members().update(testMember(i));
    }
    void located(Endpoint agent, const FlowId& flow)
    {
        std::vector<uint8_t> bytes = flowFrameBytes(FrameKind::Located, flow);
        entry.onFrame(agent, bytes.data(), bytes.size());
    }
    void returned(Endpoint agent, Frame frame, const FlowPacket& head)
    {
        frame.kind = FrameKind::Returned;
        std::vector<uint8_t> bytes = frameBytes(frame, head);
        entry.onFrame(agent, bytes.data(), bytes.size());
    }
    Frame lastFrame() const { return output.lastFrame(); }
};

} // namespace

TEST_CASE("entry: a SYN goes to the first member, its retransmissions to the next ones", "[entry]")
{
    EntryFixture fixture;
    std::set<uint32_t> first;
    for (uint8_t synRetransmission = 0; synRetransmission < 3; ++synRetransmission) {
        fixture.packet(synPacket(testFlow(1), synRetransmission));
        first.insert(fixture.output.frames.back().to.address);
        CHECK(fixture.lastFrame().shouldCompareLoad == (synRetransmission == 0));
    }
    CHECK(first.size() == 3);
}

TEST_CASE("entry: the time from the start of a search to its answer is reported once", "[entry]")
{
    EntryFixture fixture;
    FlowPacket data;
    data.flow = testFlow(1);
    data.length = 10;
    fixture.packet(data);
    fixture.clock.advance(7ms);
    fixture.located(testMember(2).agent, testFlow(1));
    fixture.located(testMember(2).agent, testFlow(1));
    fixture.located(testMember(3).agent, testFlow(2)); // offered, not searched
    std::vector<std::pair<Latency, Duration>> expected { { Latency::FlowFound, 7ms } };
    CHECK(fixture.observer.latencies == expected);
}

TEST_CASE("entry: a SYN to an unknown address is dropped, one to a full service is reset unless it is a retransmission",
    "[entry]")
{
    EntryFixture fixture;
    FlowPacket stray = synPacket({ { 1, 1 }, { 2, 2 } });
    fixture.packet(stray);
    CHECK(fixture.output.frames.empty());
    CHECK(fixture.output.toCaller.empty());
    CHECK(fixture.observer.count(Decision::NoRoute) == 1);

    fixture.packet(synPacket(testFlow(1)));
    fixture.returned(testMember(1).agent, fixture.lastFrame(), synPacket(testFlow(1)));
    CHECK(fixture.output.toCaller.size() == 1);
    fixture.returned(testMember(1).agent, fixture.lastFrame(), synPacket(testFlow(1), 1));
    CHECK(fixture.output.toCaller.size() == 1);
}

TEST_CASE("entry: no reset while members cannot decide yet or none is known", "[entry]")
{
    EntryFixture fixture;
    fixture.packet(synPacket(testFlow(1)));
    Frame frame = fixture.lastFrame();
    frame.mayAcceptLater = true;
    fixture.returned(testMember(1).agent, frame, synPacket(testFlow(1)));
    CHECK(fixture.output.toCaller.empty());

    EntryFixture empty;
    empty.entry.setState(StateIndex(1),
        RouteTable(makeConfiguration(1, { makeRoute(serviceAddress, { { catalogue, 1 } }) }, { "catalogue" })), {});
    empty.packet(synPacket(testFlow(1)));
    CHECK(empty.output.toCaller.empty());
}

TEST_CASE("entry: packets of cached flows go directly to their agent, and a returned one starts a search elsewhere",
    "[entry]")
{
    EntryFixture fixture;
    Endpoint holder = testMember(3).agent;
    fixture.located(holder, testFlow(1));
    fixture.packet(dataPacket(testFlow(1)));
    CHECK(fixture.output.frames.back().to == holder);
    CHECK(fixture.lastFrame().members.size() == 1);

    fixture.returned(holder, fixture.lastFrame(), dataPacket(testFlow(1)));
    Frame search = fixture.lastFrame();
    CHECK(search.kind == FrameKind::Deliver);
    CHECK(search.members.size() == 3);
    CHECK(std::find(search.members.begin(), search.members.end(), holder)
        == search.members.end()); // it has denied the flow
    size_t sent = fixture.output.frames.size();
    fixture.returned(testMember(1).agent, search, dataPacket(testFlow(1)));
    CHECK(fixture.output.frames.size() == sent); // all members have been asked
    CHECK(fixture.output.toCaller.empty()); // a missing record does not prove that no target holds the flow
}

// Guards against the reset of an open flow whose member the entry does not know yet, or whose member could not rule out
// that its target holds the flow.
TEST_CASE("entry: a flow that all members deny is reset once the members are confirmed after the denial", "[entry]")
{
    EntryFixture fixture;
    fixture.clock.advance(1s);
    Time before = fixture.clock.now();
    fixture.clock.advance(1ms);
    FlowPacket head = dataPacket(testFlow(1));
    head.acknowledged = 77;
    fixture.packet(head);
    Frame search = fixture.lastFrame();
    REQUIRE(search.members.size() == 4);
    SECTION("confirmed")
    {
        fixture.returned(search.members.back(), search, head);
        CHECK(fixture.output.confirmationRequests == 1);
        fixture.entry.onMembersConfirmed(before); // asked before the denial
        CHECK(fixture.output.toCaller.empty());
        fixture.clock.advance(5ms);
        fixture.entry.onMembersConfirmed(fixture.clock.now());
        REQUIRE(fixture.output.toCaller.size() == 1);
        FlowPacket reset;
        std::memcpy(&reset, fixture.output.toCaller[0].bytes.data(), sizeof(reset));
        CHECK(reset.reset);
        CHECK(reset.sequence == 77);
        return;
    }
    SECTION("a member that was not asked")
    {
        fixture.returned(search.members.back(), search, head);
        fixture.entry.members().update(testMember(9));
    }
    SECTION("a member that is not certain")
    {
        search.isUncertain = true;
        fixture.returned(search.members.back(), search, head);
        CHECK(fixture.output.confirmationRequests == 0);
    }
    SECTION("the flow was located after the denial")
    {
        fixture.returned(search.members.back(), search, head);
        fixture.located(testMember(2).agent, testFlow(1));
    }
    SECTION("a newer route has another service")
    {
        fixture.returned(search.members.back(), search, head);
        fixture.entry.members().update(testMember(9, catalogue));
        fixture.entry.setState(StateIndex(1),
            RouteTable(makeConfiguration(
                2, { makeRoute(serviceAddress, { { hub, 1 }, { catalogue, 1 } }) }, { "hub", "catalogue" })),
            {});
    }
    SECTION("a route whose list of former services is full")
    {
        fixture.returned(search.members.back(), search, head);
        Route route = makeRoute(serviceAddress, { { hub, 1 } });
        for (size_t i = 0; i < maxFormerServices; ++i)
            route.formerServices.push_back(serviceKey("former-" + std::to_string(i)));
        fixture.entry.setState(StateIndex(1), RouteTable(makeConfiguration(2, { route }, { "hub" })), {});
    }
    fixture.clock.advance(5ms);
    fixture.entry.onMembersConfirmed(fixture.clock.now());
    CHECK(fixture.output.toCaller.empty());
}

// Guards against a reset of an open flow because members deny a late packet of an earlier flow between the same ends.
TEST_CASE("entry: denials of another flow's packet between the same ends do not count", "[entry][ports]")
{
    EntryFixture fixture;
    FlowPacket late = dataPacket(testFlow(1));
    late.sequence = 0x1000'0000;
    FlowPacket current = late;
    current.sequence = 0x9000'0000;
    fixture.located(testMember(1).agent, testFlow(1));
    SECTION("the other packet came first")
    {
        fixture.packet(late);
        fixture.returned(testMember(1).agent, fixture.lastFrame(), late);
        fixture.packet(current);
        CHECK(fixture.lastFrame().members.size() == 4); // all are asked about this flow
    }
    SECTION("the other packet came during the search")
    {
        fixture.packet(current);
        fixture.packet(current); // retransmitted
        Frame search = fixture.lastFrame();
        Frame denial = search;
        denial.members = { testMember(1).agent };
        fixture.returned(testMember(1).agent, denial, late);
        search.members = { testMember(2).agent, testMember(3).agent, testMember(4).agent };
        fixture.returned(testMember(4).agent, search, current);
        CHECK(fixture.output.confirmationRequests == 0);
    }
}

TEST_CASE("entry: a departed member is not asked, and its flows are searched for at the others", "[entry]")
{
    EntryFixture fixture;
    fixture.located(testMember(3).agent, testFlow(1));
    MemberRecord departed = testMember(3);
    departed.sequence = 2;
    departed.state = TargetState::Departed;
    fixture.entry.members().update(departed);
    fixture.packet(dataPacket(testFlow(1)));
    Frame search = fixture.lastFrame();
    CHECK(search.members.size() == 3);
    CHECK(std::find(search.members.begin(), search.members.end(), departed.agent) == search.members.end());
}

TEST_CASE("entry: a search without an answer becomes a broadcast, not more often than its interval", "[entry]")
{
    EntryFixture fixture;
    fixture.packet(dataPacket(testFlow(1)));
    CHECK(fixture.output.frames.size() == 1);
    CHECK(fixture.lastFrame().members.size() == 4);
    fixture.clock.advance(31ms);
    fixture.packet(dataPacket(testFlow(1)));
    CHECK(fixture.output.frames.size() == 5);
    CHECK(fixture.lastFrame().kind == FrameKind::Probe);
    fixture.clock.advance(10ms);
    fixture.packet(dataPacket(testFlow(1)));
    CHECK(fixture.output.frames.size() == 6);
    CHECK(fixture.observer.count(Decision::Broadcast) == 1);
}

// Guards against a search that waits for the caller's retransmission, which comes only after 200 ms.
TEST_CASE("entry: a packet whose walk is not answered is sent again without waiting for the caller", "[entry]")
{
    EntryFixture fixture;
    fixture.packet(dataPacket(testFlow(1)));
    SECTION("no answer")
    {
        fixture.clock.advance(31ms);
        fixture.entry.onTick();
        CHECK(fixture.output.frames.size() == 5);
        fixture.clock.advance(31ms);
        fixture.entry.onTick();
        CHECK(fixture.output.frames.size() == 5);
    }
    SECTION("found")
    {
        fixture.located(testMember(2).agent, testFlow(1));
        fixture.clock.advance(31ms);
        fixture.entry.onTick();
        CHECK(fixture.output.frames.size() == 1);
    }
}

// Guards against a flow that stays cached with the wrong agent, whose target returns packets late or not at all.
TEST_CASE("entry: retransmitted data starts a search at the last known agent", "[entry]")
{
    EntryFixture fixture;
    Endpoint known = testMember(3).agent;
    fixture.located(known, testFlow(1));
    FlowPacket data = dataPacket(testFlow(1));
    data.sequence = 100;
    fixture.packet(data);
    CHECK(fixture.lastFrame().members.size() == 1);
    fixture.packet(data);
    Frame search = fixture.lastFrame();
    REQUIRE(search.members.size() == 4);
    CHECK(search.members[0] == known);
    fixture.clock.advance(200ms);
    fixture.packet(data);
    CHECK(fixture.observer.count(Decision::Broadcast) == 1);
    fixture.located(testMember(2).agent, testFlow(1));
    data.sequence = 110;
    fixture.packet(data);
    CHECK(fixture.output.frames.back().to == testMember(2).agent);
}

// Guards against a reset of a flow that a retransmission of the SYN has opened at another target.
// Guards against packets of an open flow at sound targets that do not hold it, while its own agent is out.
TEST_CASE("entry: while the agent of a located flow is out, no other member asks its target", "[entry]")
{
    EntryFixture fixture;
    constexpr uint32_t memberCount = 12; // more than a broadcast asks with a probe each
    for (uint32_t i = 5; i <= memberCount; ++i)
        fixture.entry.members().update(testMember(i));
    Endpoint home = testMember(2).agent;
    FlowPacket data = dataPacket(testFlow(1));
    fixture.located(home, testFlow(1));
    fixture.packet(data);
    CHECK(fixture.lastFrame().mayTry); // to the home only
    size_t before = fixture.output.frames.size();
    for (int retransmission = 0; retransmission < 3; ++retransmission) {
        fixture.clock.advance(50ms);
        fixture.entry.onTick();
        fixture.clock.advance(150ms);
        fixture.packet(data);
    }
    size_t toHome = 0;
    for (size_t i = before; i < fixture.output.frames.size(); ++i) {
        Frame frame;
        const auto& sent = fixture.output.frames[i];
        REQUIRE(decodeFrame(sent.bytes.data(), sent.bytes.size(), frame));
        bool isForHome = frame.kind == FrameKind::Probe && sent.to == home;
        CHECK(frame.mayTry == isForHome);
        toHome += sent.to == home ? 1 : 0;
    }
    CHECK(toHome >= 3);

    // Once the home has denied the flow, the members that were not allowed to ask their targets are asked again.
    Frame walk;
    walk.kind = FrameKind::Deliver;
    walk.members = { home, testMember(1).agent, testMember(3).agent };
    walk.mayTry = false;
    walk.isUncertain = true;
    fixture.returned(testMember(3).agent, walk, data);
    Frame next = fixture.lastFrame();
    CHECK(next.kind == FrameKind::Deliver);
    CHECK(next.mayTry);
    CHECK(next.members.size() == memberCount - 1);
    CHECK(std::count(next.members.begin(), next.members.end(), home) == 0);
}

TEST_CASE("entry: a SYN that is returned late is not answered with a reset", "[entry]")
{
    EntryFixture fixture;
    fixture.packet(synPacket(testFlow(1)));
    Frame offer = fixture.lastFrame();
    fixture.clock.advance(1s);
    fixture.returned(testMember(1).agent, offer, synPacket(testFlow(1)));
    CHECK(fixture.output.toCaller.empty());
}

TEST_CASE("entry: agents that do not answer offers are asked last until they answer", "[entry]")
{
    EntryFixture fixture;
    uint64_t hash = testFlow(1).hash();
    Endpoint dead = fixture.entry.members().candidatesForNewFlow(hash, hub, {}, 4).front();
    for (int i = 0; i < 2; ++i) {
        fixture.packet(synPacket(testFlow(1)));
        fixture.clock.advance(61ms);
        fixture.entry.onTick();
    }
    CHECK(fixture.entry.members().candidatesForNewFlow(hash, hub, {}, 4).front() != dead);
    fixture.located(dead, testFlow(9));
    CHECK(fixture.entry.members().candidatesForNewFlow(hash, hub, {}, 4).front() == dead);
}

TEST_CASE("entry: the flow cache is bounded, and idle flows expire", "[entry]")
{
    EntryFixture fixture;
    for (uint16_t i = 0; i < 200; ++i)
        fixture.packet(dataPacket(testFlow(i)));
    CHECK(fixture.entry.cachedFlows() == 64);
    CHECK(fixture.observer.count(Decision::TableFull) == 136);
    fixture.clock.advance(16s);
    fixture.entry.onTick();
    CHECK(fixture.entry.cachedFlows() == 0);
}
