// A snapshot that a follower is receiving in chunks. Chunks may arrive in any order and more than once; those after a
// gap are kept until it is filled.
#pragma once

#include "raft/messages.h"

#include <map>

namespace cicadaward::raft::detail {

// Memory: the data received so far, at most totalBytes of the chunks, and at most `maxBytesAhead` after the first gap.
class IncomingSnapshot {
public:
    IncomingSnapshot(const SnapshotChunk& first, size_t maxBytesAhead);

    // True if the chunk is a part of this snapshot.
    bool includes(const SnapshotChunk&) const;
    // Takes the chunk's data. Drops it if it is known, or if too much is kept after the gap.
    void add(SnapshotChunk&);
    // Length of the data without a gap.
    uint64_t receivedBytes() const { return m_snapshot.data.size(); }
    bool isComplete() const { return receivedBytes() >= m_totalBytes; }
    LogSnapshot take() { return std::move(m_snapshot); }

private:
    void append(uint64_t offset, const std::string& data);

    LogSnapshot m_snapshot;
    uint64_t m_totalBytes;
    size_t m_maxBytesAhead;
    size_t m_bytesAhead = 0;
    std::map<uint64_t, std::string> m_ahead; // by offset; all after receivedBytes()
};

} // namespace cicadaward::raft::detail
