// Refuses messages that were seen before. Sequence numbers of a sender start from its process incarnation, so that the
// first message after a restart is above everything that was sent before.
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

// The incarnation is the start of the process in milliseconds since 1970. A process that sends fewer than 2^20 messages
// in each millisecond of its life stays below the first number of its next start. Good until the year 2527.
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

// Accepts each sequence number at most once, out of order within the last 64.
class ReplayWindow {
public:
    bool accept(uint64_t sequence);

private:
    uint64_t m_highest = 0;
    uint64_t m_seenBits = 0; // bit i: highest - i was accepted
};

// A window for each sender. When a further sender would exceed the bound, the sender that was silent for longest is
// forgotten; senders hold a key, so only the system's own growth can cause that.
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
