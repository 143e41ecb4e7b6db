// Seals and opens messages between processes; they are authenticated, not encrypted. A sealed message is the payload,
// followed by a trailer of 25 bytes: key id (1), sequence (8, big endian) and SipHash-128 (16) over payload, key id,
// sequence and purpose.
//
//     Authenticator authenticator(keySource);
//     size = authenticator.seal(buffer, size, MessagePurpose::Packet, sequence); // room for sealTrailerBytes more
//     bytes
//     ...
//     const OpenResult opened = authenticator.open(data, size, MessagePurpose::Packet);
//     if (opened.status != OpenStatus::Valid)
//         return drops.add(DropReason::NotAuthenticated);
//     handle(data, opened.payloadSize);
//
// The purpose is hashed but not sent (domain separation), so that a tunnel datagram is not accepted as a control
// message. Tunnelled packets need no replay protection: a replayed packet has the same effect as one duplicated by the
// network. Messages that change state must pass a ReplayGuard after they were opened.
#pragma once

#include "auth/keys.h"

#include <memory>

namespace cicadaward {

enum class MessagePurpose : uint8_t {
    Packet = 1, // IP packet in the tunnel
    PeerMessage = 2, // message between agents
    ControlRequest = 3, // on a stream, to a control instance
    ControlReply = 4, // on a stream, from a control instance
};

constexpr size_t sealTrailerBytes = 25; // bytes

enum class OpenStatus {
    Valid,
    TooShort,
    UnknownKey,
    WrongHash,
};

struct OpenResult {
    OpenStatus status = OpenStatus::TooShort;
    size_t payloadSize = 0; // bytes, without the trailer
    uint8_t keyId = 0;
    uint64_t sequence = 0;
};

// Not thread-safe; each thread has its own object on the same KeyStore. Sealing and opening do not allocate, except for
// the first message after the keys were replaced.
class Authenticator {
public:
    // `keys` must outlive the authenticator.
    explicit Authenticator(const KeyStore& keys);
    ~Authenticator();
    Authenticator(const Authenticator&) = delete;
    Authenticator& operator=(const Authenticator&) = delete;

    // Returns the new size, or 0 when there is no key.
    size_t seal(uint8_t* buffer, size_t size, MessagePurpose purpose, uint64_t sequence);
    // False when there is no key.
    bool seal(std::string& message, MessagePurpose purpose, uint64_t sequence);

    // Compares the hashes in constant time.
    OpenResult open(const uint8_t* data, size_t size, MessagePurpose purpose);
    // Removes the trailer when the result is Valid.
    OpenResult open(std::string& message, MessagePurpose purpose);

    // Number of messages opened with this key since construction. A key may be removed once its count has stopped
    // growing in all processes.
    uint64_t openedMessageCount(uint8_t keyId) const { return m_openedMessageCounts[keyId]; }

private:
    struct Context;

    void refreshKeys();
    bool computeHash(const AuthKey& key, const uint8_t* data, size_t size, MessagePurpose purpose, uint8_t* out);

    const KeyStore& m_keyStore;
    uint64_t m_generation = 0;
    KeyRing m_keys;
    std::array<uint64_t, 256> m_openedMessageCounts {};
    std::unique_ptr<Context> m_context;
};

} // namespace cicadaward
