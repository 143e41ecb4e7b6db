// Tests of requests at an agent: which of them are queued, and that a request without an answer releases its slot.
#include "steering/agent_fixture.h"

using namespace cicadaward;
using namespace cicadaward::steering;
using namespace std::chrono_literals;

namespace {

constexpr uint16_t requestBytes = 100;

// The target has two slots.
struct RequestFixture : AgentFixture {
    RequestFixture()
    {
        Route route = makeRoute(serviceAddress, { { hub, 1 } });
        route.objective = 150ms;
        route.timeout = 2000ms;
        agent.setState(StateIndex(1), RouteTable(makeConfiguration(1, { route }, { "hub" })), {});
        sendHeartbeat();
    }
    void open(const FlowId& flow)
    {
        offer(flow);
        FlowPacket answer;
        answer.flow = flow;
        answer.syn = answer.ack = true;
        answer.acknowledged = 1;
        receiveFromTarget(answer);
        output.toTarget.clear();
    }
    // Sends request `number` of the flow, counted from 0.
    void request(const FlowId& flow, uint32_t number = 0)
    {
        FlowPacket data = dataPacket(flow, requestBytes);
        data.sequence = 1 + number * requestBytes;
        deliver(data);
    }
    void deliver(const FlowPacket& packet) { frame(FrameKind::Deliver, packet, { options().self }); }
    void answer(const FlowId& flow) { receiveFromTarget(dataPacket(flow, 30)); }
    // Opens flows 1 and 2 and sends a request on each.
    void fillSlots()
    {
        for (uint16_t i = 1; i <= 2; ++i) {
            open(testFlow(i));
            request(testFlow(i));
        }
        output.toTarget.clear();
    }
    FlowPacket forwarded(size_t i) const
    {
        FlowPacket packet;
        std::memcpy(&packet, output.toTarget.at(i).bytes.data(), sizeof(packet));
        return packet;
    }
};

} // namespace

TEST_CASE(
    "requests: those beyond the slots are queued, and repeated packets of a queued request are kept once", "[requests]")
{
    RequestFixture fixture;
    fixture.fillSlots();
    fixture.open(testFlow(3));
    fixture.request(testFlow(3));
    fixture.request(testFlow(3)); // retransmitted
    CHECK(fixture.output.toTarget.empty());
    CHECK(fixture.agent.waitingRequests() == 1);
    CHECK(fixture.agent.load() >= 150); // three requests for two slots
    fixture.deliver(dataPacket(testFlow(3), 0)); // an acknowledgement without data is not queued
    CHECK(fixture.output.toTarget.size() == 1);
    fixture.output.toTarget.clear();
    fixture.answer(testFlow(1));
    REQUIRE(fixture.output.toTarget.size() == 1);
    CHECK(fixture.forwarded(0).flow == testFlow(3));
    CHECK(fixture.agent.waitingRequests() == 0);
}

// Guards against latency histograms that omit the time in the queue or count it twice.
TEST_CASE("requests: the latencies of opening, waiting and answering are reported", "[requests]")
{
    RequestFixture fixture;
    fixture.offer(testFlow(1));
    fixture.clock.advance(4ms);
    FlowPacket opened;
    opened.flow = testFlow(1);
    opened.syn = opened.ack = true;
    fixture.receiveFromTarget(opened);
    fixture.receiveFromTarget(opened); // retransmitted
    fixture.open(testFlow(2));
    fixture.open(testFlow(3));
    for (uint16_t i = 1; i <= 3; ++i)
        fixture.request(testFlow(i));
    fixture.clock.advance(30ms);
    fixture.answer(testFlow(1));
    fixture.answer(testFlow(1)); // more of the same answer
    fixture.clock.advance(20ms);
    fixture.answer(testFlow(3));
    std::vector<std::pair<Latency, Duration>> expected { { Latency::FlowOpened, 4ms }, { Latency::FlowOpened, 0ms },
        { Latency::FlowOpened, 0ms }, { Latency::RequestAnswered, 30ms }, { Latency::RequestWaited, 30ms },
        { Latency::RequestAnswered, 20ms } };
    CHECK(fixture.observer.latencies == expected);
}

TEST_CASE("requests: a request that has waited for three quarters of its timeout is forwarded without a free slot",
    "[requests]")
{
    RequestFixture fixture;
    fixture.fillSlots();
    fixture.open(testFlow(3));
    fixture.request(testFlow(3));
    fixture.clock.advance(1400ms);
    fixture.agent.onTick();
    CHECK(fixture.output.toTarget.empty());
    fixture.clock.advance(200ms);
    fixture.agent.onTick();
    CHECK(fixture.output.toTarget.size() == 1);
}

