// Raft consensus as a pure machine, written from the published description: pre-vote, check-quorum, log matching,
// snapshots, learners, one membership change at a time and leadership transfer. It does no I/O and reads no clock but
// the given one. It must be used by one thread.
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
// The first instance of a group writes bootstrapBatch() to its empty store before it creates the machine. Every other
// one starts empty and waits until the leader adds it as a learner.
#pragma once

#include "core/clock.h"
#include "core/random.h"
#include "raft/events.h"
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
    Duration electionTimeout = std::chrono::seconds(1); // elections start after one to two of these
    Duration heartbeatInterval = std::chrono::milliseconds(100);
    size_t maxEntryBytes = 1 << 20; // largest proposal; not above the store's limit
    size_t maxMessageBytes = 1 << 20; // entry or snapshot data in a message
    size_t maxMessageEntries = 1024;
    size_t maxInflightMessages = 16; // unanswered append requests to one follower
    size_t maxUncommittedBytes = 8 << 20; // beyond these proposals are answered with Full
    size_t maxUncommittedEntries = 4096;
    size_t maxLogBytes = 64 << 20; // same, for a log that is not shortened by SnapshotTaken
    size_t maxSnapshotBytes = 64 << 20;
    size_t retainedEntries = 256; // kept in memory behind a snapshot, for followers that lag a little
    size_t maxDeferredMessages = 1024; // messages that wait for Persisted; more are dropped
    size_t maxMembers = 15; // voters and learners
    // True: canRead() alone permits a read, so an instance that starts must not vote for an election timeout, since it
    // may have been in contact with a leader just before. False: the caller waits for quorumAckTime() to pass the
    // moment at which a read arrived, and a group that starts elects a leader at once.
    bool leaseReads = true;
    bool promoteLearners = true; // the leader makes a learner a voter as soon as it has caught up
};

enum class RaftRole : uint8_t { Follower, PreCandidate, Candidate, Leader };

struct InstanceStatus {
    InstanceId id;
    bool isVoter = false;
    bool isActive = false; // the leader heard it within the election timeout
    bool isCaughtUp = false; // it has durably stored everything that was committed at the last heartbeat
    LogIndex matchIndex = 0;
};

struct RaftStatus {
    InstanceId self;
    RaftRole role = RaftRole::Follower;
    Term term;
    InstanceId leader; // zero while unknown
    bool isVoter = false; // this instance, by its newest configuration
    bool canRead = false;
    LogIndex commitIndex = 0;
    LogIndex lastIndex = 0;
    LogIndex snapshotIndex = 0;
    size_t logBytes = 0; // data of the entries in memory
    bool hasPendingChange = false; // a membership change is not committed yet
    // Leader only: no change pending, no learner left, all voters active and synced. A repair is done when this is
    // true.
    bool repaired = false;
    std::vector<InstanceStatus> instances; // leader only
    uint64_t messagesRefused = 0; // not for this instance, or malformed
    uint64_t messagesDropped = 0; // beyond maxDeferredMessages
};

// What the first instance of a group stores before its first start.
StoreBatch bootstrapBatch(std::vector<InstanceId> voters);

class Raft {
public:
    // `contents` is what the store held; the snapshot in it, if any, comes out of the first handle() as
    // InstallSnapshot.
    Raft(RaftOptions options, const Clock& clock, Random& random, StoreContents contents);

    std::vector<RaftAction> handle(RaftEvent event);

    // True while no other instance can be leader: a quorum has answered a message that this leader sent within the
    // election timeout (less a tenth for clock drift), and everything committed before its term has been applied.
    // The answer holds for now(); ask again for every use.
    bool canRead() const;

    // Leader only: send time of the oldest of the newest messages that a quorum has answered.
    Time quorumAckTime() const;

    InstanceId self() const { return m_self; }
    bool isLeader() const { return m_role == RaftRole::Leader; }
    InstanceId leader() const { return m_leader; } // zero while unknown
    Term term() const { return m_hardState.term; }
    const Configuration& configuration() const { return m_log.configuration(); }
    RaftStatus status() const;
    // For checks of the log's invariants.
    const detail::RaftLog& log() const { return m_log; }

private:
    enum class SendMode : uint8_t { Probe, Replicate, Snapshot };
    struct Peer {
        SendMode mode = SendMode::Probe;
        LogIndex matchIndex = 0;
        LogIndex nextIndex = 1;
        bool isProbeInFlight = false; // probe: one request is unanswered
        std::deque<LogIndex> inflight; // replicate: last index of each unanswered request
        std::shared_ptr<const LogSnapshot> snapshot; // snapshot: what is being sent
        uint64_t snapshotOffset = 0;
        std::optional<Time> lastAckedSendTime; // send time of the newest message that was answered
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
    void sendChunk(InstanceId id, Peer& peer);
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

    // Durable state as it will be once all batches are written.
    HardState m_hardState;
    detail::RaftLog m_log;
    std::shared_ptr<const LogSnapshot> m_snapshot;

    RaftRole m_role = RaftRole::Follower;
    InstanceId m_leader;
    LogIndex m_commitIndex = 0;
    LogIndex m_lastApplied = 0;
    Time m_electionDeadline;
    bool m_hasSeenLeader = false; // since the start of this process
    Time m_lastLeaderContact; // no vote for another instance within the election timeout after this
    std::set<InstanceId> m_votesGranted;
    uint64_t m_voteBatchNumber = 0; // batch with the own vote
    std::optional<LogSnapshot> m_incomingSnapshot; // snapshot that is being received

    // Leader
    std::map<InstanceId, Peer> m_peers;
    Time m_leaderSince;
    Time m_lastHeartbeat;
    LogIndex m_heartbeatCommitIndex = 0; // commit at the last heartbeat
    LogIndex m_termStartIndex = 0; // the empty entry that started this leadership
    bool m_commitAdvanced = false;
    std::optional<Transfer> m_transfer;
    std::optional<Time> m_stopDeadline;
    bool m_stopReported = false;

    // Persistence: batches are numbered by ticket; m_pendingBatches holds the last index of each one that has entries.
    uint64_t m_lastBatchNumber = 0;
    uint64_t m_persistedBatchNumber = 0;
    LogIndex m_persistedIndex = 0;
    std::deque<std::pair<uint64_t, LogIndex>> m_pendingBatches;
    std::deque<DeferredMessage> m_deferredMessages;

    // Collected during one handle().
    std::vector<RaftAction> m_actions;
    std::vector<std::pair<RaftMessage, bool>> m_outbox; // with "after persist"
    bool m_stateChanged = false;
    bool m_snapshotChanged = false;
    std::optional<LogIndex> m_firstChangedIndex; // first entry that is new or replaced

    uint64_t m_messagesRefused = 0;
    uint64_t m_messagesDropped = 0;
};

} // namespace cicadaward::raft
