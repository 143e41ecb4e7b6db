// How entries and agents poll the control instances.
#include "cluster/codec.h"
#include "cluster/poller.h"
#include "cluster/test_values.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <optional>

using namespace cicadaward;
using namespace cicadaward::cluster;
using namespace std::chrono_literals;

// Guards against an instance that is never polled. Each instance lists itself first in its replies. When the next
// instance was chosen by position in the last list, some sequences of replies always skipped one. If that was the
// leader, no target was registered.
TEST_CASE("poller: every control instance gets its turn whatever order the replies have", "[poller]")
{
    struct Output final : PollerOutput {
        void sendMessage(Endpoint control, const Envelope&) override
        {
            ++polls[control];
            last = control;
        }
        void contactLost() override { }
        void contactRenewed() override { }
        std::map<Endpoint, int> polls;
        Endpoint last;
    };
    std::vector<Endpoint> controls;
    for (uint32_t i = 1; i <= 4; ++i)
        controls.push_back({ 0x0A010000 + i, 7720 });
    for (uint64_t seed = 1; seed <= 200; ++seed) {
        ManualClock clock;
        Random random(seed);
        Output output;
        PollerOptions options;
        options.seeds = { controls[0], controls[1], controls[2] };
        Poller poller(options, clock, random, output);
        constexpr int rounds = 20;
        for (size_t i = 0; i < rounds * controls.size(); ++i) {
            clock.advance(options.minInterval);
            poller.onTick();
            PollReply reply;
            reply.stateIndex = 1;
            reply.controls = { output.last };
            for (Endpoint control : controls) {
                if (control != output.last)
                    reply.controls.push_back(control);
            }
            if (random.below(4) != 0) // some replies are lost
                poller.onReply(output.last, reply);
        }
        INFO("seed " << seed);
        for (Endpoint control : controls)
            CHECK(output.polls[control] >= rounds - 2);
    }
}

// Guards against control traffic that grows with the size of the system (13 KB/s for each daemon at the target size),
// and against polls of instances that have no state.
TEST_CASE("poller: the interval grows with the pollers, and instances without a state are polled rarely", "[poller]")
{
    struct Output final : PollerOutput {
        void sendMessage(Endpoint control, const Envelope&) override { polls.push_back(control); }
        void contactLost() override { }
        void contactRenewed() override { }
        std::vector<Endpoint> polls;
    };
    struct Case {
        uint32_t pollers;
        size_t fewest; // polls in 100 s
        size_t most;
    };
    for (const Case& test :
        { Case { 40, 245, 252 }, Case { 250, 95, 101 }, Case { 3020, 7, 10 }, Case { 50000, 7, 10 } }) {
        ManualClock clock;
        Random random(1);
        Output output;
        PollerOptions options;
        options.seeds = { peerA, peerB };
        Poller poller(options, clock, random, output);
        PollReply reply;
        reply.pollers = test.pollers;
        reply.controls = { peerA, peerB };
        reply.stateIndex = 1;
        reply.state = encodeMessage(ForwardingState { 1, {}, {} });
        poller.onReply(peerA, reply);
        reply.stateIndex = 0; // without a disk
        poller.onReply(peerB, reply);
        for (int i = 0; i < 10000; ++i) {
            clock.advance(10ms);
            size_t before = output.polls.size();
            poller.onTick();
            if (output.polls.size() == before)
                continue;
            reply.stateIndex = output.polls.back() == peerA ? 1 : 0;
            poller.onReply(output.polls.back(), reply);
        }
        INFO(test.pollers << " pollers");
        CHECK(output.polls.size() >= test.fewest);
        CHECK(output.polls.size() <= test.most);
        auto useless = static_cast<size_t>(std::count(output.polls.begin(), output.polls.end(), peerB));
        CHECK(useless <= output.polls.size() / 8 + 1);
    }
}

