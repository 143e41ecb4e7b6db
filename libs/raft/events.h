// What goes into the consensus machine (events) and what comes out of it (actions).
#pragma once

#include "raft/configuration.h"
#include "raft/messages.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace cicadaward::raft {

// Time has passed. Send one at least every quarter of the heartbeat interval.
struct Tick { };

struct MessageReceived {
    RaftMessage message;
};

// Answered with a RequestResult of the same number in the same call.
struct Propose {
    uint64_t request = 0;
    std::string data;
};

// All batches up to this ticket are durable.
struct Persisted {
    uint64_t batchNumber = 0;
};

struct ChangeMembership {
    uint64_t request = 0;
    MembershipChange change = MembershipChange::AddLearner;
    InstanceId instance;
};

// Without a target, the leader chooses the voter that has most of the log.
struct TransferLeadership {
    uint64_t request = 0;
    InstanceId target;
};

// The caller's state after the entry `index`, which must have been applied. The log before it may go.
struct SnapshotTaken {
    LogIndex index = 0;
    std::string data;
};

// Planned stop: leadership is handed over, then StopReady follows. The machine goes on answering the others.
struct Stop { };

// Asks all voters at once whether this instance still leads, ahead of the next heartbeat: quorumAckTime() rises with
// their answers.
struct ConfirmLeadership { };

using RaftEvent = std::variant<Tick, MessageReceived, Propose, Persisted, ChangeMembership, TransferLeadership,
    SnapshotTaken, Stop, ConfirmLeadership>;

// Send now. Losing it is allowed.
struct SendMessage {
    RaftMessage message;
};

// Write the batch durably, in the order of the tickets, then report Persisted. Messages that depend on it are held
// back until then.
struct Persist {
    uint64_t batchNumber = 0;
    StoreBatch batch;
};

// Committed entries in order, each exactly once for this machine. Only EntryKind::Command carries the caller's data.
struct ApplyEntries {
    std::vector<LogEntry> entries;
};

// Replace the caller's state; the next entry to be applied is the one behind the snapshot.
struct InstallSnapshot {
    LogSnapshot snapshot;
};

struct BecameLeader {
    Term term;
};

struct BecameFollower {
    Term term;
    InstanceId leader; // zero while unknown
};

// Everything but Accepted means that nothing was done.
enum class RequestOutcome : uint8_t {
    Accepted, // in the leader's log; it is committed when ApplyEntries brings this index with this term
    NotLeader,
    NoQuorum, // the leader has not heard a quorum, or the change would leave the group without one
    Transferring, // leadership is being handed over
    LogFull, // too much is uncommitted or the log waits for a snapshot; try again later
    TooLarge,
    ChangePending, // another membership change, or the first entry of this term, is not committed yet
    NotCaughtUp, // the learner lacks committed entries
    InvalidChange, // unknown instance, already there, or too many
};

struct RequestResult {
    uint64_t request = 0;
    RequestOutcome outcome = RequestOutcome::Accepted;
    LogIndex index = 0; // Accepted: of the entry
    Term term;
};

// After Stop: the process may exit.
struct StopReady { };

using RaftAction = std::variant<SendMessage, Persist, ApplyEntries, InstallSnapshot, BecameLeader, BecameFollower,
    RequestResult, StopReady>;

} // namespace cicadaward::raft
