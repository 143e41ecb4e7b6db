// Offers by an entry whose state is older or newer than that of the agent.
#include "steering/agent_fixture.h"
#include "steering/entry_fixture.h"

using namespace cicadaward;
using namespace cicadaward::steering;
using namespace std::chrono_literals;

namespace {

constexpr size_t nextPositionOffset = 4; // in an encoded frame

Frame offerBy(StateIndex state)
{
    Frame frame;
    frame.kind = FrameKind::Offer;
    frame.nextPosition = 1;
    frame.service = hub;
    frame.state = state;
    frame.entry = entryEndpoint;
    frame.members = { AgentFixture::options().self, testMember(2).agent };
    return frame;
}

Frame decoded(const std::vector<uint8_t>& bytes)
{
    Frame frame;
    REQUIRE(decodeFrame(bytes.data(), bytes.size(), frame));
    return frame;
}

} // namespace

TEST_CASE("offer: its state index survives a member of a version without it", "[offer]")
{
    Frame offer = offerBy(maxFrameStateIndex);
    offer.leastLoadedPosition = 0;
    std::vector<uint8_t> bytes = frameBytes(offer, synPacket(testFlow(1)));
    ++bytes[nextPositionOffset]; // all that such a member changes when it passes the frame on
    Frame read = decoded(bytes);
    CHECK(read.state == offer.state);
    CHECK(read.members == offer.members);
    CHECK(read.nextPosition == 2);
    CHECK(read.leastLoadedPosition == 0);
}

TEST_CASE("offer: an index that has no place is left out, and one in a wrong place is refused", "[offer]")
{
    FlowPacket syn = synPacket(testFlow(1));
    SECTION("larger than a frame can carry")
    {
        Frame offer = offerBy(StateIndex(maxFrameStateIndex.value() + 1));
        CHECK(decoded(frameBytes(offer, syn)).state == StateIndex());
    }
    SECTION("no room for it")
    {
        Frame offer = offerBy(StateIndex(7));
        offer.members.assign(maxFrameMembers, testMember(2).agent);
        Frame read = decoded(frameBytes(offer, syn));
        CHECK(read.state == StateIndex());
        CHECK(read.members.size() == maxFrameMembers);
    }
    SECTION("not at the front, not visited, or zero")
    {
        Frame offer = offerBy(StateIndex());
        Endpoint index { 0, 7 };
        Frame read;
        auto isRefused = [&] {
            std::vector<uint8_t> bytes = frameBytes(offer, syn);
            return !decodeFrame(bytes.data(), bytes.size(), read);
        };
        offer.members.push_back(index);
        CHECK(isRefused());
        offer.members = { index, testMember(2).agent };
        offer.nextPosition = 0;
        CHECK(isRefused());
        offer.nextPosition = 1;
        CHECK(!isRefused());
        offer.members[0] = {};
        CHECK(isRefused());
        offer.members[0] = index;
        offer.kind = FrameKind::Deliver;
        CHECK(isRefused());
    }
}

namespace {

// An agent of a target of hub, with the state of index 5.
struct OfferFixture : AgentFixture {
    OfferFixture() { makeReady(); }
    void setServices(std::vector<WeightedService> services)
    {
        agent.setState(StateIndex(5),
            RouteTable(
                makeConfiguration(2, { makeRoute(serviceAddress, std::move(services)) }, { "hub", "catalogue" })),
            {});
    }
    void dropRoute() { agent.setState(StateIndex(5), RouteTable(makeConfiguration(2, {}, { "hub" })), {}); }
    // Returns whether the target got the flow.
    bool isAdmitted(StateIndex offeredBy)
    {
        size_t before = output.toTarget.size();
        send(offerBy(offeredBy), synPacket(testFlow(1)));
        return output.toTarget.size() > before;
    }
};

} // namespace

// Guards against a new flow at the service that its route had before, through an entry that is behind.
TEST_CASE("offer: an agent with a newer state denies a flow whose route does not name its service", "[offer]")
{
    OfferFixture fixture;
    SECTION("the route moved") { fixture.setServices({ { catalogue, 1 } }); }
    SECTION("no new flow is to go to the service") { fixture.setServices({ { hub, 0 }, { catalogue, 1 } }); }
    SECTION("the route was dropped") { fixture.dropRoute(); }
    CHECK(!fixture.isAdmitted(StateIndex(4)));
    Frame answer = fixture.lastFrame();
    CHECK(answer.kind == FrameKind::Returned); // the other members were chosen by the same old state
    CHECK(answer.mayAcceptLater);
    CHECK(fixture.output.frames.back().to == entryEndpoint);
}

TEST_CASE("offer: a flow is admitted as before unless the agent's state is newer and excludes its service", "[offer]")
{
    OfferFixture fixture;
    SECTION("the weights changed")
    {
        fixture.setServices({ { hub, 10 }, { catalogue, 90 } });
        CHECK(fixture.isAdmitted(StateIndex(4)));
    }
    SECTION("by the same state, a newer one, or an entry of a version that does not name it")
    {
        fixture.setServices({ { catalogue, 1 } });
        StateIndex offeredBy = GENERATE(StateIndex(5), StateIndex(6), StateIndex());
        CHECK(fixture.isAdmitted(offeredBy));
    }
}

TEST_CASE("offer: a route that moved leaves the open flows and the copies of their SYNs at their target", "[offer]")
{
    OfferFixture fixture;
    CHECK(fixture.isAdmitted(StateIndex(4)));
    fixture.setServices({ { catalogue, 1 } });
    CHECK(fixture.isAdmitted(StateIndex(4)));
    size_t before = fixture.output.toTarget.size();
    fixture.frame(FrameKind::Deliver, dataPacket(testFlow(1)), { AgentFixture::options().self });
    CHECK(fixture.output.toTarget.size() == before + 1);
}

