// Tests of OutlierDetector, and of the agent's use of it on single flows.
#include "steering/agent_fixture.h"

using namespace cicadaward;
using namespace cicadaward::steering;
using namespace std::chrono_literals;

namespace {

struct DetectorFixture {
    ManualClock clock;
    OutlierDetector detector { OutlierOptions(), clock };

    void fail(unsigned count)
    {
        for (unsigned i = 0; i < count; ++i)
            detector.onFailed(TargetFailure::Reset, ++lastCaller);
    }
    void answer(unsigned count, Duration serviceTime = 20ms)
    {
        for (unsigned i = 0; i < count; ++i)
            detector.onAnswered(serviceTime);
    }
    uint32_t lastCaller = 0;
};

// An agent whose target answers SYNs, with a route for orders and one for idempotent reads.
struct OutlierFixture : AgentFixture {
    static inline const Endpoint readAddress { 0xC6120002, 443 };

    OutlierFixture()
    {
        Route orders = makeRoute(serviceAddress, { { hub, 1 } });
        orders.timeout = 1000ms;
        Route reads = orders;
        reads.address = readAddress;
        reads.isIdempotent = true;
        agent.setState(StateIndex(1), RouteTable(makeConfiguration(1, { orders, reads }, { "hub" })), {});
        sendHeartbeat();
    }
    static FlowId flowOf(uint16_t number, Endpoint address = serviceAddress)
    {
        return { { 0x64400000U + number, number }, address };
    }
    void open(const FlowId& flow)
    {
        offer(flow);
        FlowPacket answer;
        answer.flow = flow;
        answer.syn = answer.ack = true;
        answer.sequence = 500;
        answer.acknowledged = 1;
        receiveFromTarget(answer);
        FlowPacket request = dataPacket(flow, 100);
        request.sequence = 1;
        request.acknowledged = 501;
        frame(FrameKind::Deliver, request, { options().self });
    }
    FlowPacket packetOfTarget(const FlowId& flow, uint32_t sequence, uint16_t length = 0)
    {
        FlowPacket packet = dataPacket(flow, length);
        packet.sequence = sequence;
        packet.acknowledged = 101;
        return packet;
    }
    void resetByTarget(const FlowId& flow)
    {
        FlowPacket packet = packetOfTarget(flow, 501);
        packet.reset = true;
        receiveFromTarget(packet);
    }
    void answerByTarget(const FlowId& flow) { receiveFromTarget(packetOfTarget(flow, 501, 30)); }
    void answerOneRequest()
    {
        FlowId flow = flowOf(100);
        open(flow);
        clock.advance(20ms);
        answerByTarget(flow);
    }
    void ejectTarget()
    {
        for (uint16_t i = 1; i <= 2; ++i) {
            open(flowOf(i));
            resetByTarget(flowOf(i));
        }
        REQUIRE(agent.outliers().state() == OutlierState::Ejected);
        output.frames.clear();
        output.toTarget.clear();
    }
    void advanceWithTicks(Duration duration)
    {
        for (Duration passed {}; passed < duration; passed += 25ms) {
            clock.advance(25ms);
            agent.onTick();
        }
    }
    bool isAccepted(const FlowId& flow)
    {
        output.toTarget.clear();
        offer(flow);
        return !output.toTarget.empty();
    }
};

} // namespace

TEST_CASE("outlier: consecutive failures eject the target for a pause that doubles up to its limit", "[outlier]")
{
    DetectorFixture fixture;
    fixture.fail(1);
    fixture.answer(1);
    fixture.fail(1);
    CHECK(fixture.detector.state() == OutlierState::Closed);
    fixture.fail(1);
    for (Duration pause : { 500ms, 1000ms, 2000ms, 2000ms }) {
        CHECK(fixture.detector.state() == OutlierState::Ejected);
        CHECK_FALSE(fixture.detector.mayTakeFlow(true));
        fixture.clock.advance(pause - 1ms);
        CHECK(fixture.detector.state() == OutlierState::Ejected);
        fixture.clock.advance(1ms);
        CHECK(fixture.detector.state() == OutlierState::HalfOpen);
        fixture.fail(1);
    }
    CHECK(fixture.detector.lastFailure() == TargetFailure::Reset);
}

