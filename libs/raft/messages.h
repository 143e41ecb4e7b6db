// Messages between the consensus machines of two instances. Any of them may be lost, duplicated or reordered. Their
// MessagePack form is in raft/codec.h.
#pragma once

#include "store/records.h"

#include <string>
#include <variant>
#include <vector>

namespace cicadaward::raft {

// With `preVote`, the term of the message is the one that the sender would start; nobody changes state for it.
struct VoteRequest {
    bool preVote = false;
    bool leadershipTransfer
        = false; // the old leader asked for this election, so contact with it is no reason to refuse
    LogIndex lastLogIndex = 0;
    Term lastLogTerm;
};

struct VoteReply {
    bool preVote = false;
    bool granted = false;
};

// Also the heartbeat, then without entries. `sentAt` is the leader's clock in nanoseconds; replies return it.
struct AppendRequest {
    LogIndex prevLogIndex = 0;
    Term prevLogTerm;
    LogIndex commitIndex = 0;
    uint64_t sentAt = 0;
    std::vector<LogEntry> entries;
};

struct AppendReply {
    bool accepted = false;
    LogIndex index = 0; // accepted: last index known to match; refused: where the leader should look for a match
    Term indexTerm; // refused: term of the receiver's entry at `index`
    LogIndex prevLogIndex = 0; // of the request
    uint64_t sentAt = 0;
};

// Part of a snapshot's data, from byte `offset` of `total`. The last part is answered with an AppendReply.
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
    uint64_t receivedBytes = 0; // bytes in sequence
    uint64_t sentAt = 0;
};

// Asks the receiver, whose log ends at `lastIndex`, to start an election at once.
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
