// Input (events) and output (actions) of the consensus module, class Raft in raft/raft.h.
#pragma once

#include "raft/configuration.h"
#include "raft/messages.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace cicadaward::raft {

// Drives the timers. Must be sent at least once per quarter of the heartbeat interval.
struct Tick { };

struct MessageReceived {
    RaftMessage message;
};

// Appends a command to the log. The same call of handle() returns a RequestResult with the same `request` number.
struct Propose {
    uint64_t request = 0;
    std::string data;
};

// All batches up to and including this number are durable.
struct Persisted {
    uint64_t batchNumber = 0;
};

struct ChangeMembership {
    uint64_t request = 0;
    MembershipChange change = MembershipChange::AddLearner;
    InstanceId instance;
};

// If `target` is zero, the leader chooses the active voter with the highest matchIndex.
struct TransferLeadership {
    uint64_t request = 0;
    InstanceId target;
};

// `data` is the caller's state after it applied the entry `index`. Entries up to `index` may be discarded from the log.
struct SnapshotTaken {
    LogIndex index = 0;
    std::string data;
};

// Planned stop: a leader transfers leadership first, then StopReady is returned. Messages are still answered meanwhile.
struct Stop { };

// Confirms leadership without waiting for the next heartbeat, for a linearizable read (ReadIndex in the dissertation):
// the leader contacts its followers at once, and quorumAckTime() advances with their replies.
struct ConfirmLeadership { };

using RaftEvent = std::variant<Tick, MessageReceived, Propose, Persisted, ChangeMembership, TransferLeadership,
    SnapshotTaken, Stop, ConfirmLeadership>;

// Send the message now. It may be lost.
struct SendMessage {
    RaftMessage message;
};

// Write the batches durably in the order of their numbers, then report each with Persisted. Messages that depend on a
// batch are deferred until then.
struct Persist {
    uint64_t batchNumber = 0;
    StoreBatch batch;
};

// Committed entries in log order, each exactly once in the life of a Raft object. Only entries of EntryKind::Command
// hold data of the caller.
struct ApplyEntries {
    std::vector<LogEntry> entries;
};

// Replace the caller's state by the snapshot. The next entry to be applied has the index after the snapshot's.
struct InstallSnapshot {
    LogSnapshot snapshot;
};

struct BecameLeader {
    Term term;
};

struct BecameFollower {
    Term term;
    InstanceId leader; // zero if unknown
};

// With any outcome but Accepted, the request had no effect.
enum class RequestOutcome : uint8_t {
    Accepted, // appended to the leader's log; committed once ApplyEntries returns an entry of this index and term
    NotLeader,
    NoQuorum, // no quorum has answered within the election timeout, or too few active voters would remain
    Transferring, // a leadership transfer or a planned stop is in progress
    LogFull, // too much is uncommitted, or the log is full until the next SnapshotTaken; retry later
    TooLarge,
    ChangePending, // another membership change, or the first entry of this term, is not committed yet
    NotCaughtUp, // the learner lacks committed entries or is not active
    InvalidChange, // unknown instance, wrong current role, no voter left, or more than maxMembers
};

struct RequestResult {
    uint64_t request = 0;
    RequestOutcome outcome = RequestOutcome::Accepted;
    LogIndex index = 0; // Accepted: index of the new entry (0 for a leadership transfer)
    Term term;
};

// Returned once after Stop: the process may exit.
struct StopReady { };

using RaftAction = std::variant<SendMessage, Persist, ApplyEntries, InstallSnapshot, BecameLeader, BecameFollower,
    RequestResult, StopReady>;

} // namespace cicadaward::raft
