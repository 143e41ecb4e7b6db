// Rejects replayed messages. The sequence numbers of a sender start from its process incarnation, so that the first
// message after a restart has a higher number than every message before it.
//
//     MessageSequence sequence(incarnation); // sender
//     authenticator.seal(message, purpose, sequence.next());
//
//     ReplayGuard guard(4096); // receiver, after opening
//     if (!guard.accept(sender, opened.sequence))
//         log.write(EventId::MessageReplayed, { { "sender", sender.value() } });
#pragma once

#include "core/ids.h"

#include <absl/container/flat_hash_map.h>

namespace cicadaward {

// The incarnation is the start of the process in milliseconds since 1970. Numbers do not repeat after a
// restart as long as the process sends fewer than 2^20 messages per millisecond on average. The shifted incarnation
// fits 64 bits until the year 2527.
class MessageSequence {
public:
    explicit MessageSequence(Incarnation process)
        : m_next(process.value() << 20)
    {
    }

    uint64_t next() { return m_next++; }

private:
    uint64_t m_next;
};

// Accepts each sequence number at most once. Numbers may arrive out of order, but a number that is 64 or more below the
// highest accepted one is rejected.
class ReplayWindow {
public:
    bool accept(uint64_t sequence);

private:
    uint64_t m_highest = 0;
    uint64_t m_seenBits = 0; // bit i is set when m_highest - i was accepted
};

// Keeps one ReplayWindow for each sender. A new sender beyond maxSenders evicts the least recently used one, in
// O(maxSenders). Only holders of a key reach this table, so only growth of the system itself can cause evictions.
class ReplayGuard {
public:
    explicit ReplayGuard(size_t maxSenders)
        : m_maxSenders(maxSenders)
    {
    }

    bool accept(MemberId sender, uint64_t sequence);

    size_t senderCount() const { return m_senders.size(); }
    uint64_t evictedSenderCount() const { return m_evictedSenderCount; }

private:
    struct Sender {
        ReplayWindow window;
        uint64_t lastUse = 0;
    };

    size_t m_maxSenders;
    uint64_t m_useCount = 0;
    uint64_t m_evictedSenderCount = 0;
    absl::flat_hash_map<MemberId, Sender> m_senders;
};

} // namespace cicadaward