TEST_CASE("poller: a confirmation counts only with the newest state, and by the poll that it answers", "[poller]")
{
    struct Output final : PollerOutput {
        void sendMessage(Endpoint, const Envelope& envelope) override
        {
            Poll poll;
            REQUIRE(decodeMessage(envelope.body, poll));
            lastNumber = poll.confirmationNumber;
        }
        void contactLost() override { }
        void contactRenewed() override { }
        void membersConfirmed(Time asked) override { confirmed.push_back(asked); }
        uint64_t lastNumber = 0;
        std::vector<Time> confirmed;
    };
    ManualClock clock;
    Random random(1);
    Output output;
    PollerOptions options;
    options.seeds = { peerA };
    options.wantsMembers = true;
    Poller poller(options, clock, random, output);
    clock.advance(1s);
    Time asked = clock.now();
    poller.confirmMembers();
    uint64_t first = output.lastNumber;
    CHECK(first != 0);
    output.lastNumber = 0;
    poller.confirmMembers();
    CHECK(output.lastNumber == 0); // not again within the interval
    clock.advance(60ms);
    poller.confirmMembers();
    PollReply reply;
    poller.onReply(peerA, reply);
    CHECK(output.confirmed.empty()); // a reply of an instance that does not lead
    reply.confirmationNumber = first;
    reply.stateIndex = 3; // newer than the poller's, and not in the reply
    poller.onReply(peerA, reply);
    CHECK(output.confirmed.empty());
    reply.state = encodeMessage(ForwardingState { 3, {}, {} });
    poller.onReply(peerA, reply);
    REQUIRE(output.confirmed.size() == 1);
    CHECK(output.confirmed[0] == asked);
    reply.confirmationNumber = output.lastNumber + 1; // for an earlier process at this address
    poller.onReply(peerA, reply);
    CHECK(output.confirmed.size() == 1);
}

namespace {

class FakePollerOutput final : public PollerOutput {
public:
    void sendMessage(Endpoint control, const Envelope&) override { polled.push_back(control); }
    void onState(const ForwardingState& state) override { states.push_back(state.index); }
    void onMemberRecord(const steering::MemberRecord&) override { ++members; }
    void onLeader(Endpoint operators, uint64_t) override { leader = operators; }
    void contactLost() override { ++lost; }
    void contactRenewed() override { ++renewed; }
    void stateBehind(LogIndex heard) override { behind.push_back(heard); }
    void stateCaughtUp() override { ++caughtUp; }

    std::vector<Endpoint> polled;
    std::vector<LogIndex> states;
    Endpoint leader;
    size_t members = 0;
    size_t lost = 0;
    size_t renewed = 0;
    std::vector<LogIndex> behind;
    size_t caughtUp = 0;
};

PollReply stateReply(LogIndex index)
{
    PollReply reply;
    reply.stateIndex = index;
    ForwardingState state;
    state.index = index;
    reply.state = encodeMessage(state);
    reply.controls = { peerA, peerB };
    return reply;
}

// Ticks, and answers what was polled.
void tickAndAnswer(Poller& poller, FakePollerOutput& output, const PollReply& answer)
{
    size_t before = output.polled.size();
    poller.onTick();
    std::vector<Endpoint> polled(output.polled.begin() + static_cast<long>(before), output.polled.end());
    for (Endpoint control : polled)
        poller.onReply(control, answer);
}

} // namespace

TEST_CASE("poller: an older state never replaces a newer one, and discovered control instances are polled in turn",
    "[poller]")
{
    ManualClock clock;
    Random random(1);
    FakePollerOutput output;
    PollerOptions options;
    options.seeds = { peerA };
    Poller poller(options, clock, random, output);
    poller.onTick();
    CHECK(output.polled == std::vector<Endpoint> { peerA });
    poller.onReply(peerA, stateReply(7));
    poller.onReply(peerB, stateReply(5)); // cut off and behind
    poller.onReply(peerB, stateReply(7));
    CHECK(output.states == std::vector<LogIndex> { 7 });
    output.polled.clear();
    for (int i = 0; i < 16; ++i) {
        clock.advance(100ms);
        tickAndAnswer(poller, output, stateReply(7));
    }
    CHECK(std::count(output.polled.begin(), output.polled.end(), peerB) == 2);
    CHECK(std::count(output.polled.begin(), output.polled.end(), peerA) == 2);
    clock.advance(3s);
    poller.onTick();
    CHECK(output.lost == 1);
    poller.onReply(peerB, stateReply(8));
    CHECK(output.renewed == 2);
}

// Guards against a slow recovery: after a power loss entries waited up to 0.8 s for a poll, and attempts that failed
// meanwhile were lost.
TEST_CASE("poller: without a state it polls often, with one at its interval", "[poller]")
{
    ManualClock clock;
    Random random(1);
    FakePollerOutput output;
    PollerOptions options;
    options.seeds = { peerA, peerB };
    Poller poller(options, clock, random, output);
    std::optional<PollReply> answer;
    auto pollsInOneSecond = [&] {
        output.polled.clear();
        for (int i = 0; i < 100; ++i) {
            clock.advance(10ms);
            if (answer)
                tickAndAnswer(poller, output, *answer);
            else
                poller.onTick();
        }
        return output.polled.size();
    };
    CHECK(pollsInOneSecond() >= 16); // both instances every 120 ms
    answer = stateReply(1);
    poller.onReply(peerA, *answer);
    CHECK(pollsInOneSecond() <= 3); // both every 800 ms
}