TEST_CASE("offer: an agent that gets an offer by a newer state requests that state", "[offer]")
{
    OfferFixture fixture;
    fixture.setServices({ { hub, 1 } });
    fixture.isAdmitted(StateIndex(5));
    CHECK(fixture.output.newerStates.empty());
    fixture.isAdmitted(StateIndex(6));
    CHECK(fixture.output.newerStates == std::vector<StateIndex> { StateIndex(6) });
}

TEST_CASE("offer: one with an index that no state can have changes nothing and is counted", "[offer]")
{
    OfferFixture fixture;
    fixture.setServices({ { hub, 1 } });
    CHECK(fixture.isAdmitted(StateIndex(5 + maxStateLead)));
    fixture.output = {};
    CHECK(!fixture.isAdmitted(StateIndex(5 + maxStateLead + 1)));
    CHECK(fixture.output.frames.empty());
    CHECK(fixture.output.newerStates.empty());
    CHECK(fixture.observer.count(Decision::Malformed) == 1);
}

namespace {

// An entry whose route goes to hub by the state of index 4, and to catalogue by that of index 5.
struct OutdatedEntryFixture : EntryWithoutState {
    OutdatedEntryFixture()
    {
        entry.setState(StateIndex(4), makeHubRouteTable(), {});
        entry.members().update(testMember(1));
        entry.members().update(testMember(2, catalogue));
        packet(synPacket(testFlow(1)));
    }
    void deny(StateIndex state, uint16_t flow = 1)
    {
        Frame denial = offerBy(state);
        denial.kind = FrameKind::Returned;
        denial.isOutdated = denial.mayAcceptLater = true;
        std::vector<uint8_t> bytes = frameBytes(denial, synPacket(testFlow(flow)));
        entry.onFrame(testMember(1).agent, bytes.data(), bytes.size());
    }
    void catchUp()
    {
        entry.setState(StateIndex(5),
            RouteTable(
                makeConfiguration(2, { makeRoute(serviceAddress, { { catalogue, 1 } }) }, { "hub", "catalogue" })),
            {});
    }
    size_t offers() const { return output.frames.size(); }
};

} // namespace

// Guards against callers that wait for the next copy of their SYN while the entry catches up.
TEST_CASE("offer: a denied one is made again as soon as the entry has the newer state", "[offer]")
{
    OutdatedEntryFixture fixture;
    fixture.deny(StateIndex(5));
    CHECK(fixture.output.newerStates == std::vector<StateIndex> { StateIndex(5) });
    CHECK(fixture.output.toCaller.empty());
    CHECK(fixture.observer.count(Decision::Outdated) == 1);
    CHECK(fixture.offers() == 1);
    SECTION("in time")
    {
        fixture.clock.advance(100ms);
        fixture.entry.onTick();
        fixture.catchUp();
        REQUIRE(fixture.offers() == 2);
        CHECK(fixture.output.frames.back().to == testMember(2).agent);
        CHECK(fixture.output.lastFrame().state == StateIndex(5));
    }
    SECTION("too late: the caller's next copy is due")
    {
        fixture.clock.advance(200ms);
        fixture.catchUp();
        CHECK(fixture.offers() == 1);
    }
}

// Guards against an agent that is asked last because its denials count as no answer.
TEST_CASE("offer: an agent that denies offers is responsive", "[offer]")
{
    OutdatedEntryFixture fixture;
    fixture.packet(synPacket(testFlow(2)));
    fixture.deny(StateIndex(5), 1);
    fixture.deny(StateIndex(5), 2);
    fixture.clock.advance(500ms);
    fixture.entry.onTick();
    CHECK(fixture.entry.members().isResponsive(testMember(1).agent));
}

// Guards against an endless exchange with an agent that denies what its own state allows.
TEST_CASE("offer: an offer is repeated only for a state newer than that of the last one", "[offer]")
{
    OutdatedEntryFixture fixture;
    fixture.catchUp();
    fixture.deny(StateIndex(5));
    CHECK(fixture.offers() == 2);
    fixture.deny(StateIndex(5));
    CHECK(fixture.offers() == 2);
}

TEST_CASE("offer: a denial requests the newer state also when the flow cache is full", "[offer]")
{
    OutdatedEntryFixture fixture;
    fixture.deny(StateIndex(5), 999); // not cached
    CHECK(fixture.output.newerStates == std::vector<StateIndex> { StateIndex(5) });
    CHECK(fixture.offers() == 1);
}

TEST_CASE("offer: an agent without a state requests none that an offer names", "[offer]")
{
    AgentFixture fixture;
    fixture.send(offerBy(StateIndex(7)), synPacket(testFlow(1)));
    CHECK(fixture.output.newerStates.empty());
}

TEST_CASE("offer: a denial that the entry has overtaken is answered with another offer at once", "[offer]")
{
    OutdatedEntryFixture fixture;
    fixture.catchUp();
    fixture.deny(StateIndex(5));
    REQUIRE(fixture.offers() == 2);
    CHECK(fixture.output.newerStates.empty());
    CHECK(fixture.output.frames.back().to == testMember(2).agent);
}

TEST_CASE("offer: a denial with an index that no state can have changes nothing and is counted", "[offer]")
{
    OutdatedEntryFixture fixture;
    StateIndex impossible = GENERATE(StateIndex(), StateIndex(4 + maxStateLead + 1));
    fixture.deny(impossible);
    fixture.catchUp();
    CHECK(fixture.offers() == 1);
    CHECK(fixture.output.newerStates.empty());
    CHECK(fixture.observer.count(Decision::Malformed) == 1);
}
