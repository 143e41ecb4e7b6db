// Splits messages larger than a datagram into numbered fragments and reassembles them. A lost fragment loses the whole
// message; the protocols above retransmit.
//
//     absl::StatusOr<std::vector<std::string>> datagrams = fragmenter.split(message);
//     if (!datagrams.ok())
//         return datagrams.status(); // the message is too large
//     for (const std::string& datagram : *datagrams)
//         socket.send(peer, datagram);
//     ...
//     if (std::optional<std::string> message = assembler.add(sender, data, size))
//         handle(*message);
//
// Messages above compressionThreshold are compressed with zlib: configurations have many repeated names and addresses,
// and a message of fewer fragments is less likely to be lost. Both ends refuse a message above maxMessageBytes; the
// receiver counts it, and messages of which a fragment was lost, in failures().
#pragma once

#include "core/clock.h"
#include "directory/directory.h"

#include <absl/status/statusor.h>
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
    // ResourceExhausted for a message above maxMessageBytes, or of too many fragments.
    absl::StatusOr<std::vector<std::string>> split(const std::string& message);

private:
    uint32_t m_number;
};

// Messages that an Assembler could not return, since its construction.
struct AssemblerFailures {
    uint64_t damaged = 0; // cannot be decompressed to at most maxMessageBytes
    uint64_t incomplete = 0; // dropped because a fragment didn't arrive in time, or for space
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
    const AssemblerFailures& failures() const { return m_failures; }

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
    AssemblerFailures m_failures;
};

} // namespace cicadaward::cluster