TEST_CASE("outlier: a half-open target takes one flow at a time, first of idempotent requests, until it is restored",
    "[outlier]")
{
    DetectorFixture fixture;
    fixture.fail(2);
    fixture.clock.advance(500ms);
    CHECK_FALSE(fixture.detector.mayTakeFlow(false));
    for (int i = 0; i < 4; ++i) {
        REQUIRE(fixture.detector.mayTakeFlow(true));
        fixture.detector.onFlowAccepted();
        CHECK_FALSE(fixture.detector.mayTakeFlow(true));
        fixture.answer(1);
    }
    CHECK(fixture.detector.state() == OutlierState::Closed);
    CHECK(fixture.detector.mayTakeFlow(false));
}

// Guards against a target that is never tried again: no idempotent flow comes, or the caller of a tried flow goes away.
TEST_CASE("outlier: a half-open target is tried again without idempotent flows and without a result", "[outlier]")
{
    DetectorFixture fixture;
    fixture.fail(2);
    fixture.clock.advance(500ms + OutlierOptions().idempotentPeriod);
    REQUIRE(fixture.detector.mayTakeFlow(false));
    fixture.detector.onFlowAccepted();
    CHECK_FALSE(fixture.detector.mayTakeFlow(false));
    fixture.clock.advance(OutlierOptions().trialLimit);
    CHECK(fixture.detector.mayTakeFlow(false));
}

// Guards against one caller that ejects all targets with requests that make them close its flows.
TEST_CASE("outlier: failures of one caller eject a target later than those of several", "[outlier]")
{
    DetectorFixture fixture;
    for (int i = 0; i < 4; ++i)
        fixture.detector.onFailed(TargetFailure::Closed, 7);
    CHECK(fixture.detector.state() == OutlierState::Closed);
    fixture.detector.onFailed(TargetFailure::Closed, 7);
    CHECK(fixture.detector.state() == OutlierState::Ejected);
}

TEST_CASE("outlier: the limit for an answer follows the slowest recent answers", "[outlier]")
{
    DetectorFixture fixture;
    CHECK_FALSE(fixture.detector.answerLimit()); // nothing is known yet
    fixture.answer(1, 400ms);
    CHECK(fixture.detector.answerLimit() == Duration(1200ms));
    fixture.answer(500, 10ms);
    CHECK(fixture.detector.answerLimit() == Duration(100ms));
}

TEST_CASE("outlier: an answer after the limit withdraws its failure", "[outlier]")
{
    DetectorFixture fixture;
    fixture.detector.onFailed(TargetFailure::Unanswered, 1);
    CHECK(fixture.detector.recentFailures() == 1);
    fixture.detector.onAnsweredLate(400ms);
    CHECK(fixture.detector.recentFailures() == 0);
    fixture.fail(1);
    CHECK(fixture.detector.state() == OutlierState::Closed);
}

TEST_CASE("outlier: an ejected target's flow goes to the other members and comes back when none takes it", "[outlier]")
{
    OutlierFixture fixture;
    fixture.ejectTarget();
    Endpoint self = OutlierFixture::options().self;
    Endpoint other = testMember(2).agent;
    fixture.frame(FrameKind::Offer, synPacket(OutlierFixture::flowOf(9)), { self, other });
    REQUIRE(fixture.output.frames.size() == 1);
    CHECK(fixture.output.frames.back().to == other);
    Frame returned = fixture.lastFrame();
    REQUIRE(returned.members.size() == 3);
    CHECK(returned.members[2] == self);
    CHECK(fixture.output.toTarget.empty());
    returned.nextPosition = 3;
    fixture.send(returned, synPacket(OutlierFixture::flowOf(9)));
    CHECK(fixture.output.toTarget.size() == 1);
}

TEST_CASE("outlier: a restored target takes flows of all routes, and a half-open one idempotent ones", "[outlier]")
{
    OutlierFixture fixture;
    fixture.ejectTarget();
    fixture.clock.advance(500ms);
    CHECK_FALSE(fixture.isAccepted(OutlierFixture::flowOf(10)));
    for (uint16_t i = 20; i < 24; ++i) {
        FlowId flow = OutlierFixture::flowOf(i, OutlierFixture::readAddress);
        fixture.open(flow);
        fixture.answerByTarget(flow);
    }
    CHECK(fixture.agent.outliers().state() == OutlierState::Closed);
    CHECK(fixture.isAccepted(OutlierFixture::flowOf(11)));
}

// Guards against the ejection of targets that close each flow after its answer, on a link that reorders packets.
TEST_CASE("outlier: a close that overtakes the answer is no failure", "[outlier]")
{
    OutlierFixture fixture;
    for (uint16_t i = 1; i <= 10; ++i) {
        FlowId flow = OutlierFixture::flowOf(i);
        fixture.open(flow);
        FlowPacket close = fixture.packetOfTarget(flow, 531);
        close.fin = true;
        fixture.receiveFromTarget(close);
        fixture.answerByTarget(flow);
    }
    CHECK(fixture.agent.outliers().state() == OutlierState::Closed);
    CHECK(fixture.agent.outliers().recentFailures() == 0);
}

