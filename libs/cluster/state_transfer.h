// Carries the forwarding state from a control instance to a process that has an older one, in replies of bounded size.
//
//     source.fillReply(poll, reply); // at the control instance
//     ...
//     if (download.add(sender, reply.part) && download.isComplete())
//         std::optional<ForwardingState> state = download.take(); // at the process
//
// A reply has the next differences that lead from the process's state to the newest one when all of them together are
// smaller than the whole state, else the whole state. A state above maxReplyStateBytes travels compressed in parts: the
// process asks for each part, so a lost datagram costs one part, and at most one part for each process is on its way.
#pragma once

#include "cluster/messages.h"
#include "cluster/state_delta.h"
#include "core/clock.h"

#include <deque>
#include <optional>
#include <string>

namespace cicadaward::cluster {

constexpr size_t maxReplyStateBytes = 64 << 10; // of differences or a whole state in one reply, before compression
constexpr size_t statePartBytes = 16 << 10; // of a compressed state
constexpr size_t maxStateBytes = 32 << 20; // before compression

// Memory: the encoded newest state, differences of at most the same size, and the compressed states that are
// transferred in parts, at most 4 MiB or one state.
class StateSource {
public:
    explicit StateSource(const Clock& clock)
        : m_clock(clock)
    {
    }
    // Call it with each newer state in order.
    void update(const ForwardingState&);
    // Sets deltas, state or part of the reply for a poller with an older state.
    void fillReply(const Poll&, PollReply&);

private:
    struct CompressedState {
        LogIndex index = 0;
        std::string bytes;
        Time made;
    };
    const CompressedState* transferred(LogIndex) const;
    const CompressedState& newestTransferred();

    const Clock& m_clock;
    LogIndex m_index = 0;
    std::string m_encoded;
    DeltaHistory m_history;
    std::deque<CompressedState> m_transferred; // oldest first
    size_t m_transferredBytes = 0;
};

// A state of which a process has received some parts.
class StateDownload {
public:
    explicit StateDownload(const Clock& clock)
        : m_clock(clock)
    {
    }
    // Returns true when the part is the next one, or the first one of a state that replaces an abandoned download.
    bool add(Endpoint source, const StatePart&);
    // False when the source has not sent a part for a while: another instance should be asked.
    bool isActive() const;
    bool isComplete() const { return m_size != 0 && m_bytes.size() == m_size; }
    // Ends the download. Returns nothing when the bytes are not a state.
    std::optional<ForwardingState> take();
    void abandon();

    Endpoint source() const { return m_source; }
    LogIndex index() const { return m_index; } // 0 without a download
    uint64_t receivedBytes() const { return m_bytes.size(); }

private:
    const Clock& m_clock;
    Endpoint m_source;
    LogIndex m_index = 0;
    uint64_t m_size = 0; // of the compressed state
    std::string m_bytes;
    Time m_lastPart;
};

} // namespace cicadaward::cluster
