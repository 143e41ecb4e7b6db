// Event handling, persistence and status of class Raft.
// Each event changes terms, votes and entries in memory and returns the changes as one numbered batch. Messages that
// another instance may rely on (vote requests and all replies) are deferred until the batch is durable. A leader's
// AppendRequests are not deferred: its term is durable before it leads, and its own copy of an entry counts towards the
// quorum only after Persisted.
#include "raft/raft.h"

#include "raft/codec.h"

#include <algorithm>

namespace cicadaward::raft {

StoreBatch bootstrapBatch(std::vector<InstanceId> voters)
{
    std::sort(voters.begin(), voters.end());
    StoreBatch batch;
    batch.state = HardState { Term(1), InstanceId() };
    batch.entries.push_back(
        { 1, Term(1), EntryKind::Configuration, encodeMessage(Configuration { std::move(voters), {} }) });
    return batch;
}

Raft::Raft(RaftOptions options, const Clock& clock, Random& random, StoreContents contents)
    : m_options(options)
    , m_clock(clock)
    , m_random(random)
    , m_self(contents.instance)
    , m_hardState(contents.state)
    , m_started(clock.now())
    // The last leader contact before a restart is unknown, so assume that a lease was renewed just now.
    , m_lastLeaderContact(options.leaseReads ? clock.now() : clock.now() - options.electionTimeout)
{
    const LogSnapshot& snapshot = contents.snapshot;
    m_log.reset(
        snapshot.index, snapshot.term, detail::parseConfiguration(snapshot.configuration).value_or(Configuration {}));
    for (LogEntry& entry : contents.entries)
        m_log.append(std::move(entry));
    if (m_hardState.term < m_log.lastTerm())
        m_hardState = { m_log.lastTerm(), InstanceId() };
    m_commitIndex = m_lastApplied = snapshot.index;
    m_persistedIndex = m_log.lastIndex();
    if (snapshot.index > 0) {
        m_snapshot = std::make_shared<const LogSnapshot>(std::move(contents.snapshot));
        m_actions.emplace_back(InstallSnapshot { *m_snapshot });
    }
    restartElectionTimer();
    bool asksAtOnce = !options.leaseReads && isInFirstElection();
    if (asksAtOnce) // a pre-vote disturbs no running group
        m_electionDeadline = m_started;
}

std::vector<RaftAction> Raft::handle(RaftEvent event)
{
    std::visit([this](auto& e) { on(e); }, event);
    if (m_commitAdvanced && isLeader()) {
        // Tells followers the new commitIndex at once, so that they need not wait for the next heartbeat to apply.
        for (auto& [id, peer] : m_peers) {
            if (peer.mode == SendMode::Replicate)
                sendAppend(id, peer, true);
        }
    }
    m_commitAdvanced = false;
    checkStop();
    flush();
    return std::exchange(m_actions, {});
}

void Raft::on(const Tick&)
{
    Time now = m_clock.now();
    if (!isLeader()) {
        if (now < m_electionDeadline) {
            repeatPreVote();
            return;
        }
        restartElectionTimer();
        if (canCampaign() && !m_stopDeadline)
            campaign(true, false);
        return;
    }
    if (!hasActiveQuorum()) {
        becomeFollower(m_hardState.term, InstanceId());
        return;
    }
    continueTransfer();
    if (isLeader() && now - m_lastHeartbeat >= m_options.heartbeatInterval) {
        promoteLearner();
        heartbeat();
    }
}

void Raft::on(MessageReceived& event)
{
    RaftMessage& message = event.message;
    if (message.to != m_self || message.from == m_self || message.from == InstanceId()) {
        ++m_messagesRefused;
        return;
    }
    std::visit([&](auto& body) { onMessage(message.from, message.term, body); }, message.body);
}

// Returns why a new entry can't be accepted now, or nullopt if it can.
std::optional<RequestOutcome> Raft::rejectionReason() const
{
    if (!isLeader())
        return RequestOutcome::NotLeader;
    if (!hasActiveQuorum())
        return RequestOutcome::NoQuorum;
    if (m_transfer || m_stopDeadline)
        return RequestOutcome::Transferring;
    return std::nullopt;
}

void Raft::on(Propose& event)
{
    RequestResult result { event.request, RequestOutcome::Accepted, 0, m_hardState.term };
    if (std::optional<RequestOutcome> refusal = rejectionReason())
        result.outcome = *refusal;
    else if (event.data.size() > m_options.maxEntryBytes)
        result.outcome = RequestOutcome::TooLarge;
    else if (m_log.lastIndex() - m_commitIndex >= m_options.maxUncommittedEntries
        || m_log.bytesAfter(m_commitIndex) + event.data.size() > m_options.maxUncommittedBytes
        || m_log.bytes() + event.data.size() > m_options.maxLogBytes)
        result.outcome = RequestOutcome::LogFull;
    if (result.outcome == RequestOutcome::Accepted) {
        result.index = m_log.lastIndex() + 1;
        appendEntry({ result.index, m_hardState.term, EntryKind::Command, std::move(event.data) });
        for (auto& [id, peer] : m_peers)
            replicate(id, peer);
    }
    m_actions.emplace_back(result);
}

void Raft::on(const Persisted& event)
{
    if (event.batchNumber > m_lastBatchNumber || event.batchNumber <= m_persistedBatchNumber)
        return;
    m_persistedBatchNumber = event.batchNumber;
    while (!m_pendingBatches.empty() && m_pendingBatches.front().first <= event.batchNumber) {
        m_persistedIndex = std::max(m_persistedIndex, m_pendingBatches.front().second);
        m_pendingBatches.pop_front();
    }
    while (!m_deferredMessages.empty() && m_deferredMessages.front().batchNumber <= event.batchNumber) {
        m_actions.emplace_back(SendMessage { std::move(m_deferredMessages.front().message) });
        m_deferredMessages.pop_front();
    }
    if (m_role == RaftRole::Candidate && m_voteBatchNumber <= event.batchNumber) {
        m_votesGranted.insert(m_self);
        countVotes();
    }
    if (isLeader())
        advanceCommit();
}

void Raft::on(SnapshotTaken& event)
{
    if (event.index > m_lastApplied || event.index <= (m_snapshot ? m_snapshot->index : 0)
        || event.data.size() > m_options.maxSnapshotBytes)
        return;
    m_snapshot
        = std::make_shared<const LogSnapshot>(LogSnapshot { event.index, m_log.termAt(event.index).value_or(Term()),
            encodeMessage(m_log.configurationAt(event.index)), std::move(event.data) });
    m_snapshotChanged = true;
    LogIndex compacted = compactionIndex(event.index);
    if (compacted > m_log.baseIndex())
        m_log.compact(compacted);
}

void Raft::setTerm(Term term, InstanceId vote)
{
    m_hardState = { term, vote };
    m_stateChanged = true;
}

void Raft::appendEntry(LogEntry entry)
{
    m_firstChangedIndex = std::min(m_firstChangedIndex.value_or(entry.index), entry.index);
    m_log.append(std::move(entry));
}

void Raft::truncate(LogIndex from)
{
    m_log.truncate(from);
    m_persistedIndex = std::min(m_persistedIndex, from - 1);
    for (auto& [batchNumber, last] : m_pendingBatches)
        last = std::min(last, from - 1);
}

void Raft::applyCommitted()
{
    if (m_lastApplied >= m_commitIndex)
        return;
    m_actions.emplace_back(ApplyEntries { m_log.slice(m_lastApplied + 1, m_commitIndex - m_lastApplied, SIZE_MAX) });
    m_lastApplied = m_commitIndex;
}

void Raft::send(InstanceId to, decltype(RaftMessage::body) body, bool afterPersist)
{
    sendInTerm(to, m_hardState.term, std::move(body), afterPersist);
}

void Raft::sendInTerm(InstanceId to, Term term, decltype(RaftMessage::body) body, bool afterPersist)
{
    m_outbox.emplace_back(RaftMessage { m_self, to, term, std::move(body) }, afterPersist);
}

void Raft::flush()
{
    if (m_stateChanged || m_snapshotChanged || m_firstChangedIndex) {
        Persist persist;
        persist.batchNumber = ++m_lastBatchNumber;
        LogIndex from = m_firstChangedIndex.value_or(m_log.lastIndex() + 1);
        if (m_stateChanged || m_snapshotChanged)
            persist.batch.state = m_hardState;
        if (m_snapshotChanged) {
            persist.batch.snapshot = *m_snapshot;
            from = m_snapshot->index + 1;
        }
        if (from <= m_log.lastIndex())
            persist.batch.entries = m_log.slice(from, SIZE_MAX, SIZE_MAX);
        m_pendingBatches.emplace_back(persist.batchNumber, m_log.lastIndex());
        m_actions.emplace_back(std::move(persist));
        m_stateChanged = m_snapshotChanged = false;
        m_firstChangedIndex.reset();
    }
    for (auto& [message, afterPersist] : m_outbox) {
        if (!afterPersist || m_lastBatchNumber == m_persistedBatchNumber)
            m_actions.emplace_back(SendMessage { std::move(message) });
        else if (m_deferredMessages.size() < m_options.maxDeferredMessages)
            m_deferredMessages.push_back({ m_lastBatchNumber, std::move(message) });
        else
            ++m_messagesDropped;
    }
    m_outbox.clear();
}

RaftStatus Raft::status() const
{
    RaftStatus status;
    status.self = m_self;
    status.role = m_role;
    status.term = m_hardState.term;
    status.leader = m_leader;
    status.isVoter = configuration().isVoter(m_self);
    status.canRead = canRead();
    status.commitIndex = m_commitIndex;
    status.lastIndex = m_log.lastIndex();
    status.snapshotIndex = m_snapshot ? m_snapshot->index : 0;
    status.logBytes = m_log.bytes();
    status.hasPendingChange = m_log.configurationIndex() > m_commitIndex;
    status.messagesRefused = m_messagesRefused;
    status.messagesDropped = m_messagesDropped;
    if (!isLeader())
        return status;
    status.repaired = !status.hasPendingChange && configuration().learners.empty();
    for (const std::vector<InstanceId>* ids : { &configuration().voters, &configuration().learners }) {
        for (InstanceId id : *ids) {
            InstanceStatus instance { id, configuration().isVoter(id), true, true, m_persistedIndex };
            if (auto found = m_peers.find(id); found != m_peers.end()) {
                instance.isActive = isActive(found->second);
                instance.matchIndex = found->second.matchIndex;
            }
            instance.isCaughtUp = isCaughtUp(instance.matchIndex);
            status.repaired = status.repaired && instance.isActive && instance.isCaughtUp;
            status.instances.push_back(instance);
        }
    }
    return status;
}

} // namespace cicadaward::raft
