// Membership changes, leadership transfer and planned stop of class Raft.
// Single-server changes: one instance is added, promoted or removed at a time, so any quorum of the old configuration
// overlaps any quorum of the new one. A change must wait until an entry of the leader's own term is committed;
// otherwise two leaders could each build on a different uncommitted change.
#include "raft/raft.h"

#include "raft/codec.h"

#include <algorithm>

namespace cicadaward::raft {

namespace {

    void insertSorted(std::vector<InstanceId>& ids, InstanceId id)
    {
        ids.insert(std::lower_bound(ids.begin(), ids.end(), id), id);
    }

    Configuration applyChange(Configuration configuration, MembershipChange change, InstanceId id)
    {
        auto drop
            = [id](std::vector<InstanceId>& ids) { ids.erase(std::remove(ids.begin(), ids.end(), id), ids.end()); };
        drop(configuration.voters);
        drop(configuration.learners);
        if (change == MembershipChange::AddLearner)
            insertSorted(configuration.learners, id);
        if (change == MembershipChange::Promote)
            insertSorted(configuration.voters, id);
        return configuration;
    }

} // namespace

void Raft::on(const ChangeMembership& event)
{
    RequestResult result { event.request, RequestOutcome::Accepted, 0, m_hardState.term };
    Configuration next = applyChange(configuration(), event.change, event.instance);
    result.outcome = checkChange(event, next);
    if (result.outcome == RequestOutcome::Accepted) {
        changeConfiguration(next);
        result.index = m_log.lastIndex();
    }
    m_actions.emplace_back(result);
}

RequestOutcome Raft::checkChange(const ChangeMembership& event, const Configuration& next) const
{
    if (std::optional<RequestOutcome> refusal = rejectionReason())
        return *refusal;
    if (m_log.configurationIndex() > m_commitIndex || m_commitIndex < m_termStartIndex)
        return RequestOutcome::ChangePending;
    bool known = configuration().has(event.instance);
    if (event.instance == InstanceId() || next.voters.empty() || next.size() > m_options.maxMembers
        || known == (event.change == MembershipChange::AddLearner)
        || (event.change == MembershipChange::Promote && !configuration().isLearner(event.instance)))
        return RequestOutcome::InvalidChange;
    if (event.change == MembershipChange::Promote) {
        const Peer& peer = m_peers.at(event.instance);
        if (!isActive(peer) || !isCaughtUp(peer.matchIndex))
            return RequestOutcome::NotCaughtUp;
    }
    return wouldHaveActiveQuorum(next) ? RequestOutcome::Accepted : RequestOutcome::NoQuorum;
}

// A change that the active voters can't commit would block the group permanently.
bool Raft::wouldHaveActiveQuorum(const Configuration& next) const
{
    auto active = std::count_if(next.voters.begin(), next.voters.end(), [this](InstanceId id) {
        auto found = m_peers.find(id);
        return id == m_self || (found != m_peers.end() && isActive(found->second));
    });
    return static_cast<size_t>(active) >= next.quorumSize();
}

void Raft::changeConfiguration(const Configuration& next)
{
    appendEntry({ m_log.lastIndex() + 1, m_hardState.term, EntryKind::Configuration, encodeMessage(next) });
    // An instance that is being removed stays a peer and receives entries until the change is committed.
    addPeers(next);
    for (auto& [id, peer] : m_peers)
        replicate(id, peer);
}

void Raft::addPeers(const Configuration& members)
{
    Peer peer;
    peer.nextIndex = m_log.lastIndex();
    for (const std::vector<InstanceId>* ids : { &members.voters, &members.learners }) {
        for (InstanceId id : *ids) {
            if (id != m_self)
                m_peers.emplace(id, peer);
        }
    }
}

void Raft::updatePeers()
{
    for (auto i = m_peers.begin(); i != m_peers.end();)
        i = configuration().has(i->first) ? std::next(i) : m_peers.erase(i);
    addPeers(configuration());
}

void Raft::promoteLearner()
{
    if (!m_options.promoteLearners)
        return;
    for (InstanceId id : configuration().learners) {
        ChangeMembership event { 0, MembershipChange::Promote, id };
        Configuration next = applyChange(configuration(), event.change, id);
        if (checkChange(event, next) == RequestOutcome::Accepted) {
            changeConfiguration(next);
            return;
        }
    }
}

void Raft::on(const TransferLeadership& event)
{
    RequestOutcome outcome = rejectionReason().value_or(RequestOutcome::Accepted);
    if (outcome == RequestOutcome::Accepted)
        outcome = startTransfer(event.target);
    m_actions.emplace_back(RequestResult { event.request, outcome, 0, m_hardState.term });
}

RequestOutcome Raft::startTransfer(InstanceId target)
{
    if (target == InstanceId()) {
        LogIndex best = 0;
        for (InstanceId id : configuration().voters) {
            auto found = m_peers.find(id);
            if (found != m_peers.end() && isActive(found->second) && found->second.matchIndex >= best) {
                best = found->second.matchIndex;
                target = id;
            }
        }
    }
    if (target == m_self || !configuration().isVoter(target))
        return RequestOutcome::InvalidChange;
    m_transfer = Transfer { target, m_clock.now() + m_options.electionTimeout };
    continueTransfer();
    return RequestOutcome::Accepted;
}

// Sends TimeoutNow once the target has the whole log; proposals are rejected until then. TimeoutNow voids the lease, so
// if the target is not elected before the deadline, this leader steps down instead of resuming.
void Raft::continueTransfer()
{
    if (!isLeader() || !m_transfer)
        return;
    auto found = m_peers.find(m_transfer->target);
    if (found != m_peers.end() && found->second.matchIndex == m_log.lastIndex() && !m_transfer->sent) {
        m_transfer->sent = true;
        send(m_transfer->target, TimeoutNow { m_log.lastIndex() }, false);
    }
    if (m_clock.now() < m_transfer->deadline && found != m_peers.end())
        return;
    if (m_transfer->sent)
        becomeFollower(m_hardState.term, InstanceId());
    else
        m_transfer.reset();
}

void Raft::on(const Stop&)
{
    if (m_stopDeadline)
        return;
    m_stopDeadline = m_clock.now() + 2 * m_options.electionTimeout;
    if (isLeader() && !m_transfer)
        startTransfer(InstanceId());
}

void Raft::checkStop()
{
    if (!m_stopDeadline || m_stopReported)
        return;
    if (isLeader() && !m_transfer && m_clock.now() < *m_stopDeadline)
        startTransfer(InstanceId()); // there was no active voter before, or the transfer timed out
    bool alone = configuration().voters.size() == 1 && m_commitIndex == m_log.lastIndex();
    if (isLeader() && !alone && m_clock.now() < *m_stopDeadline)
        return;
    if (isLeader() && !alone)
        becomeFollower(m_hardState.term, InstanceId());
    m_stopReported = true;
    m_actions.emplace_back(StopReady {});
}

} // namespace cicadaward::raft
