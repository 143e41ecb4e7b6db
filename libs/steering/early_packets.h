// Packets of open flows that reach an entry before it has its first state.
//
// Callers reach an entry as soon as it listens: after a loss of power the router has no ready entry and uses all of
// them. A packet dropped then costs its caller a retransmission interval, and at the end of a flow's time the request.
// So the packets wait here until the entry can decide, for a time shorter than that interval.
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

    // False when it is full; the packets that wait are the ones that came first.
    bool add(const uint8_t* data, size_t size);
    // Removes the packets that have waited for the limit, or all of them, in the order of their arrival.
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