// Guards against slots that stay occupied by callers that have given up, which soak runs and bench runs have shown.
// With all slots occupied, every request waits until it times out.
TEST_CASE("requests: each way in which a request ends frees its slot", "[requests]")
{
    RequestFixture fixture;
    fixture.fillSlots();
    FlowPacket end = dataPacket(testFlow(1), 0);
    SECTION("the answer begins") { fixture.answer(testFlow(1)); }
    SECTION("the caller closes")
    {
        end.fin = true;
        fixture.deliver(end);
    }
    SECTION("the caller resets")
    {
        end.reset = true;
        fixture.deliver(end);
    }
    SECTION("the target closes")
    {
        end.fin = true;
        fixture.receiveFromTarget(end);
    }
    SECTION("the target resets")
    {
        end.reset = true;
        fixture.receiveFromTarget(end);
    }
    SECTION("the target does not hold the flow")
    {
        fixture.request(testFlow(1));
        fixture.bounceLastPacket();
    }
    SECTION("the target restarts")
    {
        fixture.run(1600ms);
        fixture.sendHeartbeat("t-1", 200);
        REQUIRE(fixture.agent.isAwaitingRegistration() == false);
    }
    SECTION("the timeout passes")
    {
        fixture.open(testFlow(4));
        fixture.request(testFlow(4)); // is queued
        fixture.clock.advance(1900ms);
        fixture.sendHeartbeat();
        fixture.clock.advance(101ms);
        fixture.agent.onTick();
    }
    fixture.open(testFlow(3));
    fixture.request(testFlow(3));
    REQUIRE_FALSE(fixture.output.toTarget.empty());
    CHECK(fixture.forwarded(fixture.output.toTarget.size() - 1).flow == testFlow(3));
}

TEST_CASE("requests: repeated data takes no slot", "[requests]")
{
    RequestFixture fixture;
    fixture.open(testFlow(1));
    SECTION("after the answer")
    {
        fixture.request(testFlow(1));
        fixture.answer(testFlow(1));
        fixture.request(testFlow(1));
    }
    SECTION("of a flow that is older than the agent's process")
    {
        fixture.request(testFlow(9)); // unknown to the agent, which therefore forwards it
        fixture.answer(testFlow(9));
        fixture.request(testFlow(9));
    }
    SECTION("that the target acknowledged before this process received it")
    {
        FlowPacket answer = dataPacket(testFlow(9), 30);
        answer.acknowledged = 1 + requestBytes;
        fixture.receiveFromTarget(answer);
        fixture.request(testFlow(9));
    }
    fixture.open(testFlow(2));
    fixture.open(testFlow(3));
    fixture.request(testFlow(2));
    fixture.request(testFlow(3));
    CHECK(fixture.agent.waitingRequests() == 0);
}

TEST_CASE("requests: a queued request reaches the target before the FIN that closes its flow", "[requests]")
{
    RequestFixture fixture;
    fixture.fillSlots();
    fixture.open(testFlow(3));
    fixture.request(testFlow(3));
    FlowPacket end = dataPacket(testFlow(3), 0);
    SECTION("the caller gives up")
    {
        end.fin = true;
        fixture.deliver(end);
        REQUIRE(fixture.output.toTarget.size() == 2);
        CHECK(fixture.forwarded(0).length == requestBytes);
        CHECK(fixture.forwarded(1).fin);
    }
    SECTION("the caller resets: the queued request is dropped")
    {
        end.reset = true;
        fixture.deliver(end);
        REQUIRE(fixture.output.toTarget.size() == 1);
        CHECK(fixture.forwarded(0).reset);
    }
    SECTION("the target closes: it refuses the request, which tells the caller")
    {
        end.fin = true;
        fixture.receiveFromTarget(end);
        REQUIRE(fixture.output.toTarget.size() == 1);
        CHECK(fixture.forwarded(0).length == requestBytes);
    }
    CHECK(fixture.agent.waitingRequests() == 0);
}

TEST_CASE("requests: a new flow is refused when its request would wait too long", "[requests]")
{
    RequestFixture fixture;
    fixture.fillSlots();
    uint16_t number = 2;
    while (number < 200) {
        size_t before = fixture.output.frames.size();
        fixture.offer(testFlow(++number));
        if (fixture.output.frames.size() > before)
            break;
        FlowPacket answer;
        answer.flow = testFlow(number);
        answer.syn = answer.ack = true;
        fixture.receiveFromTarget(answer);
        fixture.request(testFlow(number));
    }
    // Two slots and a service time of 50 ms: a request behind 40 others waits for 1 s, half of the timeout.
    CHECK(number >= 42);
    CHECK(number <= 46);
    CHECK(fixture.lastFrame().kind == FrameKind::Returned);
    CHECK_FALSE(fixture.lastFrame().mayAcceptLater);
}
