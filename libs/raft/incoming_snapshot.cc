#include "raft/incoming_snapshot.h"

#include <utility>

namespace cicadaward::raft::detail {

IncomingSnapshot::IncomingSnapshot(const SnapshotChunk& first, size_t maxBytesAhead)
    : m_snapshot { first.index, first.term, first.configuration, {} }
    , m_totalBytes(first.totalBytes)
    , m_maxBytesAhead(maxBytesAhead)
{
}

bool IncomingSnapshot::includes(const SnapshotChunk& chunk) const
{
    return chunk.index == m_snapshot.index && chunk.term == m_snapshot.term && chunk.totalBytes == m_totalBytes;
}

void IncomingSnapshot::add(SnapshotChunk& chunk)
{
    if (chunk.offset > receivedBytes()) {
        size_t size = chunk.data.size();
        if (m_bytesAhead + size <= m_maxBytesAhead && m_ahead.emplace(chunk.offset, std::move(chunk.data)).second)
            m_bytesAhead += size;
        return;
    }
    append(chunk.offset, chunk.data);
    while (!m_ahead.empty() && m_ahead.begin()->first <= receivedBytes()) {
        append(m_ahead.begin()->first, m_ahead.begin()->second);
        m_bytesAhead -= m_ahead.begin()->second.size();
        m_ahead.erase(m_ahead.begin());
    }
}

// Chunks of different senders may overlap.
void IncomingSnapshot::append(uint64_t offset, const std::string& data)
{
    if (offset + data.size() > receivedBytes())
        m_snapshot.data += data.substr(receivedBytes() - offset);
}

} // namespace cicadaward::raft::detail
