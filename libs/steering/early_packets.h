// Holds packets of open flows that arrive at an entry before its first state.
//
// Packets arrive as soon as an entry listens: after a power failure of all machines, no entry is ready, and the router
// sends to all of them. Dropping a packet costs its caller a retransmission interval, and near the request's timeout
// the request fails. The packets are therefore held until the entry can decide, for less than that interval.
//
//     if (!entryCanDecide() && packets.add(data, size))
//         return;
//     ...
//     for (const std::vector<uint8_t>& packet : entryCanDecide() ? packets.takeAll() : packets.takeOverdue())
//         decide(packet);
//
// Memory: at most `maxPackets` packets with `maxBytes`. Cost: O(1) for each packet.
#pragma once

#include "core/clock.h"

#include <deque>
#include <vector>

namespace cicadaward::steering {

struct EarlyPacketsOptions {
    size_t maxPackets = 512;
    size_t maxBytes = 1 << 18;
    Duration maxWait = std::chrono::milliseconds(600); // from the arrival of a packet
};

class EarlyPackets {
public:
    EarlyPackets(EarlyPacketsOptions options, const Clock& clock)
        : m_options(options)
        , m_clock(clock)
    {
    }

    // Returns false, without adding the packet, when a bound is reached.
    bool add(const uint8_t* data, size_t size);
    // Remove and return the packets that have waited for `maxWait`, or all packets, in the order of their arrival.
    std::vector<std::vector<uint8_t>> takeOverdue();
    std::vector<std::vector<uint8_t>> takeAll();

    size_t size() const { return m_packets.size(); }

private:
    struct Packet {
        Time arrived;
        std::vector<uint8_t> bytes;
    };
    std::vector<std::vector<uint8_t>> takeArrivedBy(Time arrived);

    const EarlyPacketsOptions m_options;
    const Clock& m_clock;
    std::deque<Packet> m_packets; // oldest first
    size_t m_bytes = 0;
};

} // namespace cicadaward::steering
