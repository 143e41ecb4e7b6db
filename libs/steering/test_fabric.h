// Fakes for tests of EntrySteering and AgentSteering: a packet format, an output that records, an observer that counts,
// and builders of example values.
#pragma once

#include "steering/agent_steering.h"
#include "steering/entry_steering.h"

#include <array>
#include <catch2/catch.hpp>
#include <cstring>
#include <utility>
#include <vector>

namespace cicadaward::steering {

// Encodes a packet as the bytes of its FlowPacket, followed by `length` bytes of data.
class FakePacketFormat final : public PacketFormat {
public:
    static std::vector<uint8_t> encode(const FlowPacket& packet)
    {
        std::vector<uint8_t> bytes(sizeof(FlowPacket) + packet.length, 0x5a);
        std::memcpy(bytes.data(), &packet, sizeof(packet));
        return bytes;
    }
    std::optional<FlowPacket> decode(const uint8_t* data, size_t size, Direction) const override
    {
        if (size < sizeof(FlowPacket))
            return std::nullopt;
        FlowPacket packet;
        std::memcpy(&packet, data, sizeof(packet));
        return size == sizeof(packet) + packet.length ? std::optional<FlowPacket>(packet) : std::nullopt;
    }
    void prepareForTarget(uint8_t* data, uint32_t mark) const override
    {
        FlowPacket packet;
        std::memcpy(&packet, data, sizeof(packet));
        packet.mark = mark;
        packet.bounced = false;
        std::memcpy(data, &packet, sizeof(packet));
    }
    std::vector<uint8_t> reset(const FlowId& flow, uint32_t sequence) const override
    {
        FlowPacket packet;
        packet.flow = flow;
        packet.reset = true;
        packet.sequence = sequence;
        return encode(packet);
    }
};

class CountingObserver final : public DecisionObserver {
public:
    void onDecision(Decision decision, const FlowId&, const DecisionInputs&) override
    {
        ++m_counts[static_cast<size_t>(decision)];
    }
    void onLatency(Latency latency, Duration duration) override { latencies.emplace_back(latency, duration); }
    size_t count(Decision decision) const { return m_counts[static_cast<size_t>(decision)]; }

    std::vector<std::pair<Latency, Duration>> latencies;

private:
    std::array<size_t, static_cast<size_t>(Decision::Count)> m_counts {};
};

// Records what an entry or agent sends.
class RecordingOutput final : public EntryOutput, public AgentOutput {
public:
    struct Sent {
        Endpoint to;
        std::vector<uint8_t> bytes;
    };
    void sendFrame(Endpoint to, const std::vector<uint8_t>& frame) override { frames.push_back({ to, frame }); }
    void sendToCaller(const FlowId& flow, const std::vector<uint8_t>& packet) override
    {
        toCaller.push_back({ flow.caller, packet });
    }
    void sendToCaller(const FlowId& flow, const uint8_t* packet, size_t size) override
    {
        toCaller.push_back({ flow.caller, { packet, packet + size } });
    }
    void sendToTarget(const uint8_t* packet, size_t size) override
    {
        toTarget.push_back({ {}, { packet, packet + size } });
    }

    void confirmMembers() override { ++confirmationRequests; }
    void newerStateSeen(StateIndex state) override { newerStates.push_back(state); }

    Frame lastFrame() const
    {
        Frame frame;
        REQUIRE(!frames.empty());
        REQUIRE(decodeFrame(frames.back().bytes.data(), frames.back().bytes.size(), frame));
        return frame;
    }

    std::vector<Sent> frames;
    std::vector<Sent> toCaller;
    std::vector<Sent> toTarget;
    size_t confirmationRequests = 0; // calls of confirmMembers()
    std::vector<StateIndex> newerStates; // arguments of newerStateSeen()
};

inline FlowPacket synPacket(const FlowId& flow, uint8_t synRetransmission = 0)
{
    FlowPacket packet;
    packet.flow = flow;
    packet.syn = true;
    packet.synRetransmission = synRetransmission;
    return packet;
}

inline FlowPacket dataPacket(const FlowId& flow, uint16_t length = 10)
{
    FlowPacket packet;
    packet.flow = flow;
    packet.ack = true;
    packet.length = length;
    return packet;
}

inline Configuration makeConfiguration(
    uint64_t version, std::vector<Route> routes, const std::vector<std::string>& services)
{
    Configuration configuration;
    configuration.version = version;
    configuration.routes = std::move(routes);
    for (const std::string& name : services) {
        ServicePolicy policy;
        policy.key = serviceKey(name);
        policy.name = name;
        configuration.services.push_back(policy);
    }
    return configuration;
}

inline Route makeRoute(Endpoint address, std::vector<WeightedService> services)
{
    Route route;
    route.name = "route";
    route.address = address;
    route.services = std::move(services);
    return route;
}

inline std::vector<uint8_t> frameBytes(const Frame& frame, const FlowPacket& packet)
{
    std::vector<uint8_t> packetBytes = FakePacketFormat::encode(packet);
    std::vector<uint8_t> bytes;
    encodeFrame(frame, packetBytes.data(), packetBytes.size(), bytes);
    return bytes;
}

inline std::vector<uint8_t> flowFrameBytes(FrameKind kind, const FlowId& flow)
{
    Frame frame;
    frame.kind = kind;
    std::vector<uint8_t> bytes;
    encodeFrame(frame, nullptr, 0, bytes);
    encodeFlow(flow, bytes);
    return bytes;
}

// Example values that the tests share.
inline const Endpoint serviceAddress { 0xC6120001, 443 };
inline const Endpoint entryEndpoint { 0x0A010001, 7735 };
inline const ServiceKey hub = serviceKey("hub");
inline const ServiceKey catalogue = serviceKey("catalogue");

inline FlowId testFlow(uint16_t number) { return { { 0x64400001, number }, serviceAddress }; }

inline MemberRecord testMember(uint32_t number, ServiceKey service = hub)
{
    MemberRecord record;
    record.agent = { 0x0A020000 + number, 8172 };
    record.service = service;
    record.dataCentre = number % 2 ? "east" : "west";
    record.state = TargetState::Ready;
    record.incarnation = 1;
    record.sequence = 1;
    return record;
}

inline RouteTable makeHubRouteTable(uint64_t version = 1)
{
    return RouteTable(
        makeConfiguration(version, { makeRoute(serviceAddress, { { hub, 1 } }) }, { "hub", "catalogue" }));
}

} // namespace cicadaward::steering
