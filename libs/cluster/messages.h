// Messages of the control traffic besides those of the consensus machine. Each may be lost, repeated or reordered.
#pragma once

#include "cluster/state.h"
#include "cluster/state_delta.h"
#include "directory/directory.h"
#include "steering/members.h"

#include <chrono>
#include <string>
#include <vector>

namespace cicadaward::cluster {

enum class MessageKind : uint8_t { Consensus, Poll, PollReply, Hello, StateNotice };

struct Envelope {
    MessageKind kind = MessageKind::Consensus;
    std::string body;
};

// Version of one control instance's member table. Numbers of different owners are not comparable.
struct TableVersion {
    uint64_t owner = 0; // drawn at each start
    uint64_t number = 0;
};

// From an entry or agent: what it has, and what it announces.
struct Poll {
    LogIndex stateIndex = 0;
    TableVersion table;
    bool wantsMembers = false;
    std::vector<steering::MemberRecord> records; // an agent's own one
    uint64_t confirmationNumber
        = 0; // not 0: the leader answers only once it has confirmed that it leads, with this number
    steering::MemberDigest digest; // of the members that it has, when it has no version of this instance's table
    std::chrono::milliseconds period { 0 }; // the next poll to the same instance comes within about this time
};

struct PollReply {
    LogIndex stateIndex = 0; // of the sender
    std::string state; // a ForwardingState, when the poller's is older and no deltas lead to the newest one
    TableVersion table;
    std::vector<steering::MemberRecord> members; // changed since the poller's version; at most maxReplyMembers
    std::vector<Endpoint> silent; // agents that have not announced themselves lately
    std::vector<Endpoint> controls; // all control instances that the sender knows
    Endpoint leader; // administration API of the leader; port 0 while unknown
    uint64_t term = 0; // in which it leads
    uint64_t newestIncarnation = 0; // of the poller's own record as the sender knows it
    uint64_t registeredIncarnation = 0; // of the poller's own record in the register, with its targetStart; 0: none
    uint64_t registeredStart = 0;
    uint32_t pollers = 0; // processes that poll the sender
    bool wantsDigest = false; // the poller's table version is of another owner: its next poll should carry a digest
    std::vector<ForwardingDelta> deltas; // from the poller's state to the sender's, in order
    // Number of the poll when this reply, with those before it, holds all registered members and the newest state.
    uint64_t confirmationNumber = 0;
};

// To pollers: the sender has a state of this index. Whoever has an older one polls it.
struct StateNotice {
    LogIndex stateIndex = 0;
};

constexpr size_t maxReplyMembers = 512;

// From a control instance that is not a voter, or whose address the group does not know.
struct Hello {
    InstanceId instance;
    InstanceAddress address;
    bool forwarded = false; // a follower passed it on to the leader; it goes no further
};

} // namespace cicadaward::cluster
