// Leader election of class Raft: pre-vote, votes and role changes.
#include "raft/raft.h"

#include <algorithm>

namespace cicadaward::raft {

void Raft::restartElectionTimer()
{
    // The first timeout after a start may be short: a starting group has no leader to disrupt, and a running group
    // rejects the pre-vote.
    Duration shortest
        = m_options.leaseReads || m_hasSeenLeader ? m_options.electionTimeout : m_options.electionTimeout / 4;
    auto extra = static_cast<Duration::rep>(m_random.below(static_cast<uint64_t>(shortest.count())));
    m_electionDeadline = m_clock.now() + shortest + Duration(extra);
}

// An instance that an uncommitted membership change removes may hold the most up-to-date log, so that the others can't
// elect a leader without it. It may therefore campaign and lead until the change is committed, but it is not counted in
// the quorum.
bool Raft::canCampaign() const
{
    if (configuration().isVoter(m_self))
        return true;
    LogIndex index = m_log.configurationIndex();
    return index > m_commitIndex && m_log.configurationAt(index - 1).isVoter(m_self);
}

// A pre-vote asks whether an election could succeed without incrementing the term, so an instance that was partitioned
// does not depose the leader when it reconnects.
void Raft::campaign(bool preVote, bool leadershipTransfer)
{
    m_role = preVote ? RaftRole::PreCandidate : RaftRole::Candidate;
    m_leader = InstanceId();
    m_votesGranted.clear();
    m_incomingSnapshot.reset();
    Term term(m_hardState.term.value() + 1);
    if (preVote) {
        m_votesGranted.insert(m_self);
    } else {
        // The vote for itself counts once it is durable.
        setTerm(term, m_self);
        m_voteBatchNumber = m_lastBatchNumber + 1;
    }
    for (InstanceId id : configuration().voters) {
        if (id != m_self)
            sendInTerm(
                id, term, VoteRequest { preVote, leadershipTransfer, m_log.lastIndex(), m_log.lastTerm() }, true);
    }
    countVotes();
}

void Raft::countVotes()
{
    const std::vector<InstanceId>& voters = configuration().voters;
    auto votes
        = std::count_if(voters.begin(), voters.end(), [this](InstanceId id) { return m_votesGranted.count(id) > 0; });
    if (static_cast<size_t>(votes) < configuration().quorumSize())
        return;
    if (m_role == RaftRole::PreCandidate)
        campaign(false, false);
    else if (m_role == RaftRole::Candidate)
        becomeLeader();
}

void Raft::onMessage(InstanceId from, Term term, const VoteRequest& request)
{
    bool isUpToDate = request.lastLogTerm > m_log.lastTerm()
        || (request.lastLogTerm == m_log.lastTerm() && request.lastLogIndex >= m_log.lastIndex());
    // A leader may rely on its lease while this instance has recent contact with it, so no vote is granted to another.
    bool isLeaseActive = isLeader() || m_clock.now() - m_lastLeaderContact < m_options.electionTimeout;
    if (request.preVote) {
        bool granted = term > m_hardState.term && isUpToDate && !isLeaseActive;
        sendInTerm(from, granted ? term : m_hardState.term, VoteReply { true, granted }, true);
        return;
    }
    if (term > m_hardState.term) {
        if (isLeaseActive && !request.leadershipTransfer)
            return;
        becomeFollower(term, InstanceId());
    }
    bool granted
        = term == m_hardState.term && isUpToDate && (m_hardState.vote == InstanceId() || m_hardState.vote == from);
    if (granted) {
        if (m_hardState.vote != from)
            setTerm(term, from);
        restartElectionTimer();
    }
    send(from, VoteReply { false, granted });
}

void Raft::onMessage(InstanceId from, Term term, const VoteReply& reply)
{
    Term expected(m_hardState.term.value() + (reply.preVote && reply.granted ? 1 : 0));
    if (term > expected) {
        becomeFollower(term, InstanceId());
        return;
    }
    RaftRole role = reply.preVote ? RaftRole::PreCandidate : RaftRole::Candidate;
    if (term != expected || !reply.granted || m_role != role)
        return;
    m_votesGranted.insert(from);
    countVotes();
}

void Raft::onMessage(InstanceId from, Term term, const TimeoutNow& request)
{
    if (term > m_hardState.term) {
        becomeFollower(term, InstanceId());
        return;
    }
    // Ignores a delayed duplicate: by then the log is longer or the leader is another.
    if (term == m_hardState.term && m_role == RaftRole::Follower && m_leader == from
        && m_log.lastIndex() == request.lastLogIndex && configuration().isVoter(m_self) && !m_stopDeadline) {
        restartElectionTimer();
        campaign(false, true);
    }
}

void Raft::becomeLeader()
{
    m_role = RaftRole::Leader;
    m_leader = m_self;
    m_leaderSince = m_clock.now();
    m_transfer.reset();
    m_heartbeatCommitIndex = m_commitIndex;
    m_peers.clear();
    m_termStartIndex = m_log.lastIndex() + 1;
    // Entries of earlier terms are committed only through an entry of this term.
    appendEntry({ m_termStartIndex, m_hardState.term, EntryKind::Empty, {} });
    updatePeers();
    m_actions.emplace_back(BecameLeader { m_hardState.term });
    heartbeat();
    advanceCommit();
}

void Raft::becomeFollower(Term term, InstanceId leader)
{
    bool changed = term != m_hardState.term || leader != m_leader || m_role == RaftRole::Leader;
    if (changed)
        m_incomingSnapshot.reset();
    if (term > m_hardState.term)
        setTerm(term, InstanceId());
    if (m_role != RaftRole::Follower)
        restartElectionTimer();
    m_role = RaftRole::Follower;
    m_leader = leader;
    m_peers.clear();
    m_transfer.reset();
    if (changed)
        m_actions.emplace_back(BecameFollower { m_hardState.term, leader });
}

} // namespace cicadaward::raft
