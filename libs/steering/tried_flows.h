// What an agent knows of flows of which it has given packets to its target without knowing whether the target holds
// them. A target denies such a flow by returning the packet, or by a reset when it remembers an earlier flow between
// the same ends. A denial is remembered so that the target is not asked again by each further packet of the flow.
//
//     tried.add(packet, frame, data, size); // before the packet goes to the target
//     if (std::optional<TriedPacket> denied = tried.take(flow)) // the target has reset the flow
//         tried.deny(flow, denied->sequence, now);
//
// A denial holds for packets whose sequence numbers are near that of the denied one, until the agent gives the target a
// SYN between the same ends, or the target sends a packet of the flow. It is forgotten after `retention`, so that a
// denial that was wrong does not hide a flow for good.
//
// Memory: at most `maxPackets` packets and `maxDenials` denials of about 60 bytes; the oldest are dropped.
#pragma once

#include "core/clock.h"
#include "steering/frame.h"

#include <absl/container/flat_hash_map.h>
#include <deque>
#include <optional>
#include <vector>

namespace cicadaward::steering {

struct TriedPacket {
    FlowId flow;
    uint32_t sequence = 0;
    Frame frame; // by which the packet came
    std::vector<uint8_t> bytes;
};

class TriedFlows {
public:
    static constexpr size_t maxPackets = 256;
    static constexpr size_t maxDenials = 8192;
    // Callers retransmit an unanswered packet for some seconds.
    static constexpr Duration retention = std::chrono::seconds(10);

    // Keeps the newest packet of each flow.
    void add(const FlowPacket&, const Frame&, const uint8_t* data, size_t size);
    // Removes and returns the kept packet of the flow.
    std::optional<TriedPacket> take(const FlowId&);
    void deny(const FlowId&, uint32_t sequence, Time now);
    bool isDenied(const FlowPacket&, Time now) const;
    // The target may hold a flow between these ends from now on.
    void forget(const FlowId&);

private:
    struct Denial {
        uint32_t sequence = 0;
        Time at;
    };
    struct DenialOrder {
        FlowId flow;
        Time at;
    };

    void dropOldDenials(Time now);

    std::deque<TriedPacket> m_packets; // oldest first
    absl::flat_hash_map<FlowId, Denial> m_denials;
    std::deque<DenialOrder> m_order; // of the denials, oldest first; may name forgotten ones
};

} // namespace cicadaward::steering
