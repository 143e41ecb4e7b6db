// Offers by an entry whose state is older or newer than that of the agent.
#include "steering/agent_fixture.h"

using namespace cicadaward;
using namespace cicadaward::steering;

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
