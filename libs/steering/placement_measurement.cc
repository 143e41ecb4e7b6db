// Measures the processor time of an agent per request, from the offer of its flow to the end of the answer, with
// placement by requests and by work. Prints the fastest of several rounds.
#include "steering/test_fabric.h"

#include <algorithm>
#include <cstdio>

using namespace cicadaward;
using namespace cicadaward::steering;

namespace {

// Discards what the agent sends, so that only the agent is measured.
class NullOutput final : public AgentOutput {
public:
    void sendFrame(Endpoint, const std::vector<uint8_t>&) override { }
    void sendToTarget(const uint8_t*, size_t) override { }
    void sendToCaller(const FlowId&, const uint8_t*, size_t) override { }
};

class NullObserver final : public DecisionObserver {
public:
    void onDecision(Decision, const FlowId&, const DecisionInputs&) override { }
    void onLatency(Latency, Duration) override { }
};

struct Measurement {
    ManualClock clock;
    FakePacketFormat format;
    NullObserver observer;
    NullOutput output;
    AgentSteering agent;
    uint64_t sequence = 4;
    uint32_t flows = 0;

    explicit Measurement(const AgentOptions& options)
        : agent(options, format, clock, observer, output)
    {
        agent.setState(StateIndex(1), makeHubRouteTable(), {});
    }
    void heartbeat()
    {
        Heartbeat heartbeat;
        heartbeat.id = "t-1";
        heartbeat.service = hub;
        heartbeat.dataCentre = "east";
        heartbeat.startTimeMs = 100;
        heartbeat.sequence = ++sequence;
        heartbeat.slots = 4;
        agent.onHeartbeat(heartbeat);
        agent.onRegistered(agent.record().incarnation, agent.record().targetStartSequence);
    }
    void fromEntry(FrameKind kind, const FlowPacket& packet)
    {
        Frame frame;
        frame.kind = kind;
        frame.nextPosition = kind == FrameKind::Offer ? 2 : 1;
        frame.shouldCompareLoad = kind == FrameKind::Offer;
        frame.leastLoadedPosition = kind == FrameKind::Offer ? 0 : noPosition;
        frame.lowestLoad = 65535;
        frame.service = hub;
        frame.entry = entryEndpoint;
        frame.members.assign(kind == FrameKind::Offer ? 2 : 1, testMember(1).agent);
        std::vector<uint8_t> bytes = frameBytes(frame, packet);
        agent.onFrame(entryEndpoint, bytes.data(), bytes.size());
    }
    void fromTarget(const FlowPacket& packet)
    {
        std::vector<uint8_t> bytes = FakePacketFormat::encode(packet);
        agent.onTargetPacket(bytes.data(), bytes.size());
    }
    void serveFlow()
    {
        ++flows;
        FlowId id { { 0x64400000 + flows / 60000, static_cast<uint16_t>(1 + flows % 60000) }, serviceAddress };
        fromEntry(FrameKind::Offer, synPacket(id));
        FlowPacket synAck = dataPacket(id, 0);
        synAck.syn = true;
        synAck.acknowledged = 1;
        fromTarget(synAck);
        FlowPacket request = dataPacket(id, 100);
        request.sequence = 1;
        fromEntry(FrameKind::Deliver, request);
        clock.advance(std::chrono::milliseconds(2));
        FlowPacket answer = dataPacket(id, 100);
        answer.fin = true;
        fromTarget(answer);
        FlowPacket end = dataPacket(id, 0);
        end.sequence = 101;
        end.fin = true;
        fromEntry(FrameKind::Deliver, end);
        if (flows % 12 == 0)
            agent.onTick();
        if (flows % 500 == 0)
            heartbeat();
    }
};

double nanosecondsPerFlow(const AgentOptions& options)
{
    constexpr int rounds = 15;
    constexpr int flowsPerRound = 40000;
    Measurement measurement(options);
    measurement.heartbeat();
    double best = 1e18;
    for (int round = 0; round < rounds; ++round) {
        auto begin = std::chrono::steady_clock::now();
        for (int i = 0; i < flowsPerRound; ++i)
            measurement.serveFlow();
        std::chrono::duration<double, std::nano> elapsed = std::chrono::steady_clock::now() - begin;
        best = std::min(best, elapsed.count() / flowsPerRound);
    }
    return best;
}

} // namespace

int main()
{
    AgentOptions options;
    options.self = testMember(1).agent;
    options.dataCentre = "east";
    options.incarnation = 1;
    options.placementBy = PlacementBy::Requests;
    std::printf("by requests: %.0f ns per flow\n", nanosecondsPerFlow(options));
    options.placementBy = PlacementBy::Work;
    std::printf("by work: %.0f ns per flow\n", nanosecondsPerFlow(options));
    return 0;
}
