// Splits messages larger than a datagram into numbered fragments and reassembles them. A lost fragment loses the whole
// message; the protocols above retransmit.
//
//     for (const std::string& datagram : fragmenter.split(message))
//         socket.send(peer, datagram);
//     ...
//     if (std::optional<std::string> message = assembler.add(sender, data, size))
//         handle(*message);
//
// Messages above compressionThreshold are compressed with zlib: configurations have many repeated names and addresses,
// and a message of fewer fragments is less likely to be lost.
#pragma once

#include "core/clock.h"
#include "directory/directory.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace cicadaward::cluster {

constexpr size_t maxFragmentPayloadBytes = 1300; // payload of a datagram; fits an Ethernet frame
constexpr size_t maxMessageBytes = 4 << 20; // before compression
constexpr size_t compressionThreshold = 600;

// compress() uses the fastest level of zlib. decompress() returns nothing for damaged bytes or a result above `limit`
// bytes.
std::string compress(const std::string& bytes);
std::optional<std::string> decompress(const std::string& bytes, size_t limit);

class Fragmenter {
public:
    // `firstNumber` must differ between starts of a process, so that the receiver doesn't mix fragments of two starts.
    explicit Fragmenter(uint32_t firstNumber)
        : m_number(firstNumber)
    {
    }
    std::vector<std::string> split(const std::string& message);

private:
    uint32_t m_number;
};

class Assembler {
public:
    explicit Assembler(const Clock& clock)
        : m_clock(clock)
    {
    }
    // Returns the message that this datagram completes, if any.
    std::optional<std::string> add(Endpoint sender, const uint8_t* data, size_t size);
    static bool isFragment(const uint8_t* data, size_t size);

private:
    struct PartialMessage {
        std::vector<std::string> parts;
        size_t missing = 0;
        Time started;
    };
    void evictPartialMessages();

    const Clock& m_clock;
    std::map<std::pair<Endpoint, uint32_t>, PartialMessage> m_partialMessages; // by sender and message number
    size_t m_bytes = 0;
};

} // namespace cicadaward::cluster
