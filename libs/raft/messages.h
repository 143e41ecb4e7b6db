// Messages between the consensus modules of two instances: the RPCs of the Raft paper as one-way requests and replies.
// Any message may be lost, duplicated or reordered. raft/codec.h holds their MessagePack encoding.
#pragma once

#include "store/records.h"

#include <string>
#include <variant>
#include <vector>

namespace cicadaward::raft {

// RequestVote. In a pre-vote, the term of the message is the term that the sender would start; a receiver does not
// adopt it and records no vote.
struct VoteRequest {
    bool preVote = false;
    bool leadershipTransfer
        = false; // started by TimeoutNow, so the vote is not refused because of recent leader contact
    LogIndex lastLogIndex = 0;
    Term lastLogTerm;
};

struct VoteReply {
    bool preVote = false;
    bool granted = false;
};

// AppendEntries; without entries it is a heartbeat. `sentAt` is the leader's clock in nanoseconds. Replies return it
// unchanged, so the leader knows which of its messages was answered.
struct AppendRequest {
    LogIndex prevLogIndex = 0;
    Term prevLogTerm;
    LogIndex commitIndex = 0;
    uint64_t sentAt = 0;
    std::vector<LogEntry> entries;
};

struct AppendReply {
    bool accepted = false;
    LogIndex index = 0; // accepted: last index known to match; rejected: highest index that may match
    Term indexTerm; // rejected: term of the receiver's entry at `index`
    LogIndex prevLogIndex = 0; // copied from the request
    uint64_t sentAt = 0;
};

// InstallSnapshot: a chunk of the snapshot's data that starts at byte `offset`. `index` and `term` are those of the
// last entry that the snapshot includes. The reply is a SnapshotReply; to the last chunk, and to a chunk of a snapshot
// whose entries the receiver has committed already, it is an AppendReply.
struct SnapshotChunk {
    LogIndex index = 0;
    Term term;
    std::string configuration;
    uint64_t offset = 0;
    uint64_t totalBytes = 0;
    uint64_t sentAt = 0;
    std::string data;
};

struct SnapshotReply {
    LogIndex index = 0;
    uint64_t receivedBytes = 0; // length of the contiguous prefix of the data
    uint64_t sentAt = 0;
};

// Asks the target of a leadership transfer to start an election at once, if its log ends at `lastLogIndex`.
struct TimeoutNow {
    LogIndex lastLogIndex = 0;
};

struct RaftMessage {
    InstanceId from;
    InstanceId to;
    Term term;
    std::variant<VoteRequest, VoteReply, AppendRequest, AppendReply, SnapshotChunk, SnapshotReply, TimeoutNow> body;
};

} // namespace cicadaward::raft
