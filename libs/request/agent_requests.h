// All request decisions of one agent: the requests of its callers, the records of the buckets that it owns or backs up,
// and the requests that it runs for other agents. It does no I/O: the daemon passes events in and performs the returned
// actions in order.
//
// Terms: a request id (Idempotency-Key) hashes to a bucket. The directory gives each bucket an owner, which grants at
// most one claim for an id, and a backup, which holds a copy of the owner's records. The claimant is the agent that
// holds the caller's connection; the runner is the agent whose target runs the request.
//
//     AgentRequests agent(clock, random, config);
//     perform(agent.handle(DirectoryChanged { directory, table }));
//     perform(agent.handle(ControlContact { true, version })); // on each quorum-backed answer
//     perform(agent.handle(SlotsChanged { 5 }));
//     perform(agent.handle(RequestReceived { connection, std::move(request) })); // from HttpReader
//     perform(agent.handle(Tick {})); // every 10 ms
//
// A caller connection carries one request at a time: between RequestReceived and WriteReply the daemon reads from it
// only to detect that the caller has disconnected. A target connection carries one attempt at a time; after
// CancelAttempt it is closed and never reused. Target events name their attempt, so late and duplicated ones are
// dropped and counted.
//
// Peer messages are datagrams of at most maxPeerMessageBytes that may be lost, duplicated and reordered. The daemon
// authenticates the sender before it passes a message in. Not thread-safe.
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

constexpr size_t maxPeerMessageBytes = 8192;

struct AgentRequestsConfig {
    MemberId self;
    ServiceId service;
    Incarnation process; // incarnation of this agent process; must equal the announced one
    Duration lease = std::chrono::seconds(3); // the agent starts nothing new after this long without control contact
    Duration recordLifetime = std::chrono::minutes(10);
    Duration clockSkewAllowance = std::chrono::seconds(2); // between callers and agents
    Duration retransmitInterval
        = std::chrono::milliseconds(50); // of unanswered peer messages; doubles up to 8 times this
    size_t maxRecords = 1 << 17;
    size_t maxRecordBytes = 64 << 20; // bounds the records, and separately the stored bodies of BlobTransfer
    size_t maxRequests = 4096; // open requests of callers; further ones are refused
    size_t maxQueued = 64; // requests that wait for a slot; further ones are refused as not run
    double retriesPerRequest = 0.1; // earned by each caller
};

// Events.
struct RequestReceived {
    ConnectionId connection;
    Request request;
};
struct ConnectionClosed { // closed by the caller, or failed
    ConnectionId connection;
};
struct TargetAnswered {
    AttemptId attempt;
    Answer answer;
    uint64_t declaredLength = 0; // Content-Length, or the size of a complete chunked body
};
enum class TargetFailure : uint8_t {
    NotSent, // the connection was refused or failed before the first byte of the request was written
    Refused, // the target itself answered 503 with "Request-Outcome: not-run"
    Broken, // any failure after the first byte was written: the request may have run
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
// Sent with `renewed` set on each quorum-backed answer of control; `version` is the newest directory version that the
// answer names. It renews the lease only if this agent's directory is at least that version, so that an agent that was
// partitioned does not act on an outdated directory. Sent with `renewed` false when the daemon knows that contact is
// lost; otherwise the lease expires by itself.
struct ControlContact {
    bool renewed = false;
    DirectoryVersion version;
};
struct SlotsChanged { // concurrent requests that the admission limit allows at the target; 0 starts no new request
    uint32_t slots = 0;
};
struct TargetStateChanged { // attempts at an earlier incarnation end as TargetFailure::Broken
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
    Duration remaining {}; // until the deadline; sent to the target as Request-Timeout-Ms
};
struct CancelAttempt { // close the target connection of this attempt; its further events are ignored
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
// The metric of each counter is named by a table in the agent daemon, in this order.
enum class RequestCounter : uint8_t {
    Answered,
    NotRun,
    Unknown,
    Cancelled,
    StaleAttempt, // answer or failure of an attempt that has ended: dropped
    PartialAnswer, // answer with a wrong length or digest: not forwarded
    DamagedMessage, // peer message that cannot be decoded: dropped
    StaleMessage, // peer message of an old directory version, process or attempt: dropped
    DuplicatePrevented, // request not run because its id has run or may have run
    Conflict,
    RefusedFull, // queue, records or open requests at their limit
    RefusedFenced, // this agent is fenced (no control contact for the lease) or draining
    Retry,
    RetryDenied, // by the retry budget
    AnswerDropped, // answer or request not stored because of a byte limit
    AmnesiaStarted, // buckets that settled in quarantine because records may have been lost, see bucket_sync.h
    DirectoryBehind, // a peer has a newer directory and waits until this agent has it; the daemon should pull it
};
struct Count {
    RequestCounter counter;
    uint64_t by = 1;
};
struct DrainFinished {
    bool complete = false; // no request is open and every new owner has the records; false if the limit has passed
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
        size_t open = 0; // open requests of callers
        size_t queued = 0;
        size_t running = 0; // attempts at the local target
        size_t records = 0;
        size_t recordBytes = 0;
        size_t unsettledBuckets = 0; // owned buckets whose records are still being fetched from other members
    };
    Load load() const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace cicadaward::request
