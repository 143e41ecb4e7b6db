// A packet of a flow as the fabric hands it over, and the interface to the format that it has on the wire.
//
//     std::optional<FlowPacket> packet = format.decode(data, size);
//     if (!packet)
//         return drop();
//     table.find(packet->flow);
//
// The system forwards packets as they are. It may set only the mark (which ends of flows ignore) and the bounced flag.
#pragma once

#include "directory/directory.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <utility>
#include <vector>

namespace cicadaward::steering {

// The two ends of a flow, IPv4 addresses and ports in host byte order.
struct FlowId {
    Endpoint caller;
    Endpoint service;

    friend bool operator==(const FlowId& a, const FlowId& b) { return a.caller == b.caller && a.service == b.service; }
    template <typename H> friend H AbslHashValue(H state, const FlowId& flow)
    {
        return H::combine(
            std::move(state), flow.caller.address, flow.caller.port, flow.service.address, flow.service.port);
    }
    // The same in every process: it decides the order of candidates.
    uint64_t hash() const;
};

// Decoded head of a packet. `flow` names the ends by their part, whichever of them sent the packet.
struct FlowPacket {
    FlowId flow;
    bool syn = false;
    bool ack = false;
    bool fin = false;
    bool reset = false;
    bool bounced = false; // the target does not hold the flow or cannot accept it
    uint16_t length = 0; // bytes of data
    uint32_t sequence = 0;
    uint32_t acknowledged = 0;
    uint32_t mark = 0; // returned unchanged in a bounced packet
    uint8_t synRetransmission = 0; // SYN: number of the copy, 0 for the first
    std::chrono::milliseconds age { 0 }; // SYN: time since the caller sent the first copy
};

enum class Direction : uint8_t { FromCaller, FromTarget };

// Wire form of packets. Implementations keep no state and are safe for use by several threads.
class PacketFormat {
public:
    virtual ~PacketFormat() = default;
    // Returns nothing for bytes that are no packet. A bounced packet comes from a target but was sent by the caller, so
    // it is decoded as FromCaller.
    virtual std::optional<FlowPacket> decode(const uint8_t* data, size_t size, Direction) const = 0;
    // Sets the mark and clears the bounced flag of a packet that decode() accepted.
    virtual void prepareForTarget(uint8_t* data, uint32_t mark) const = 0;
    // A reset that the service's address sends to the caller.
    virtual std::vector<uint8_t> reset(const FlowId&, uint32_t sequence) const = 0;
};

constexpr size_t maxPacketBytes = 1400; // head and data

} // namespace cicadaward::steering
