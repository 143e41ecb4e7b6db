// Log replication of class Raft: AppendEntries, commitIndex, snapshots and the leader's lease.
// The leader first probes a follower with one request at a time until it finds the matchIndex, then pipelines up to
// maxInflightMessages requests. A follower that needs compacted entries is sent the snapshot in chunks, with a limit of
// unanswered data. Each heartbeat sends every peer a small message, so that a peer to which large ones don't get
// through keeps its leader.
#include "raft/raft.h"

#include "raft/codec.h"

#include <algorithm>
#include <functional>

namespace cicadaward::raft {

namespace {

    // Ack time of a peer that has answered nothing. Time() itself is too late if the clock started a moment ago.
    constexpr Time never = Time() - std::chrono::hours(24);

} // namespace

uint64_t Raft::currentTimestamp() const { return static_cast<uint64_t>(m_clock.now().time_since_epoch().count()); }

// The leader counts as acknowledged at the current time. The result is the quorumSize()-th newest send time.
Time Raft::quorumAckTime() const
{
    std::vector<Time> times;
    for (InstanceId id : configuration().voters) {
        auto found = m_peers.find(id);
        times.push_back(found == m_peers.end() ? m_clock.now() : found->second.lastAckedSendTime.value_or(never));
    }
    if (times.empty())
        return never;
    std::sort(times.begin(), times.end(), std::greater<>());
    return times[configuration().quorumSize() - 1];
}

bool Raft::hasActiveQuorum() const
{
    return m_clock.now() - std::max(quorumAckTime(), m_leaderSince) < m_options.electionTimeout;
}

bool Raft::canRead() const
{
    // After TimeoutNow the lease is void: voters grant a vote to the transfer's target in spite of leader contact.
    if (!isLeader() || m_commitIndex < m_termStartIndex || (m_transfer && m_transfer->sent))
        return false;
    return m_clock.now() - quorumAckTime() < m_options.electionTimeout - m_options.electionTimeout / 10;
}

void Raft::recordAck(Peer& peer, uint64_t sentAt)
{
    Time sent { Duration(static_cast<Duration::rep>(sentAt)) };
    if (sent >= m_leaderSince && sent <= m_clock.now() && (!peer.lastAckedSendTime || *peer.lastAckedSendTime < sent))
        peer.lastAckedSendTime = sent;
}

bool Raft::isActive(const Peer& peer) const
{
    return peer.lastAckedSendTime && m_clock.now() - *peer.lastAckedSendTime < m_options.electionTimeout;
}

// A new leader's commitIndex may lag until an entry of its own term is committed, so nobody counts as caught up before.
bool Raft::isCaughtUp(LogIndex matchIndex) const
{
    return m_heartbeatCommitIndex >= m_termStartIndex && matchIndex >= m_heartbeatCommitIndex;
}

void Raft::heartbeat()
{
    m_lastHeartbeat = m_clock.now();
    m_heartbeatCommitIndex = m_commitIndex;
    for (auto& [id, peer] : m_peers) {
        peer.isProbeInFlight = false; // the request or its answer may be lost
        if (peer.mode != SendMode::Snapshot) {
            sendAppend(id, peer, true);
            continue;
        }
        sendContact(id, *peer.snapshot);
        if (peer.snapshotSent > peer.snapshotAcked) // the first unanswered chunk or its answer may be lost
            sendChunk(id, *peer.snapshot, peer.snapshotAcked);
        sendChunks(id, peer);
    }
}

// Unlike a heartbeat, this resends neither probes nor snapshot chunks. A peer in Probe mode confirms leadership by its
// reply to the outstanding probe.
void Raft::on(const ConfirmLeadership&)
{
    if (!isLeader())
        return;
    for (auto& [id, peer] : m_peers) {
        if (peer.mode == SendMode::Replicate)
            sendAppend(id, peer, true);
    }
}

// Sends entries until the in-flight limit is reached.
void Raft::replicate(InstanceId id, Peer& peer)
{
    if (peer.mode == SendMode::Probe && !peer.isProbeInFlight)
        sendAppend(id, peer, false);
    while (peer.mode == SendMode::Replicate && peer.nextIndex <= m_log.lastIndex()
        && peer.inflight.size() < m_options.maxInflightMessages)
        sendAppend(id, peer, false);
}

// A heartbeat in Replicate mode has no entries. If an earlier request was lost, the follower rejects the heartbeat, and
// the leader returns to Probe mode.
void Raft::sendAppend(InstanceId id, Peer& peer, bool heartbeat)
{
    std::optional<Term> prevLogTerm = m_log.termAt(peer.nextIndex - 1);
    if (!prevLogTerm) {
        peer.mode = SendMode::Snapshot;
        peer.snapshot = m_snapshot;
        peer.snapshotAcked = peer.snapshotSent = 0;
        peer.newestAckedChunk = 0;
        peer.inflight.clear();
        sendChunks(id, peer);
        return;
    }
    AppendRequest request { peer.nextIndex - 1, *prevLogTerm, m_commitIndex, currentTimestamp(), {} };
    if (peer.mode == SendMode::Probe)
        request.entries = entriesOfProbe(peer);
    else if (!heartbeat)
        request.entries = m_log.slice(peer.nextIndex, m_options.maxMessageEntries, m_options.maxMessageBytes);
    if (peer.mode == SendMode::Probe)
        peer.isProbeInFlight = true;
    else if (!request.entries.empty()) {
        peer.nextIndex = request.entries.back().index + 1;
        peer.inflight.push_back(request.entries.back().index);
    }
    send(id, std::move(request), false);
}

// Probes are the only contact with the peer, so they must not depend on the arrival of large entries.
std::vector<LogEntry> Raft::entriesOfProbe(const Peer& peer) const
{
    std::vector<LogEntry> entries = m_log.slice(peer.nextIndex, m_options.maxMessageEntries, m_options.maxProbeBytes);
    bool isSmall = !entries.empty() && entries.front().data.size() <= m_options.maxProbeBytes;
    return isSmall ? entries : std::vector<LogEntry>();
}

// Keeps contact with a peer that receives the snapshot, whose chunks may take several attempts. The peer rejects it, or
// accepts it when it has the snapshot's last entry.
void Raft::sendContact(InstanceId id, const LogSnapshot& snapshot)
{
    send(id, AppendRequest { snapshot.index, snapshot.term, m_commitIndex, currentTimestamp(), {} }, false);
}

// Sends the next chunks until the limit of unanswered data is reached. A copy so takes one round trip for each
// maxInflightSnapshotBytes, and not one for each chunk.
void Raft::sendChunks(InstanceId id, Peer& peer)
{
    const uint64_t total = peer.snapshot->data.size();
    auto mayGrow = [&](uint64_t sent) {
        uint64_t chunk = std::min<uint64_t>(total - sent, m_options.maxMessageBytes);
        return sent < total && sent + chunk - peer.snapshotAcked <= m_options.maxInflightSnapshotBytes;
    };
    while (peer.snapshotSent == peer.snapshotAcked || mayGrow(peer.snapshotSent)) {
        sendChunk(id, *peer.snapshot, peer.snapshotSent);
        if (peer.snapshotSent == total) // an empty snapshot, or one whose last answer is awaited
            return;
        peer.snapshotSent = std::min<uint64_t>(total, peer.snapshotSent + m_options.maxMessageBytes);
    }
}

void Raft::sendChunk(InstanceId id, const LogSnapshot& snapshot, uint64_t offset)
{
    send(id,
        SnapshotChunk { snapshot.index, snapshot.term, snapshot.configuration, offset, snapshot.data.size(),
            currentTimestamp(), snapshot.data.substr(offset, m_options.maxMessageBytes) },
        false);
}

// The index up to which the log may be compacted after a snapshot. Entries that an active follower has not acknowledged
// are kept within a limit, also those that have been sent: they may be lost. A new leader does not know what a follower
// has before its first answer.
LogIndex Raft::compactionIndex(LogIndex snapshotIndex) const
{
    LogIndex index = m_log.indexBefore(snapshotIndex, m_options.retainedEntries, m_options.retainedBytes);
    LogIndex lowest = m_log.indexBefore(snapshotIndex, SIZE_MAX, m_options.retainedBytesForFollowers);
    for (const auto& [id, peer] : m_peers) {
        LogIndex acknowledged = peer.mode == SendMode::Snapshot ? peer.snapshot->index : peer.matchIndex;
        if (isActive(peer))
            index = std::min(index, std::max(acknowledged, lowest));
    }
    return index;
}

// Handles the term of a message from a leader. Returns false for a leader of an earlier term, which learns the newer
// term from the reply.
bool Raft::acceptLeader(InstanceId from, Term term)
{
    if (term < m_hardState.term) {
        send(from, AppendReply {});
        return false;
    }
    if (term > m_hardState.term || m_leader != from || m_role != RaftRole::Follower)
        becomeFollower(term, from);
    m_lastLeaderContact = m_clock.now();
    m_hasSeenLeader = true;
    restartElectionTimer();
    return true;
}

bool Raft::isWellFormed(Term term, const AppendRequest& request) const
{
    LogIndex index = request.prevLogIndex;
    Term last = request.prevLogTerm;
    for (const LogEntry& entry : request.entries) {
        if (entry.index != ++index || entry.term < last || entry.term > term
            || entry.data.size() > m_options.maxEntryBytes)
            return false;
        if (entry.kind == EntryKind::Configuration && !detail::parseConfiguration(entry.data))
            return false;
        last = entry.term;
    }
    return last <= term;
}

void Raft::onMessage(InstanceId from, Term term, AppendRequest& request)
{
    // There is one leader per term, so a second one means a forged or corrupted message.
    if (!isWellFormed(term, request) || (term == m_hardState.term && isLeader())) {
        ++m_messagesRefused;
        return;
    }
    if (!acceptLeader(from, term))
        return;
    LogIndex end = request.prevLogIndex + request.entries.size();
    LogIndex known = std::max(m_commitIndex, request.prevLogIndex);
    if (request.prevLogIndex >= m_commitIndex && m_log.termAt(request.prevLogIndex) != request.prevLogTerm) {
        rejectAppend(from, request);
        return;
    }
    // Committed entries are identical on all instances, so those in the request are skipped.
    for (LogEntry& entry : request.entries) {
        if (entry.index <= known)
            continue;
        if (std::optional<Term> stored = m_log.termAt(entry.index)) {
            if (*stored == entry.term)
                continue;
            truncate(entry.index);
        }
        appendEntry(std::move(entry));
    }
    LogIndex matchIndex = std::max(m_commitIndex, end);
    m_commitIndex = std::max(m_commitIndex, std::min(request.commitIndex, matchIndex));
    applyCommitted();
    send(from, AppendReply { true, matchIndex, Term(), request.prevLogIndex, request.sentAt });
}

// Rejects with a hint: the highest index whose entry may match, that is, has no later term than prevLogTerm. This saves
// the leader one round trip per conflicting entry.
void Raft::rejectAppend(InstanceId from, const AppendRequest& request)
{
    LogIndex hint = std::min(request.prevLogIndex - 1, m_log.lastIndex());
    while (hint > m_commitIndex && m_log.termAt(hint) > request.prevLogTerm)
        --hint;
    send(from, AppendReply { false, hint, m_log.termAt(hint).value_or(Term()), request.prevLogIndex, request.sentAt });
}

void Raft::onMessage(InstanceId from, Term term, const AppendReply& reply)
{
    if (term > m_hardState.term) {
        becomeFollower(term, InstanceId());
        return;
    }
    auto found = m_peers.find(from);
    if (term < m_hardState.term || !isLeader() || found == m_peers.end())
        return;
    Peer& peer = found->second;
    if (reply.index > m_log.lastIndex()) {
        ++m_messagesRefused;
        return;
    }
    recordAck(peer, reply.sentAt);
    if (reply.accepted) {
        peer.isProbeInFlight = false;
        peer.matchIndex = std::max(peer.matchIndex, reply.index);
        peer.nextIndex = std::max(peer.nextIndex, peer.matchIndex + 1);
        while (!peer.inflight.empty() && peer.inflight.front() <= peer.matchIndex)
            peer.inflight.pop_front();
        if (peer.mode != SendMode::Snapshot || peer.matchIndex >= peer.snapshot->index) {
            if (peer.mode != SendMode::Replicate)
                peer.nextIndex = peer.matchIndex + 1;
            peer.mode = SendMode::Replicate;
            peer.snapshot.reset();
        }
        advanceCommit();
    } else {
        bool stale = reply.prevLogIndex <= peer.matchIndex
            || (peer.mode == SendMode::Probe && reply.prevLogIndex != peer.nextIndex - 1);
        if (stale || peer.mode == SendMode::Snapshot)
            return;
        LogIndex hint = std::min(reply.index, reply.prevLogIndex - 1);
        while (hint > peer.matchIndex && m_log.termAt(hint) > reply.indexTerm)
            --hint;
        peer.nextIndex = std::max(peer.matchIndex, hint) + 1;
        peer.mode = SendMode::Probe;
        peer.isProbeInFlight = false;
        peer.inflight.clear();
    }
    // The commit above may have removed the peer, or this leader, from the configuration.
    if (found = m_peers.find(from); found != m_peers.end())
        replicate(from, found->second);
    continueTransfer();
}

void Raft::advanceCommit()
{
    std::vector<LogIndex> matches;
    for (InstanceId id : configuration().voters) {
        auto found = m_peers.find(id);
        matches.push_back(found == m_peers.end() ? m_persistedIndex : found->second.matchIndex);
    }
    std::sort(matches.begin(), matches.end(), std::greater<>());
    LogIndex quorumMatchIndex = matches.empty() ? 0 : matches[configuration().quorumSize() - 1];
    // An entry of an earlier term may still be overwritten although a quorum stores it (section 5.4.2 of the Raft
    // paper).
    if (quorumMatchIndex <= m_commitIndex || m_log.termAt(quorumMatchIndex) != m_hardState.term)
        return;
    bool changeCommitted = m_log.configurationIndex() > m_commitIndex && m_log.configurationIndex() <= quorumMatchIndex;
    m_commitIndex = quorumMatchIndex;
    m_commitAdvanced = true;
    applyCommitted();
    if (!changeCommitted)
        return;
    heartbeat(); // removed instances learn of their removal from this last message
    if (configuration().isVoter(m_self))
        updatePeers();
    else
        becomeFollower(m_hardState.term, InstanceId());
}

void Raft::onMessage(InstanceId from, Term term, SnapshotChunk& chunk)
{
    if (!detail::parseConfiguration(chunk.configuration) || chunk.totalBytes > m_options.maxSnapshotBytes
        || chunk.term > term || chunk.offset > chunk.totalBytes || chunk.data.size() > chunk.totalBytes - chunk.offset
        || (term == m_hardState.term && isLeader())) {
        ++m_messagesRefused;
        return;
    }
    if (!acceptLeader(from, term))
        return;
    if (chunk.index <= m_commitIndex) {
        send(from, AppendReply { true, m_commitIndex, Term(), 0, chunk.sentAt });
        return;
    }
    if (!m_incomingSnapshot || !m_incomingSnapshot->includes(chunk))
        m_incomingSnapshot.emplace(chunk, m_options.maxInflightSnapshotBytes);
    m_incomingSnapshot->add(chunk);
    if (!m_incomingSnapshot->isComplete()) {
        send(from, SnapshotReply { chunk.index, m_incomingSnapshot->receivedBytes(), chunk.sentAt });
        return;
    }
    LogSnapshot snapshot = m_incomingSnapshot->take();
    m_incomingSnapshot.reset();
    installSnapshot(std::move(snapshot));
    send(from, AppendReply { true, m_commitIndex, Term(), 0, chunk.sentAt });
}

// If the log contains the snapshot's last entry, the entries after it are kept; otherwise the whole log is discarded.
void Raft::installSnapshot(LogSnapshot snapshot)
{
    if (m_log.termAt(snapshot.index) == snapshot.term) {
        m_log.compact(snapshot.index);
    } else {
        truncate(m_log.baseIndex() + 1);
        m_persistedIndex = 0;
        m_log.reset(snapshot.index, snapshot.term,
            detail::parseConfiguration(snapshot.configuration).value_or(Configuration {}));
    }
    m_commitIndex = m_lastApplied = snapshot.index;
    m_snapshot = std::make_shared<const LogSnapshot>(std::move(snapshot));
    m_snapshotChanged = true;
    m_actions.emplace_back(InstallSnapshot { *m_snapshot });
}

void Raft::onMessage(InstanceId from, Term term, const SnapshotReply& reply)
{
    if (term > m_hardState.term) {
        becomeFollower(term, InstanceId());
        return;
    }
    auto found = m_peers.find(from);
    if (term < m_hardState.term || !isLeader() || found == m_peers.end())
        return;
    Peer& peer = found->second;
    recordAck(peer, reply.sentAt);
    if (peer.mode != SendMode::Snapshot || reply.index != peer.snapshot->index
        || reply.receivedBytes > peer.snapshot->data.size())
        return;
    if (reply.receivedBytes > peer.snapshotAcked) {
        peer.snapshotAcked = reply.receivedBytes;
        peer.snapshotSent = std::max(peer.snapshotSent, peer.snapshotAcked);
        sendChunks(from, peer);
    } else if (reply.receivedBytes < peer.snapshotAcked && reply.sentAt > peer.newestAckedChunk) {
        // The receiver has restarted; an answer that was overtaken by others would belong to an earlier chunk. The next
        // heartbeat resumes the copy.
        peer.snapshotAcked = peer.snapshotSent = reply.receivedBytes;
    }
    peer.newestAckedChunk = std::max(peer.newestAckedChunk, reply.sentAt);
}

} // namespace cicadaward::raft
