// The messages of the control traffic other than those of Raft. Each may be lost, duplicated or reordered.
#pragma once

#include "cluster/state.h"
#include "cluster/state_delta.h"
#include "directory/directory.h"
#include "steering/flow_report.h"
#include "steering/members.h"

#include <chrono>
#include <string>
#include <vector>

namespace cicadaward::cluster {

// The body of the last four kinds is the type of the same name in steering/flow_report.h.
enum class MessageKind : uint8_t {
    Consensus,
    Poll,
    PollReply,
    Hello,
    StateNotice,
    ControlsRequest,
    Controls,
    FlowReport,
    FlowReportAck,
    FlowsRequest,
    FlowsReply,
};

struct Envelope {
    MessageKind kind = MessageKind::Consensus;
    std::string body;
};

// Version of one control instance's member table. Numbers of different owners are not comparable.
struct TableVersion {
    uint64_t owner = 0; // random, drawn at each start of the instance
    uint64_t number = 0;
};

// Sent by an entry or agent: the versions that it has, and its own announcement.
struct Poll {
    LogIndex stateIndex = 0;
    TableVersion table;
    bool wantsMembers = false;
    std::vector<steering::MemberRecord> records; // an agent's own record; a control instance forwards those of others
    uint64_t confirmationNumber
        = 0; // not 0: the leader answers only once it has confirmed that it leads, with this number
    steering::MemberDigest digest; // of the members that it has, when it has no version of this instance's table
    std::chrono::milliseconds period { 0 }; // the next poll to the same instance comes within about this time
    bool continues = false; // after a reply that has only a part of what leads to the newest state; false in an
    // earlier version
    LogIndex partIndex = 0; // of the state that it receives in parts from this instance; 0: none
    uint64_t partOffset = 0; // of the next part
};

// A part of a compressed ForwardingState.
struct StatePart {
    LogIndex index = 0; // 0: no part
    uint64_t offset = 0;
    uint64_t size = 0; // of the compressed state
    std::string bytes;
};

struct PollReply {
    LogIndex stateIndex = 0; // of the replying instance
    std::string state; // an encoded ForwardingState, when the poller's is older and there are no small deltas from it
    TableVersion table;
    std::vector<steering::MemberRecord> members; // changed since the poller's version; at most maxReplyMembers
    std::vector<Endpoint> silent; // agents that have not announced themselves within their silence timeout
    std::vector<Endpoint> controls; // all control instances that the sender knows
    Endpoint leader; // administration API of the leader; port 0 while unknown
    uint64_t term = 0; // the Raft term of the replying instance
    uint64_t newestIncarnation = 0; // of the poller's own record as the sender knows it
    uint64_t registeredIncarnation
        = 0; // of the poller's own record in the register, with its targetStartSequence; 0: none
    uint64_t registeredStart = 0;
    uint32_t pollers = 0; // processes that poll the sender
    bool wantsDigest = false; // the poller's table version has another owner; its next poll should have a digest
    std::vector<ForwardingDelta> deltas; // the first ones from the poller's state to the sender's, in order
    // Confirmation number of the poll, when this reply together with earlier ones holds all registered members and the
    // newest state; otherwise 0.
    uint64_t confirmationNumber = 0;
    StatePart part; // instead of a state that is too large for one reply
};

// Sent to pollers: the sender has a state of this index. A poller with an older state polls it.
struct StateNotice {
    LogIndex stateIndex = 0;
};

// The control instances that the sender polls. A ControlsRequest, which has no body, asks for it: an entry or agent
// that no control instance answers sends one to another process of these.
struct Controls {
    std::vector<Endpoint> controls;
};

constexpr size_t maxReplyMembers = 512;

// Announces a control instance. Sent by instances that are not voters or whose address the group doesn't know, and by
// voters to seeds outside the group.
struct Hello {
    InstanceId instance;
    InstanceAddress address;
    bool forwarded = false; // a follower or relay forwarded it; it is not forwarded again
};

} // namespace cicadaward::cluster
