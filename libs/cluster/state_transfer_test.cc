#include "cluster/state_transfer.h"

#include "cluster/codec.h"
#include "cluster/test_values.h"
#include "core/random.h"

#include <catch2/catch.hpp>

using namespace cicadaward;
using namespace cicadaward::cluster;
using namespace std::chrono_literals;

namespace {

// A state that no compression makes small.
ForwardingState largeState(LogIndex index)
{
    Random random(index);
    ForwardingState state;
    state.index = index;
    for (uint32_t i = 0; i < 6000; ++i) {
        steering::Route route;
        route.address = { i, 443 };
        route.name = std::to_string(random.next());
        state.configuration.routes.push_back(route);
    }
    return state;
}

PollReply answer(StateSource& source, LogIndex known, const StateDownload& download)
{
    Poll poll;
    poll.continues = true;
    poll.stateIndex = known;
    poll.partIndex = download.index();
    poll.partOffset = download.receivedBytes();
    PollReply reply;
    source.fillReply(poll, reply);
    return reply;
}

} // namespace

TEST_CASE("a reply has the differences while they are smaller than the state, and is bounded", "[transfer]")
{
    ManualClock clock;
    StateSource source(clock);
    StateDownload none(clock);
    ForwardingState state = largeState(1);
    size_t size = encodeMessage(state).size();
    source.update(state);
    state.index = 2;
    state.configuration.routes.pop_back();
    source.update(state);
    CHECK(answer(source, 2, none).deltas.empty());
    CHECK(answer(source, 1, none).deltas.size() == 1);
    CHECK(answer(source, 0, none).part.bytes.size() == statePartBytes);
    Poll earlierVersion;
    PollReply whole;
    source.fillReply(earlierVersion, whole);
    CHECK(whole.state == encodeMessage(state));
    std::vector<size_t> deltaBytes(3); // of the delta to each state, by index
    for (LogIndex index = 3; index < 50; ++index) {
        ForwardingState before = state;
        state.index = index;
        for (size_t i = 0; i < state.configuration.routes.size() / 5; ++i)
            state.configuration.routes[i].timeout = std::chrono::milliseconds(index);
        source.update(state);
        deltaBytes.push_back(encodeMessage(deltaBetween(before, state)).size());
        size_t bytes = 0;
        for (LogIndex known = index - 1; known > 2; --known) {
            bytes += deltaBytes[known + 1];
            PollReply reply = answer(source, known, none);
            REQUIRE(encodeMessage(reply).size() < maxReplyStateBytes + 1000);
            REQUIRE(reply.deltas.empty() == (bytes > encodeMessage(state).size()));
        }
    }
    CHECK(size > 2 * maxReplyStateBytes);
}

// Guards against a process that never gets a whole state because changes follow each other quickly.
TEST_CASE("a transfer in parts goes on while newer states replace the one that it carries", "[transfer]")
{
    ManualClock clock;
    StateSource source(clock);
    source.update(largeState(1));
    StateDownload download(clock);
    std::optional<ForwardingState> state;
    for (LogIndex index = 2; !state; ++index) {
        REQUIRE(index < 40);
        PollReply reply = answer(source, 0, download);
        StateDownload another(clock);
        answer(source, index - 2, another); // a process that has each state gets the next one
        clock.advance(50ms);
        source.update(largeState(index));
        REQUIRE(download.add(peerA, reply.part));
        REQUIRE_FALSE(download.add(peerA, reply.part)); // a repeated reply
        if (download.isComplete())
            state = download.take();
    }
    CHECK(encodeMessage(*state) == encodeMessage(largeState(1)));
    CHECK(download.index() == 0);
}

TEST_CASE("a download takes the parts of one source, and those of another one only once that is silent", "[transfer]")
{
    ManualClock clock;
    StateSource source(clock);
    source.update(largeState(4));
    StateDownload download(clock);
    StatePart first = answer(source, 0, download).part;
    REQUIRE(download.add(peerA, first));
    StatePart second = answer(source, 0, download).part;
    CHECK(second.offset == first.bytes.size());
    CHECK_FALSE(download.add(peerB, second));
    CHECK_FALSE(download.add(peerB, first));
    StatePart unsound = second;
    unsound.bytes.resize(second.size);
    CHECK_FALSE(download.add(peerA, unsound));
    clock.advance(1s);
    CHECK_FALSE(download.isActive());
    REQUIRE(download.add(peerB, first));
    CHECK(download.source() == peerB);
    CHECK(download.receivedBytes() == first.bytes.size());
    REQUIRE(download.add(peerB, second));
}

TEST_CASE("bytes that are not a state end the download", "[transfer]")
{
    ManualClock clock;
    StateDownload download(clock);
    REQUIRE(download.add(peerA, { 7, 0, 10, "0123456789" }));
    REQUIRE(download.isComplete());
    CHECK_FALSE(download.take());
    CHECK_FALSE(download.isActive());
    CHECK_FALSE(download.add(peerA, { 7, 0, maxStateBytes + 1, "0" }));
}
