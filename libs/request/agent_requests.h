// All request decisions of one agent: the requests of its callers, the records of the buckets it owns or backs up, and
// the work it runs for other agents. Pure: the daemon feeds events and carries out the actions in order.
//
//     AgentRequests agent(clock, random, config);
//     perform(agent.handle(DirectoryChanged { directory, table }));
//     perform(agent.handle(ControlContact { true })); // on each quorum-backed answer
//     perform(agent.handle(SlotsChanged { 5 }));
//     perform(agent.handle(RequestReceived { connection, std::move(request) })); // from HttpReader
//     perform(agent.handle(Tick {})); // every 10 ms
//
// A connection carries one request at a time: after RequestReceived the daemon reads on only to notice that the caller
// has gone, until WriteReply. A target connection carries one attempt at a time; after CancelAttempt it is closed and
// never reused. Target events name the attempt, so late and duplicated ones are recognized, dropped and counted.
//
// Peer messages are datagrams of at most maxPeerMessageBytes bytes that may be lost, duplicated and reordered. The
// daemon authenticates the sender before it passes a message on. Not safe for use by several threads.
#pragma once

#include "core/clock.h"
#include "core/random.h"
#include "directory/bucket_table.h"
#include "directory/directory.h"
#include "request/types.h"

#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace cicadaward::request {

constexpr size_t maxPeerMessageBytes = 8192; // bytes

struct AgentRequestsConfig {
    MemberId self;
    ServiceId service;
    Incarnation process; // of this agent; must equal the one that it announces
    Duration lease = std::chrono::seconds(3); // without control contact for this long, no new work
    Duration recordLifetime = std::chrono::minutes(10);
    Duration clockSkewAllowance = std::chrono::seconds(2); // between the clocks of callers and agents
    Duration retransmitInterval
        = std::chrono::milliseconds(50); // of unanswered peer messages, doubled up to 8 times it
    size_t maxRecords = 1 << 17;
    size_t maxRecordBytes = 64 << 20; // of records and stored answers
    size_t maxRequests = 4096; // open requests of callers; more are refused, not run
    size_t maxQueued = 64; // waiting for a slot; more are refused, not run
    double retriesPerRequest = 0.1; // retries per request, for each caller
};

// Events.
struct RequestReceived {
    ConnectionId connection;
    Request request;
};
struct ConnectionClosed { // by the caller, or broken
    ConnectionId connection;
};
struct TargetAnswered {
    AttemptId attempt;
    Answer answer;
    uint64_t declaredLength = 0; // Content-Length, or the body's size when a chunked body has ended
};
enum class TargetFailure : uint8_t {
    NotSent, // no byte of the request was written: connection refused or failed before
    Refused, // the target itself answered 503 with "Request-Outcome: not-run"
    Broken, // any failure after the first byte was written
};
struct TargetFailed {
    AttemptId attempt;
    TargetFailure failure = TargetFailure::Broken;
};
struct PeerMessageReceived {
    MemberId from;
    std::string bytes;
};
struct DirectoryChanged { // older versions than the current one are ignored
    std::shared_ptr<const Directory> directory;
    std::shared_ptr<const BucketTable> table; // of this agent's service; null when the directory does not name it
};
// True on each quorum-backed answer of control; `version` is the newest directory version that the answer names.
// Contact counts only while the own directory is at least that version, so that an agent that was cut off does not act
// on the directory from before. False when the daemon knows that contact is lost; otherwise the lease decides.
struct ControlContact {
    bool renewed = false;
    DirectoryVersion version;
};
struct SlotsChanged { // concurrent requests that the target may run, from the admission limit; 0 stops new work
    uint32_t slots = 0;
};
struct TargetStateChanged { // attempts at an earlier incarnation are over: they count as broken
    Incarnation target;
    bool up = false;
};
struct DrainStarted {
    Duration limit = std::chrono::seconds(30);
};
struct Tick { };

using RequestEvent = std::variant<RequestReceived, ConnectionClosed, TargetAnswered, TargetFailed, PeerMessageReceived,
    DirectoryChanged, ControlContact, SlotsChanged, TargetStateChanged, DrainStarted, Tick>;

// Actions.
struct SendToTarget {
    AttemptId attempt;
    std::shared_ptr<const Request> request;
    Duration remaining {}; // until the deadline; goes to the target as Request-Timeout-Ms
};
struct CancelAttempt { // close the target connection of this attempt; no further events of it are needed
    AttemptId attempt;
};
struct WriteReply {
    ConnectionId connection;
    Reply reply;
    bool close = false; // close the connection after the reply
    bool headOnly = false; // reply to HEAD: no body follows the header
};
struct SendPeerMessage {
    MemberId to;
    std::string bytes;
};
enum class RequestCounter : uint8_t {
    Answered,
    NotRun,
    Unknown,
    Cancelled,
    StaleAttempt, // answer or failure of an attempt that is over: dropped
    PartialAnswer, // answer whose length or digest is wrong: not passed on
    DamagedMessage, // peer message that cannot be decoded: dropped
    StaleMessage, // peer message of an old directory version, process or attempt: dropped
    DuplicatePrevented, // id that had run or could have run: not run again
    Conflict,
    RefusedFull, // queue, records or open requests at their bound
    RefusedFenced, // no control contact for the lease
    Retry,
    RetryDenied, // by the budget
    AnswerDropped, // stored answer given up because of the byte bound
    AmnesiaStarted, // buckets whose records may have been lost
    DirectoryBehind, // a peer has a newer directory and waits until this agent has it: pull it
};
struct Count {
    RequestCounter counter;
    uint64_t by = 1;
};
struct DrainFinished { // no request is open, and every owner has the records; or the limit has passed
    bool complete = false;
};

using RequestAction = std::variant<SendToTarget, CancelAttempt, WriteReply, SendPeerMessage, Count, DrainFinished>;

class AgentRequests {
public:
    AgentRequests(const Clock& clock, Random& random, const AgentRequestsConfig& config);
    ~AgentRequests();
    AgentRequests(const AgentRequests&) = delete;
    AgentRequests& operator=(const AgentRequests&) = delete;

    std::vector<RequestAction> handle(RequestEvent event);

    struct Load {
        size_t open = 0; // requests of callers
        size_t queued = 0;
        size_t running = 0; // attempts at the local target
        size_t records = 0;
        size_t recordBytes = 0;
        size_t unsettledBuckets = 0; // owned, but still asking the other members for records
    };
    Load load() const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace cicadaward::request
