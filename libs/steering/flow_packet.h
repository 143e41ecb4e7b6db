// The header fields of a packet that steering uses, and the interface to its wire format.
//
//     std::optional<FlowPacket> packet = format.decode(data, size);
//     if (!packet)
//         return drop();
//     table.find(packet->flow);
//
// Packets are forwarded unchanged, except for the mark, which both ends of a flow ignore, and the bounced flag.
#pragma once

#include "directory/directory.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <utility>
#include <vector>

namespace cicadaward::steering {

// The two ends of a flow: IPv4 addresses and ports in host byte order.
struct FlowId {
    Endpoint caller;
    Endpoint service;

    friend bool operator==(const FlowId& a, const FlowId& b) { return a.caller == b.caller && a.service == b.service; }
    template <typename H> friend H AbslHashValue(H state, const FlowId& flow)
    {
        return H::combine(
            std::move(state), flow.caller.address, flow.caller.port, flow.service.address, flow.service.port);
    }
    // Every process must compute the same value, because the rendezvous order of members depends on it.
    uint64_t hash() const;
};

// More than a caller sends without an acknowledgement.
constexpr uint32_t callerWindowBytes = 1 << 16;

// True when both sequence numbers can be of packets that a caller sends at about the same time.
constexpr bool areSequencesNear(uint32_t a, uint32_t b) { return a - b + callerWindowBytes < 2 * callerWindowBytes; }

// Decoded packet header. `flow.caller` is the same end of the flow in packets of either direction.
struct FlowPacket {
    FlowId flow;
    bool syn = false;
    bool ack = false;
    bool fin = false;
    bool reset = false;
    bool bounced = false; // returned by a target that does not hold the flow or cannot accept it
    uint16_t length = 0; // bytes of data
    uint32_t sequence = 0;
    uint32_t acknowledged = 0;
    uint32_t mark = 0; // returned unchanged in a bounced packet
    uint8_t synRetransmission = 0; // SYN: number of the retransmission, 0 for the original
    std::chrono::milliseconds age { 0 }; // SYN: time since the caller sent the original
};

enum class Direction : uint8_t { FromCaller, FromTarget };

// Wire format of packets. Implementations are stateless and thread-safe.
class PacketFormat {
public:
    virtual ~PacketFormat() = default;
    // Returns nothing for malformed bytes. A bounced packet arrives from a target but was sent by the caller, so it is
    // decoded as FromCaller.
    virtual std::optional<FlowPacket> decode(const uint8_t* data, size_t size, Direction) const = 0;
    // Sets the mark and clears the bounced flag of a packet that decode() accepted.
    virtual void prepareForTarget(uint8_t* data, uint32_t mark) const = 0;
    // Encodes a reset from the service's address to the caller.
    virtual std::vector<uint8_t> reset(const FlowId&, uint32_t sequence) const = 0;
};

constexpr size_t maxPacketBytes = 1400; // header and data

} // namespace cicadaward::steering
