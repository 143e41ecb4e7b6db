// Encapsulation of packets between entries and agents: a list of members to visit, the results of the visits so far,
// and the packet.
//
// The frame carries the list, so an agent needs no member table to forward a packet, and a frame visits each member at
// most once more than it is listed. Layout (field and bytes, big endian): magic 2, kind 1, flags 1, next position 1,
// least loaded position 1, lowest load 2, service 8, entry 6, member count 1, members 6 each; then the packet.
//
// The state index of an offer is encoded as a first member that counts as visited, in an address that no host can have
// (0.0.0.0/8). Versions before the index pass it on unread, so they work together with later ones.
//
// An offer whose lowest load is a time asks for the comparison with a flag of its own. Earlier versions know only the
// flag for loads that are counts of requests, which is not set then, so they do not compare the two.
#pragma once

#include "core/ids.h"
#include "steering/flow_packet.h"
#include "steering/route_table.h"

#include <absl/container/inlined_vector.h>
#include <optional>
#include <vector>

namespace cicadaward::steering {

enum class FrameKind : uint8_t {
    Offer = 1, // SYN of a new flow: the first member that accepts it gives it to its target
    Deliver = 2, // packet of an open flow: goes from member to member until one holds the flow
    Probe = 3, // as Deliver, but sent to several members in parallel and never forwarded
    Returned = 4, // to the entry: no member of the list accepted the packet
    Located = 5, // to the entry: the sender's target holds the flow; carries encodeFlow() in place of a packet
    FanOut = 6, // the receiver sends the packet to each listed member in a Probe frame
};

constexpr size_t maxFrameMembers = 64;
constexpr size_t maxOfferMembers = maxFrameMembers - 1; // the state index takes the place of one
constexpr uint64_t maxStateLead = uint64_t(1) << 32; // log entries; no process is further behind another one
constexpr StateIndex maxFrameStateIndex { (uint64_t(1) << 40) - 1 }; // a larger one is not encoded
constexpr uint8_t noPosition = 0xff; // value of leastLoadedPosition when no load is known

struct Frame {
    FrameKind kind = FrameKind::Deliver;
    bool shouldCompareLoad = false; // Offer: the next member compares its load before one of the two accepts
    bool mayAcceptLater = false; // Offer: a member could not decide yet, so it may accept a retransmitted SYN
    bool isOutdated = false; // Returned: a member denied the offer because its own, newer state excludes it
    bool isUncertain
        = false; // Deliver: a member forwarded the packet but cannot rule out that its target holds the flow
    // Deliver, Probe, FanOut: a member that cannot rule out that its target holds the flow may give it the packet. The
    // first member of a Deliver frame always may.
    bool mayTry = true;
    uint8_t nextPosition = 0; // position in `members` of the next one to visit
    uint8_t leastLoadedPosition = noPosition; // position of the visited member with the lowest load
    uint16_t lowestLoad = 0; // see AgentSteering::load() and, when loadIsTime is set, loadAsTime()
    bool loadIsTime = false; // Offer: the unit of lowestLoad; needs shouldCompareLoad and leastLoadedPosition
    ServiceKey service;
    // Offer, Returned: the index of the entry's state when it offered the flow, or of the member's when isOutdated is
    // set. 0: unknown.
    StateIndex state;
    Endpoint entry; // the entry that receives the Returned or Located answer
    absl::InlinedVector<Endpoint, 4> members;
};

constexpr size_t maxFrameBytes = 24 + 6 * maxFrameMembers + maxPacketBytes;

// Replaces the contents of `out`; reuse one vector to avoid allocations.
void encodeFrame(const Frame&, const uint8_t* packet, size_t packetSize, std::vector<uint8_t>& out);

// Returns the offset of the packet in `data`, or nothing when the bytes are not a valid frame.
std::optional<size_t> decodeFrame(const uint8_t* data, size_t size, Frame& frame);

// The payload of a Located frame. encodeFlow() appends to `out`. decodeFlow() returns nothing when `size` is wrong.
void encodeFlow(const FlowId&, std::vector<uint8_t>& out);
std::optional<FlowId> decodeFlow(const uint8_t* data, size_t size);

} // namespace cicadaward::steering
