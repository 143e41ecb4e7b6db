// An AgentSteering with a recording output and a manual clock; a test plays the entries and the target.
#pragma once

#include "steering/test_fabric.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <cstring>
#include <string>
#include <vector>

namespace cicadaward::steering {

struct AgentFixture {
    ManualClock clock;
    FakePacketFormat format;
    CountingObserver observer;
    RecordingOutput output;
    AgentSteering agent { options(), format, clock, observer, output };
    uint64_t heartbeatSequence = 4; // above 1: the target started before the agent; a new start begins again at 1
    uint64_t lastStartTimeMs = 0;
    bool registersAtOnce = true; // each start is registered as soon as it is announced

    AgentFixture() { run(std::chrono::seconds(2)); } // an agent that has run for longer than a heartbeat interval

    static AgentOptions options()
    {
        AgentOptions result;
        result.self = testMember(1).agent;
        result.dataCentre = "east";
        result.incarnation = 1;
        result.admission.warmUpFactor = 1.5;
        result.admission.warmUpSlack = 5;
        return result;
    }
    void makeReady()
    {
        agent.setState(StateIndex(1), makeHubRouteTable(), {});
        sendHeartbeat();
    }
    // The agent's process runs for this time.
    void run(Duration duration)
    {
        constexpr Duration tickInterval = std::chrono::milliseconds(25);
        for (; duration > Duration::zero(); duration -= tickInterval) {
            clock.advance(tickInterval);
            agent.onTick();
        }
    }
    HeartbeatResult sendHeartbeat(const std::string& id = "t-1", uint64_t startTimeMs = 100, bool draining = false,
        std::chrono::milliseconds cold = std::chrono::milliseconds(0))
    {
        Heartbeat heartbeat;
        heartbeat.id = id;
        heartbeat.service = hub;
        heartbeat.dataCentre = "east";
        heartbeat.draining = draining;
        heartbeat.warmUpLeft = cold;
        heartbeat.startTimeMs = startTimeMs;
        if (lastStartTimeMs != 0 && startTimeMs > lastStartTimeMs)
            heartbeatSequence = 0;
        lastStartTimeMs = std::max(lastStartTimeMs, startTimeMs);
        heartbeat.sequence = ++heartbeatSequence;
        heartbeat.slots = 2;
        HeartbeatResult result = agent.onHeartbeat(heartbeat);
        const MemberRecord& record = agent.record();
        if (registersAtOnce)
            agent.onRegistered(record.incarnation, record.targetStartSequence);
        return result;
    }
    void frame(FrameKind kind, const FlowPacket& head, std::vector<Endpoint> members, bool compare = false)
    {
        Frame frame;
        frame.kind = kind;
        frame.shouldCompareLoad = compare;
        frame.nextPosition = 1;
        frame.service = kind == FrameKind::Offer ? hub : ServiceKey();
        frame.entry = entryEndpoint;
        frame.members.assign(members.begin(), members.end());
        send(frame, head);
    }
    void send(const Frame& frame, const FlowPacket& head)
    {
        std::vector<uint8_t> bytes = frameBytes(frame, head);
        agent.onFrame(entryEndpoint, bytes.data(), bytes.size());
    }
    void offer(const FlowId& flow) { frame(FrameKind::Offer, synPacket(flow), { options().self }); }
    // The target takes the flow and has sent data up to `answerEnd`.
    void open(const FlowId& flow, uint32_t answerEnd)
    {
        offer(flow);
        FlowPacket answer = dataPacket(flow, 0);
        answer.sequence = answerEnd;
        receiveFromTarget(answer);
    }
    void receiveFromTarget(FlowPacket head)
    {
        std::vector<uint8_t> bytes = FakePacketFormat::encode(head);
        agent.onTargetPacket(bytes.data(), bytes.size());
    }
    // The target bounces the packet that it received last.
    void bounceLastPacket()
    {
        REQUIRE(!output.toTarget.empty());
        FlowPacket packet;
        std::memcpy(&packet, output.toTarget.back().bytes.data(), sizeof(packet));
        packet.bounced = true;
        receiveFromTarget(packet);
    }
    Frame lastFrame() const { return output.lastFrame(); }
};

} // namespace cicadaward::steering
