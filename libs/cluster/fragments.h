// Splits messages larger than a datagram into numbered fragments and reassembles them. The receiver can ask for the
// fragments that it misses (MessageTransport does); what is missing for too long loses the whole message, and the
// protocols above send another one.
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
constexpr size_t maxRequestedFragments = 64; // by one request, so that the answer fits a small receive buffer
constexpr Duration partialMessageTimeout = std::chrono::seconds(2); // after the first fragment that arrived

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
    // Number of the last message that was split.
    uint32_t lastNumber() const { return m_number; }

private:
    uint32_t m_number;
};

// Asks the sender of a message for fragments that have not arrived. A process of an earlier version ignores it.
struct FragmentRequest {
    uint32_t number = 0; // of the message
    std::vector<uint16_t> indexes; // at most maxRequestedFragments

    std::string encode() const;
    // Nothing when the datagram is not a request.
    static std::optional<FragmentRequest> decode(const uint8_t* data, size_t size);
};

// Messages that an Assembler could not return, since its construction.
struct AssemblerFailures {
    uint64_t damaged = 0; // cannot be decompressed to at most maxMessageBytes
    uint64_t incomplete = 0; // dropped because a fragment didn't arrive in time, or for space
};

// Memory: fragments of at most 4 MiB with their bookkeeping, and the last one that arrived. Above that, the oldest
// messages are dropped.
class Assembler {
public:
    explicit Assembler(const Clock& clock)
        : m_clock(clock)
    {
    }
    // Returns the message that this datagram completes, if any.
    std::optional<std::string> add(Endpoint sender, const uint8_t* data, size_t size);
    static bool isFragment(const uint8_t* data, size_t size);
    // Requests for fragments that have not arrived, by the sender of the message: the first one some time after the
    // last fragment, further ones at doubling intervals until one arrives.
    std::vector<std::pair<Endpoint, FragmentRequest>> dueRequests();
    // When dueRequests() has something to return; nothing while no fragment is missing.
    std::optional<Time> nextRequest() const;
    const AssemblerFailures& failures() const { return m_failures; }

private:
    using Key = std::pair<Endpoint, uint32_t>; // sender and message number
    // A completed message stays without its parts, so that a fragment that arrives twice does not begin another one.
    struct PartialMessage {
        std::vector<std::string> parts;
        size_t missing = 0; // 0: complete
        size_t bytes = 0; // counted in m_bytes
        Time started;
        Time nextRequest;
        Duration requestInterval;
    };
    PartialMessage& begin(const Key&, size_t count);
    std::string complete(PartialMessage&);
    void setBytes(PartialMessage&, size_t);
    FragmentRequest requestFor(uint32_t number, const PartialMessage&) const;
    void evictPartialMessages();
    void evictOldest();
    void evict(std::map<Key, PartialMessage>::iterator);

    const Clock& m_clock;
    std::map<Key, PartialMessage> m_partialMessages;
    size_t m_bytes = 0;
    AssemblerFailures m_failures;
};

} // namespace cicadaward::cluster
