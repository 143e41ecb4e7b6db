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
    m_preVotesRefused = 0;
    m_incomingSnapshot.reset();
    if (preVote) {
        m_votesGranted.insert(m_self);
    } else {
        // The vote for itself counts once it is durable.
        setTerm(Term(m_hardState.term.value() + 1), m_self);
        m_voteBatchNumber = m_lastBatchNumber + 1;
    }
    requestVotes(preVote, leadershipTransfer);
    countVotes();
}

// Requests the vote of each voter that has not granted it.
void Raft::requestVotes(bool preVote, bool leadershipTransfer)
{
    Term term(m_hardState.term.value() + (preVote ? 1 : 0));
    VoteRequest request { preVote, leadershipTransfer, m_log.lastIndex(), m_log.lastTerm() };
    if (preVote)
        m_lastPreVote = m_clock.now();
    for (InstanceId id : configuration().voters) {
        if (id != m_self && m_votesGranted.count(id) == 0)
            sendInTerm(id, term, request, true);
    }
}

// Bounded in time, since a group that has lost its quorum for good would send pre-votes without end.
bool Raft::isInFirstElection() const
{
    constexpr int maxTimeouts = 10;
    return m_options.preVoteInterval > Duration::zero() && !m_hasSeenLeader
        && m_clock.now() - m_started < maxTimeouts * m_options.electionTimeout;
}

// After a common start, the instances that start first wait for the others. Their requests are lost until these run.
void Raft::repeatPreVote()
{
    bool isDue = m_role == RaftRole::PreCandidate && m_clock.now() - m_lastPreVote >= m_options.preVoteInterval;
    if (isInFirstElection() && isDue)
        requestVotes(true, false);
}

// A pre-candidate that has not yielded refuses the others, whose vote it needs itself. Only a few times, since it may
// not reach a quorum while another does.
bool Raft::isOwnPreVoteFirst()
{
    constexpr unsigned maxRefusals = 4;
    return isInFirstElection() && m_role == RaftRole::PreCandidate && ++m_preVotesRefused <= maxRefusals;
}

// Of several pre-candidates in the first election, the one with the newest log and then the lowest ID continues. When
// just a quorum runs, two candidates of one term would split its votes and both fail. The others ask again after their
// timeouts, in case it does not succeed.
void Raft::yieldTo(InstanceId other, const VoteRequest& request)
{
    auto rankOf = [](Term lastTerm, LogIndex lastIndex) { return std::make_pair(lastTerm, lastIndex); };
    auto ownRank = rankOf(m_log.lastTerm(), m_log.lastIndex());
    auto otherRank = rankOf(request.lastLogTerm, request.lastLogIndex);
    bool isOtherFirst = ownRank < otherRank || (ownRank == otherRank && other < m_self);
    if (m_role == RaftRole::PreCandidate && isOtherFirst) {
        m_role = RaftRole::Follower;
        restartElectionTimer();
    } else if (m_role == RaftRole::Follower && otherRank < ownRank && canCampaign() && !m_stopDeadline) {
        // The other needs this instance's vote and cannot get it, so this one asks without waiting for its timeout.
        restartElectionTimer();
        campaign(true, false);
    }
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
        if (isInFirstElection() && !isLeaseActive)
            yieldTo(from, request);
        bool granted = term > m_hardState.term && isUpToDate && !isLeaseActive && !isOwnPreVoteFirst();
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