TEST_CASE("outlier: a close after the request and without an answer is a failure", "[outlier]")
{
    OutlierFixture fixture;
    for (uint16_t i = 1; i <= 2; ++i) {
        fixture.open(OutlierFixture::flowOf(i));
        FlowPacket close = fixture.packetOfTarget(OutlierFixture::flowOf(i), 501);
        close.fin = true;
        fixture.receiveFromTarget(close);
    }
    CHECK(fixture.agent.outliers().state() == OutlierState::Ejected);
    CHECK(fixture.agent.outliers().lastFailure() == TargetFailure::Closed);
}

TEST_CASE("outlier: what a draining target or a caller ends is no failure", "[outlier]")
{
    OutlierFixture fixture;
    fixture.open(OutlierFixture::flowOf(1));
    fixture.open(OutlierFixture::flowOf(2));
    SECTION("draining") { fixture.sendHeartbeat("t-1", 100, true); }
    SECTION("the callers have gone")
    {
        for (uint16_t i = 1; i <= 2; ++i) {
            FlowPacket close = dataPacket(OutlierFixture::flowOf(i), 0);
            close.fin = true;
            fixture.frame(FrameKind::Deliver, close, { OutlierFixture::options().self });
        }
    }
    fixture.resetByTarget(OutlierFixture::flowOf(1));
    fixture.resetByTarget(OutlierFixture::flowOf(2));
    CHECK(fixture.agent.outliers().recentFailures() == 0);
}

TEST_CASE("outlier: requests without an answer free their slots and eject the target", "[outlier]")
{
    OutlierFixture fixture;
    fixture.answerOneRequest();
    for (uint16_t i = 1; i <= 3; ++i)
        fixture.open(OutlierFixture::flowOf(i)); // the third waits for a slot
    CHECK(fixture.agent.waitingRequests() == 1);
    fixture.advanceWithTicks(350ms);
    CHECK(fixture.agent.waitingRequests() == 0);
    CHECK(fixture.agent.outliers().state() == OutlierState::Ejected);
    CHECK(fixture.agent.outliers().lastFailure() == TargetFailure::Unanswered);
}

// Guards against the ejection of a target whose answers waited while the agent's own process was suspended.
TEST_CASE("outlier: a pause of the agent's process is no failure of the target", "[outlier]")
{
    OutlierFixture fixture;
    fixture.answerOneRequest();
    fixture.open(OutlierFixture::flowOf(1));
    fixture.open(OutlierFixture::flowOf(2));
    fixture.advanceWithTicks(50ms);
    fixture.clock.advance(900ms);
    fixture.agent.onTick();
    fixture.answerByTarget(OutlierFixture::flowOf(1));
    fixture.answerByTarget(OutlierFixture::flowOf(2));
    fixture.advanceWithTicks(500ms);
    CHECK(fixture.agent.outliers().state() == OutlierState::Closed);
    CHECK(fixture.agent.outliers().recentFailures() == 0);
}

// Guards against an answer that comes only after its caller has given up and hides that the target fails.
TEST_CASE("outlier: answers after the timeout do not restore a target", "[outlier]")
{
    OutlierFixture fixture;
    fixture.answerOneRequest();
    std::optional<Duration> limit = fixture.agent.outliers().answerLimit();
    fixture.open(OutlierFixture::flowOf(1));
    fixture.open(OutlierFixture::flowOf(2));
    fixture.advanceWithTicks(1100ms);
    CHECK(fixture.agent.outliers().state() == OutlierState::HalfOpen);
    fixture.answerByTarget(OutlierFixture::flowOf(1));
    CHECK(fixture.agent.outliers().answerLimit() == limit);
}

// Guards against requests beyond the slots of a target whose service times are long and not known yet.
TEST_CASE("outlier: before the first answer a request keeps its slot until its timeout", "[outlier]")
{
    OutlierFixture fixture;
    for (uint16_t i = 1; i <= 3; ++i)
        fixture.open(OutlierFixture::flowOf(i));
    fixture.advanceWithTicks(700ms);
    CHECK(fixture.agent.waitingRequests() == 1);
    CHECK(fixture.agent.outliers().state() == OutlierState::Closed);
    fixture.advanceWithTicks(400ms);
    CHECK(fixture.agent.outliers().lastFailure() == TargetFailure::Unanswered);
}
