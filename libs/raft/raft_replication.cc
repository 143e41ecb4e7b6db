// Replication of the consensus machine: appends, commit, snapshots and the leader's lease.
//
// A follower is first probed with one request at a time until a match is found, then gets requests without waiting for
// answers, up to a bound. One that needs entries which are gone gets the snapshot in chunks.
#include "raft/raft.h"

#include "raft/codec.h"

#include <algorithm>
#include <functional>

namespace cicadaward::raft {

namespace {

    // For a peer that has answered nothing; the clock may have started only a moment ago.
    constexpr Time never = Time() - std::chrono::hours(24);

} // namespace

uint64_t Raft::currentTimestamp() const { return static_cast<uint64_t>(m_clock.now().time_since_epoch().count()); }

// Newest time at which a quorum, this leader included, is known to have followed it.
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
    // After TimeoutNow another instance may be elected although it is in contact with this leader.
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

// What a new leader knows to be committed may lag until its first own entry is committed.
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
        if (peer.mode == SendMode::Snapshot)
            sendChunk(id, peer);
        else
            sendAppend(id, peer, true);
    }
}

// Unlike a heartbeat, it repeats nothing that is under way. Peers whose log is not known yet answer the probe that they
// have been sent.
void Raft::on(const ConfirmLeadership&)
{
    if (!isLeader())
        return;
    for (auto& [id, peer] : m_peers) {
        if (peer.mode == SendMode::Replicate)
            sendAppend(id, peer, true);
    }
}

// Sends as much as the bounds allow.
void Raft::replicate(InstanceId id, Peer& peer)
{
    if (peer.mode == SendMode::Probe && !peer.isProbeInFlight)
        sendAppend(id, peer, false);
    while (peer.mode == SendMode::Replicate && peer.nextIndex <= m_log.lastIndex()
        && peer.inflight.size() < m_options.maxInflightMessages)
        sendAppend(id, peer, false);
}

// A heartbeat in replicate mode carries no entries; if an earlier request was lost, it is refused and probing starts.
void Raft::sendAppend(InstanceId id, Peer& peer, bool heartbeat)
{
    std::optional<Term> prevLogTerm = m_log.termAt(peer.nextIndex - 1);
    if (!prevLogTerm) {
        peer.mode = SendMode::Snapshot;
        peer.snapshot = m_snapshot;
        peer.snapshotOffset = 0;
        peer.inflight.clear();
        sendChunk(id, peer);
        return;
    }
    AppendRequest request { peer.nextIndex - 1, *prevLogTerm, m_commitIndex, currentTimestamp(), {} };
    if (peer.mode == SendMode::Probe || !heartbeat)
        request.entries = m_log.slice(peer.nextIndex, m_options.maxMessageEntries, m_options.maxMessageBytes);
    if (peer.mode == SendMode::Probe)
        peer.isProbeInFlight = true;
    else if (!request.entries.empty()) {
        peer.nextIndex = request.entries.back().index + 1;
        peer.inflight.push_back(request.entries.back().index);
    }
    send(id, std::move(request), false);
}

void Raft::sendChunk(InstanceId id, Peer& peer)
{
    const LogSnapshot& snapshot = *peer.snapshot;
    send(id,
        SnapshotChunk { snapshot.index, snapshot.term, snapshot.configuration, peer.snapshotOffset,
            snapshot.data.size(), currentTimestamp(),
            snapshot.data.substr(peer.snapshotOffset, m_options.maxMessageBytes) },
        false);
}

// Returns false for a leader of an earlier term, which learns the newer one from the answer.
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
    // One leader per term: a second one means a forged or damaged message.
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
    // Committed entries are equal everywhere, so those in the request are skipped.
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

// Points the leader at the last entry that could match: none of a later term than the one it asked for.
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
    // The peer is gone if the commit above removed it or this leader.
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
    // An entry of an earlier term could still be replaced even though a quorum stores it.
    if (quorumMatchIndex <= m_commitIndex || m_log.termAt(quorumMatchIndex) != m_hardState.term)
        return;
    bool changeCommitted = m_log.configurationIndex() > m_commitIndex && m_log.configurationIndex() <= quorumMatchIndex;
    m_commitIndex = quorumMatchIndex;
    m_commitAdvanced = true;
    applyCommitted();
    if (!changeCommitted)
        return;
    heartbeat(); // instances that were removed hear of it once
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
    if (!m_incomingSnapshot || m_incomingSnapshot->index != chunk.index || m_incomingSnapshot->term != chunk.term)
        m_incomingSnapshot = LogSnapshot { chunk.index, chunk.term, std::move(chunk.configuration), {} };
    if (chunk.offset == m_incomingSnapshot->data.size())
        m_incomingSnapshot->data += chunk.data;
    if (m_incomingSnapshot->data.size() < chunk.totalBytes) {
        send(from, SnapshotReply { chunk.index, m_incomingSnapshot->data.size(), chunk.sentAt });
        return;
    }
    LogSnapshot snapshot = std::move(*m_incomingSnapshot);
    m_incomingSnapshot.reset();
    installSnapshot(std::move(snapshot));
    send(from, AppendReply { true, m_commitIndex, Term(), 0, chunk.sentAt });
}

// A log that contains the snapshot's last entry keeps what follows it; any other is replaced.
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
    bool advanced = reply.receivedBytes > peer.snapshotOffset;
    peer.snapshotOffset
        = reply.receivedBytes; // less than before when the receiver has restarted; then the next heartbeat goes on
    if (advanced)
        sendChunk(from, peer);
}

} // namespace cicadaward::raft
