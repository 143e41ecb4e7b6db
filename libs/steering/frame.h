// Frames between entries and agents: a list of members to visit, what the visits have shown so far, and the packet.
//
// The list travels with the packet, so an agent needs no member table to pass a packet on, and a frame visits each
// member at most once more than it is listed. Layout, big endian: magic 2, kind 1, flags 1, next 1, best 1, load 2,
// service 8, entry 6, count 1, members 6 each; then the packet.
#pragma once

#include "steering/flow_packet.h"
#include "steering/route_table.h"

#include <absl/container/inlined_vector.h>
#include <optional>
#include <vector>

namespace cicadaward::steering {

enum class FrameKind : uint8_t {
    Offer = 1, // SYN: find a target that accepts the flow
    Deliver = 2, // packet of a flow that a member holds
    Probe = 3, // same, sent to several members at once: never passed on
    Returned = 4, // to the entry: no member of the list took the packet
    Located = 5, // to the entry: the flow of the packet head lives at the sender
    FanOut = 6, // packet that the receiver sends to each of the members as a probe
};

constexpr size_t maxFrameMembers = 64;
constexpr uint8_t noPosition = 0xff;

struct Frame {
    FrameKind kind = FrameKind::Deliver;
    bool shouldCompareLoad = false; // Offer: a second member is to be asked for its load
    bool mayAcceptLater = false; // Offer: a member could not decide yet, so a later copy may be accepted
    bool isUncertain = false; // Deliver: a member passed the packet on without knowing that its target does not hold it
    uint8_t nextPosition = 0; // position of the next member that has not been visited
    uint8_t leastLoadedPosition = noPosition; // position of the visited member with the lowest load
    uint16_t lowestLoad = 0; // see AgentSteering::load()
    ServiceKey service;
    Endpoint entry; // where Returned and Located go
    absl::InlinedVector<Endpoint, 4> members;
};

constexpr size_t maxFrameBytes = 24 + 6 * maxFrameMembers + maxPacketBytes;

// Appends to `out`, which keeps its capacity between calls.
void encodeFrame(const Frame&, const uint8_t* packet, size_t packetSize, std::vector<uint8_t>& out);

// Returns the number of bytes before the packet, or nothing when the bytes are no frame.
std::optional<size_t> decodeFrame(const uint8_t* data, size_t size, Frame& frame);

// Located carries a flow in place of a packet.
void encodeFlow(const FlowId&, std::vector<uint8_t>& out);
std::optional<FlowId> decodeFlow(const uint8_t* data, size_t size);

} // namespace cicadaward::steering
