// Raft consensus as a deterministic module without I/O, after the Raft paper and dissertation: pre-vote, check-quorum,
// leader leases, snapshots, learners, single-server membership changes and leadership transfer. It reads only the given
// clock. It is not thread-safe.
//
//     Raft raft(RaftOptions(), clock, random, store->takeContents());
//     for (RaftAction& action : raft.handle(Tick {}))
//         std::visit(overloaded {
//             [&](SendMessage& a) { send(a.message.to, encodeMessage(a.message)); },
//             [&](Persist& a) { disk.enqueue(std::move(a)); }, // Store::write(), then handle(Persisted { ticket })
//             [&](ApplyEntries& a) { apply(a.entries); },
//             ...
//         }, action);
//
// The first instance of a group writes bootstrapBatch() to its empty store before it creates its Raft object. Every
// other instance starts with an empty store and waits until the leader adds it as a learner.
#pragma once

#include "core/clock.h"
#include "core/random.h"
#include "raft/events.h"
#include "raft/incoming_snapshot.h"
#include "raft/raft_log.h"

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace cicadaward::raft {

struct RaftOptions {
    Duration electionTimeout = std::chrono::seconds(1); // each timeout is drawn from one to two times this
    // In the first election after its start, an instance repeats its pre-vote at this interval, so that the election
    // does not wait for a timeout after the last needed instance has started. 0: no repetition.
    Duration preVoteInterval = std::chrono::milliseconds(15);
    Duration heartbeatInterval = std::chrono::milliseconds(100);
    size_t maxEntryBytes = 1 << 20; // largest proposal; at most StoreOptions::maxEntryBytes
    size_t maxMessageBytes = 1 << 20; // entry or snapshot data per message
    size_t maxProbeBytes = 1 << 10; // entries in a probe of a follower's log; larger ones follow its answer
    size_t maxMessageEntries = 1024;
    size_t maxInflightMessages = 16; // unanswered AppendRequests per follower
    // Unanswered snapshot data per follower, but at least one chunk of maxMessageBytes. It bounds how long heartbeats
    // and votes wait behind a copy.
    size_t maxInflightSnapshotBytes = 256 << 10;
    size_t maxUncommittedBytes = 8 << 20; // proposals beyond these limits are answered with LogFull
    size_t maxUncommittedEntries = 4096;
    size_t maxLogBytes = 64 << 20; // the same, for all entries in memory, until SnapshotTaken compacts the log
    size_t maxSnapshotBytes = 64 << 20;
    // Entries before a snapshot that stay in memory, so that a slightly lagging follower needs no snapshot: at most
    // this number, with at most these bytes of data.
    size_t retainedEntries = 256;
    size_t retainedBytes = 4 << 20;
    // Data of the entries before a snapshot that a leader keeps for active followers that have not acknowledged them,
    // or that receive an earlier snapshot: without them a follower needs another snapshot.
    size_t retainedBytesForFollowers = 16 << 20;
    size_t maxDeferredMessages = 1024; // messages that wait for Persisted; further ones are dropped
    size_t maxMembers = 15; // voters and learners in a configuration
    // True: canRead() alone permits a read. A restarted instance then grants no vote for one election timeout, because
    // it may have acknowledged a leader just before the restart. False: before it answers a read, the caller waits
    // until quorumAckTime() has passed the arrival of the read. Restarted instances then vote at once, so a group that
    // starts elects a leader sooner.
    bool leaseReads = true;
    bool promoteLearners = true; // the leader promotes a learner to voter as soon as it is caught up
};

enum class RaftRole : uint8_t { Follower, PreCandidate, Candidate, Leader };

struct InstanceStatus {
    InstanceId id;
    bool isVoter = false;
    bool isActive = false; // the leader received a reply to a message sent within the election timeout
    bool isCaughtUp = false; // has durably stored all entries that were committed at the last heartbeat
    LogIndex matchIndex = 0;
};

struct RaftStatus {
    InstanceId self;
    RaftRole role = RaftRole::Follower;
    Term term;
    InstanceId leader; // zero if unknown
    bool isVoter = false; // this instance, in the newest configuration of its log
    bool canRead = false;
    LogIndex commitIndex = 0;
    LogIndex lastIndex = 0;
    LogIndex snapshotIndex = 0;
    size_t logBytes = 0; // size of the data of the entries in memory
    bool hasPendingChange = false; // a membership change is not committed yet
    // Leader only: no membership change pending, no learners, all voters active and caught up. Becomes true when the
    // replacement of a lost instance is complete.
    bool repaired = false;
    std::vector<InstanceStatus> instances; // leader only
    uint64_t messagesRefused = 0; // malformed, or addressed to another instance
    uint64_t messagesDropped = 0; // because of maxDeferredMessages
};

// The initial state that the first instance of a group stores before its first start: the configuration entry.
StoreBatch bootstrapBatch(std::vector<InstanceId> voters);

class Raft {
public:
    // `contents` is the state recovered from the store. If it has a snapshot, the first handle() returns it as
    // InstallSnapshot.
    Raft(RaftOptions options, const Clock& clock, Random& random, StoreContents contents);

    std::vector<RaftAction> handle(RaftEvent event);

    // True if this leader holds a lease, so that no other instance can be leader: a quorum has answered a message that
    // this leader sent within the election timeout (less a tenth for clock drift), and all entries committed before its
    // term have been applied. Valid only at the current time, so call it for every read.
    bool canRead() const;

    // Leader only: the latest time t such that a quorum, this leader included, has answered a message sent at or after
    // t. No other leader had been elected by then.
    Time quorumAckTime() const;

    InstanceId self() const { return m_self; }
    bool isLeader() const { return m_role == RaftRole::Leader; }
    InstanceId leader() const { return m_leader; } // zero if unknown
    Term term() const { return m_hardState.term; }
    const Configuration& configuration() const { return m_log.configuration(); }
    RaftStatus status() const;
    // For tests that check the invariants of the log.
    const detail::RaftLog& log() const { return m_log; }

private:
    enum class SendMode : uint8_t { Probe, Replicate, Snapshot };
    struct Peer {
        SendMode mode = SendMode::Probe;
        LogIndex matchIndex = 0;
        LogIndex nextIndex = 1;
        bool isProbeInFlight = false; // Probe: one request is unanswered
        std::deque<LogIndex> inflight; // Replicate: last index of each unanswered request
        std::shared_ptr<const LogSnapshot> snapshot; // Snapshot: the one that is being sent
        uint64_t snapshotAcked = 0; // the peer has the data before this offset
        uint64_t snapshotSent = 0; // the data before this offset has been sent; at least snapshotAcked
        uint64_t newestAckedChunk = 0; // SnapshotChunk::sentAt of the newest chunk that the peer has answered
        std::optional<Time> lastAckedSendTime; // send time of the newest message that the peer has answered
    };
    struct Transfer {
        InstanceId target;
        Time deadline;
        bool sent = false;
    };
    struct DeferredMessage {
        uint64_t batchNumber;
        RaftMessage message;
    };

    // Events (raft.cc)
    void on(const Tick& event);
    void on(MessageReceived& event);
    void on(Propose& event);
    void on(const Persisted& event);
    void on(const ChangeMembership& event);
    void on(const TransferLeadership& event);
    void on(SnapshotTaken& event);
    void on(const Stop& event);
    void on(const ConfirmLeadership&);
    void flush();
    void send(InstanceId to, decltype(RaftMessage::body) body, bool afterPersist = true);
    void sendInTerm(InstanceId to, Term term, decltype(RaftMessage::body) body, bool afterPersist);
    void setTerm(Term term, InstanceId vote);
    void appendEntry(LogEntry entry);
    void truncate(LogIndex from);
    void applyCommitted();
    std::optional<RequestOutcome> rejectionReason() const;

    // Elections (raft_election.cc)
    void onMessage(InstanceId from, Term term, const VoteRequest& request);
    void onMessage(InstanceId from, Term term, const VoteReply& reply);
    void onMessage(InstanceId from, Term term, const TimeoutNow& request);
    void restartElectionTimer();
    bool isInFirstElection() const;
    void requestVotes(bool preVote, bool leadershipTransfer);
    void repeatPreVote();
    bool isOwnPreVoteFirst();
    void yieldTo(InstanceId other, const VoteRequest&);
    bool canCampaign() const;
    void campaign(bool preVote, bool leadershipTransfer);
    void countVotes();
    void becomeLeader();
    void becomeFollower(Term term, InstanceId leader);

    // Replication (raft_replication.cc)
    void onMessage(InstanceId from, Term term, AppendRequest& request);
    void onMessage(InstanceId from, Term term, const AppendReply& reply);
    void onMessage(InstanceId from, Term term, SnapshotChunk& chunk);
    void onMessage(InstanceId from, Term term, const SnapshotReply& reply);
    bool isWellFormed(Term term, const AppendRequest& request) const;
    bool acceptLeader(InstanceId from, Term term);
    void rejectAppend(InstanceId from, const AppendRequest& request);
    void installSnapshot(LogSnapshot snapshot);
    void recordAck(Peer& peer, uint64_t sentAt);
    void replicate(InstanceId id, Peer& peer);
    void sendAppend(InstanceId id, Peer& peer, bool heartbeat);
    std::vector<LogEntry> entriesOfProbe(const Peer&) const;
    void sendContact(InstanceId id, const LogSnapshot&);
    void sendChunks(InstanceId id, Peer& peer);
    void sendChunk(InstanceId id, const LogSnapshot&, uint64_t offset);
    LogIndex compactionIndex(LogIndex snapshotIndex) const;
    void heartbeat();
    void advanceCommit();
    bool hasActiveQuorum() const;
    uint64_t currentTimestamp() const;

    // Membership, transfer and stop (raft_membership.cc)
    RequestOutcome checkChange(const ChangeMembership& event, const Configuration& next) const;
    void changeConfiguration(const Configuration& next);
    void addPeers(const Configuration& members);
    void updatePeers();
    bool isActive(const Peer& peer) const;
    bool isCaughtUp(LogIndex matchIndex) const;
    bool wouldHaveActiveQuorum(const Configuration& next) const;
    void promoteLearner();
    RequestOutcome startTransfer(InstanceId target);
    void continueTransfer();
    void checkStop();

    const RaftOptions m_options;
    const Clock& m_clock;
    Random& m_random;
    const InstanceId m_self;

    // The persistent state as it will be when all returned batches are durable.
    HardState m_hardState;
    detail::RaftLog m_log;
    std::shared_ptr<const LogSnapshot> m_snapshot;

    RaftRole m_role = RaftRole::Follower;
    InstanceId m_leader;
    LogIndex m_commitIndex = 0;
    LogIndex m_lastApplied = 0;
    Time m_electionDeadline;
    bool m_hasSeenLeader = false; // since the start of this process
    unsigned m_preVotesRefused = 0; // in the first election, since the last campaign()
    Time m_lastPreVote; // when the last pre-votes were requested
    const Time m_started; // start of this process
    Time m_lastLeaderContact; // no vote for another candidate until an election timeout after this
    std::set<InstanceId> m_votesGranted;
    uint64_t m_voteBatchNumber = 0; // batch that holds this candidate's vote for itself
    std::optional<detail::IncomingSnapshot> m_incomingSnapshot; // snapshot that is being received

    // Leader
    std::map<InstanceId, Peer> m_peers;
    Time m_leaderSince;
    Time m_lastHeartbeat;
    LogIndex m_heartbeatCommitIndex = 0; // commit at the last heartbeat
    LogIndex m_termStartIndex = 0; // index of the empty entry at the start of this leader's term
    bool m_commitAdvanced = false;
    std::optional<Transfer> m_transfer;
    std::optional<Time> m_stopDeadline;
    bool m_stopReported = false;

    // Persistence: m_pendingBatches holds, for each batch that is not durable yet, its number and the last index of the
    // log at that time.
    uint64_t m_lastBatchNumber = 0;
    uint64_t m_persistedBatchNumber = 0;
    LogIndex m_persistedIndex = 0;
    std::deque<std::pair<uint64_t, LogIndex>> m_pendingBatches;
    std::deque<DeferredMessage> m_deferredMessages;

    // Collected during one call of handle().
    std::vector<RaftAction> m_actions;
    std::vector<std::pair<RaftMessage, bool>> m_outbox; // flag: defer until all batches are durable
    bool m_stateChanged = false;
    bool m_snapshotChanged = false;
    std::optional<LogIndex> m_firstChangedIndex; // first entry that is new or replaced

    uint64_t m_messagesRefused = 0;
    uint64_t m_messagesDropped = 0;
};

} // namespace cicadaward::raft