// Guards against a process that goes on by an old configuration without a trace in its log.
TEST_CASE("poller: a state that stays older than one heard of is reported once, and so is its end", "[poller]")
{
    ManualClock clock;
    Random random(1);
    FakePollerOutput output;
    PollerOptions options;
    options.seeds = { peerA };
    Poller poller(options, clock, random, output);
    auto run = [&](Duration length) {
        for (Time end = clock.now() + length; clock.now() < end; clock.advance(10ms))
            poller.onTick();
    };
    PollReply answer;
    answer.stateIndex = 3; // of an instance without a configuration
    poller.onReply(peerA, answer);
    run(3s);
    CHECK(output.behind.empty());
    poller.onReply(peerA, stateReply(4));
    answer.stateIndex = 5;
    poller.onReply(peerA, answer);
    run(behindReportDelay);
    CHECK(output.behind.empty());
    run(20ms);
    CHECK(output.behind == std::vector<LogIndex> { 5 });
    CHECK(poller.behindFor() >= behindReportDelay);
    poller.onReply(peerA, answer);
    SECTION("it arrives") { poller.onReply(peerA, stateReply(5)); }
    SECTION("no instance names it any more") { run(6s); }
    poller.onTick();
    CHECK(output.caughtUp == 1);
    CHECK(poller.behindFor() == Duration::zero());
}

// Guards against a state that is late, and a contact that seems lost, because most known control instances are gone:
// seeds that were exchanged and instances that were replaced took one poll interval each.
TEST_CASE("poller: with most control instances gone, each interval brings an answer", "[poller]")
{
    constexpr uint32_t goneInstances = 9;
    ManualClock clock;
    for (uint64_t seed = 1; seed <= 20; ++seed) {
        INFO("seed " << seed);
        Random random(seed);
        FakePollerOutput output;
        PollerOptions options;
        options.seeds = { peerA };
        for (uint32_t i = 0; i < goneInstances; ++i)
            options.seeds.push_back({ 0x0A050000 + i, 7720 });
        Poller poller(options, clock, random, output);
        PollReply answer = stateReply(1);
        answer.controls = { peerA };
        answer.pollers = 419; // polls every 1.7 s
        poller.onReply(peerA, answer);
        Time lastAnswer = clock.now();
        Duration longest {};
        for (Time end = clock.now() + 60s; clock.now() < end; clock.advance(10ms)) {
            poller.onTick();
            if (std::count(output.polled.begin(), output.polled.end(), peerA) > 0) {
                longest = std::max(longest, clock.now() - lastAnswer);
                lastAnswer = clock.now();
                poller.onReply(peerA, answer);
            }
            output.polled.clear();
        }
        CHECK(longest < 3s);
        CHECK(output.lost == 0);
    }
}

// Guards against polls of all processes that overload control instances which cannot answer them.
TEST_CASE("poller: retries become rare while no control instance answers", "[poller]")
{
    ManualClock clock;
    Random random(1);
    FakePollerOutput output;
    PollerOptions options;
    options.seeds = { peerA, { 0x0A050000, 7720 }, { 0x0A050001, 7720 } };
    Poller poller(options, clock, random, output);
    PollReply answer = stateReply(1);
    answer.controls = options.seeds;
    answer.pollers = 300; // polls every 1.2 s
    poller.onReply(peerA, answer);
    auto run = [&](Duration length) {
        output.polled.clear();
        for (Time end = clock.now() + length; clock.now() < end; clock.advance(10ms))
            poller.onTick();
        return output.polled.size();
    };
    run(10s);
    CHECK(run(12s) <= 2 * 12000 / 1200 + 1);
}

// Guards against a process that keeps an old state for good because all control instances that it knows were replaced
// while it did not run.
TEST_CASE("poller: a process whose control instances are all gone gets the new ones from another process", "[poller]")
{
    struct Output final : PollerOutput {
        void sendMessage(Endpoint to, const Envelope& envelope) override { sent.emplace_back(to, envelope); }
        void contactLost() override { }
        void contactRenewed() override { }
        void onState(const ForwardingState& state) override { index = state.index; }
        size_t count(Endpoint to, MessageKind kind) const
        {
            return std::count_if(sent.begin(), sent.end(),
                [&](const auto& message) { return message.first == to && message.second.kind == kind; });
        }
        std::vector<std::pair<Endpoint, Envelope>> sent;
        LogIndex index = 0;
    };
    const Endpoint gone { 0x0A010001, 7720 };
    const Endpoint process { 0x0A020001, 8172 };
    const Endpoint other { 0x0A020002, 8172 };
    ManualClock clock;
    Random random(1);
    Output output, otherOutput;
    PollerOptions options;
    options.seeds = { gone };
    Poller poller(options, clock, random, output);
    auto replyWith = [](LogIndex index, Endpoint control) {
        PollReply reply;
        reply.stateIndex = index;
        reply.state = encodeMessage(ForwardingState { index, {}, {} });
        reply.controls = { control };
        return reply;
    };
    poller.onReply(gone, replyWith(1, gone));
    poller.onPeer(other); // in contact, it needs none
    CHECK(output.count(other, MessageKind::ControlsRequest) == 0);
    SECTION("no instance answers")
    {
        clock.advance(20s);
        poller.onTick();
        REQUIRE(!poller.isInContact());
    }
    SECTION("an instance that has left the group answers")
    {
        for (int i = 0; i < 10; ++i) {
            poller.onNewerState(5);
            clock.advance(300ms);
            poller.onReply(gone, replyWith(1, gone));
            poller.onTick();
        }
        REQUIRE(poller.isInContact());
    }
    poller.onMessage(other, { MessageKind::Controls, encodeMessage(Controls { { peerB } }) }); // not asked for
    CHECK(output.count(peerB, MessageKind::Poll) == 0);
    poller.onPeer(other);
    poller.onPeer(other);
    CHECK(output.count(other, MessageKind::ControlsRequest) == 1);

    Poller otherPoller(options, clock, random, otherOutput);
    otherPoller.onMessage(process, output.sent.back().second);
    CHECK(otherOutput.sent.empty()); // it knows no better
    otherPoller.onReply(peerB, replyWith(5, peerB));
    REQUIRE(otherPoller.onMessage(process, output.sent.back().second));
    REQUIRE(otherOutput.count(process, MessageKind::Controls) == 1);

    REQUIRE(poller.onMessage(other, otherOutput.sent.back().second));
    CHECK(output.count(peerB, MessageKind::Poll) == 1);
    CHECK(std::count(poller.controls().begin(), poller.controls().end(), gone) == 1);
    poller.onMessage(other, otherOutput.sent.back().second); // a second answer
    CHECK(output.count(peerB, MessageKind::Poll) == 1);
    poller.onReply(peerB, replyWith(5, peerB));
    CHECK(output.index == 5);
    CHECK(poller.isInContact());
}

TEST_CASE("poller: a list of control instances from another process is bounded and keeps the seeds", "[poller]")
{
    struct Output final : PollerOutput {
        void sendMessage(Endpoint, const Envelope&) override { }
        void contactLost() override { }
        void contactRenewed() override { }
    };
    ManualClock clock;
    Random random(1);
    Output output;
    PollerOptions options;
    options.seeds = { peerA };
    Poller poller(options, clock, random, output);
    Controls hint;
    for (uint16_t i = 0; i < 2 * maxControls; ++i)
        hint.controls.push_back({ 0x0A030000, i });
    poller.onPeer(peerB);
    poller.onMessage(peerB, { MessageKind::Controls, encodeMessage(hint) });
    CHECK(poller.controls().size() == maxControls);
    CHECK(std::count(poller.controls().begin(), poller.controls().end(), peerA) == 1);
    CHECK(poller.onMessage(peerB, { MessageKind::Controls, "no list" }) == false);
    CHECK(poller.controls().size() == maxControls);
}

// Guards against a process that learns of a newer state from a denied offer and waits for its next poll.
TEST_CASE("poller: a newer state that another process names is polled for at once, and once", "[poller]")
{
    struct Output final : PollerOutput {
        void sendMessage(Endpoint, const Envelope& envelope) override { polls += envelope.kind == MessageKind::Poll; }
        void contactLost() override { }
        void contactRenewed() override { }
        int polls = 0;
    };
    ManualClock clock;
    Random random(1);
    Output output;
    PollerOptions options;
    options.seeds = { peerA };
    Poller poller(options, clock, random, output);
    PollReply reply;
    reply.stateIndex = 1;
    reply.state = encodeMessage(ForwardingState { 1, {}, {} });
    reply.controls = { peerA };
    poller.onReply(peerA, reply);
    int before = output.polls;
    poller.onNewerState(1);
    CHECK(output.polls == before);
    poller.onNewerState(5);
    poller.onNewerState(5);
    CHECK(output.polls == before + 1);
}
