// Peer messages between the agents of one service. Each is sent in one datagram, which may be lost, duplicated or
// reordered. Senders therefore repeat requests until they are answered, and handling a message twice is harmless.
//
//     std::string bytes = encodePeerMessage(FlowClosed { holder, incarnation, keys });
//     PeerMessage message;
//     if (!decodePeerMessage(bytes, message))
//         count(FlowCounter::DroppedDamaged);
//
// Wire format: a MessagePack array [type, body]. Types below flowMessageTypes belong to this library; the daemon routes
// all other types to the libraries that define them.
#pragma once

#include "directory/codec.h"
#include "flow/actions.h"

#include <string>
#include <variant>
#include <vector>

namespace cicadaward::flow {

// With these bounds, an encoded message stays below 1,400 bytes.
constexpr size_t maxFlowsPerMessage = 34;
constexpr size_t maxBucketsPerReply = 60;
constexpr size_t maxBucketsPerRequest = 400;

// Identifies one use of a 5-tuple. A caller may reuse a 5-tuple immediately and messages may be reordered: without the
// initial sequence number, a late report about the old flow would end the new one.
struct FlowId {
    FlowKey key;
    // The TCP initial sequence number of the caller. 0 for UDP and when it is unknown; 0 matches any number.
    uint32_t initialSequence = 0;
    // In FlowCheck, the number of the last OpenFlow that the owner has sent for the flow; the answer repeats it. If the
    // owner has sent another OpenFlow meanwhile, the numbers differ and it ignores the answer. 0 in reports that answer
    // no FlowCheck.
    uint32_t openNumber = 0;

    bool matches(uint32_t other) const { return initialSequence == 0 || other == 0 || initialSequence == other; }

    MSGPACK_DEFINE_ARRAY(key, initialSequence, openNumber);
};

struct FlowSummary {
    FlowKey key;
    uint32_t initialSequence = 0; // as in FlowId
    uint32_t idleMs = 0; // time since the last packet
    bool requestMode = false; // PortMode::Request: the agent terminates the TCP connection
    bool refusing = false; // the agent answers every request with 503
    bool unverified = false; // restored from a copy after a restart; the target has not confirmed it

    MSGPACK_DEFINE_ARRAY(key, initialSequence, idleMs, requestMode, refusing, unverified);
};

// Holder to owner: these flows are open here. Owner to backup: these flows are open at `holder`.
struct FlowOpened {
    MemberId holder;
    Incarnation incarnation; // of the holder's target
    std::vector<FlowSummary> flows;

    MSGPACK_DEFINE_ARRAY(holder, incarnation, flows);
};

// Holder to owner: these flows are not open here. Owner to backup: these flows have ended; `holder` is unset.
struct FlowClosed {
    MemberId holder;
    Incarnation incarnation;
    std::vector<FlowId> flows;

    MSGPACK_DEFINE_ARRAY(holder, incarnation, flows);
};

enum class RefusalReason : uint8_t {
    Limit = 0,
    Unavailable = 1, // no lease, target down or draining, other incarnation, or flow table full
    StaleOwner = 2, // the bucket has been promised to an owner with a newer directory version
    Closed = 3, // the holder does not have the flow, so a first packet opens a new one
};

// Holder to owner: the packet was not delivered. The message returns the packet, so that the owner need not store it.
struct FlowRefused {
    RefusalReason reason = RefusalReason::Unavailable;
    uint8_t hops = 0;
    std::vector<uint8_t> packet;

    MSGPACK_DEFINE_ARRAY(reason, hops, packet);
};

// Owner to holder: asks which of these flows are open. The holder answers with FlowOpened and FlowClosed.
struct FlowCheck {
    Incarnation incarnation;
    std::vector<FlowId> flows;

    MSGPACK_DEFINE_ARRAY(incarnation, flows);
};

// From the new owner of buckets to all members that may hold flows of them: asks for these flows. By answering, a
// member promises to place and admit no flows of these buckets under a directory version below `version`.
struct BucketSyncRequest {
    uint64_t session = 0; // random number of the requester, which ignores replies to older sessions
    DirectoryVersion version;
    std::vector<BucketId> buckets;

    MSGPACK_DEFINE_ARRAY(session, version, buckets);
};

// The flows that the sender holds in `buckets`. A bucket whose flows need several datagrams is sent alone, and part i
// has the flows with partOf(hash, parts) == i. The receiver may combine parts of repeated replies, because the sender
// opens no flow in a promised bucket between them.
struct BucketSyncReply {
    uint64_t session = 0;
    uint32_t part = 0;
    uint32_t parts = 1;
    Incarnation incarnation;
    std::vector<BucketId> buckets;
    std::vector<FlowSummary> flows;
    bool mayHoldMore = false; // the sender has restarted, and its target may have flows that no agent knows

    MSGPACK_DEFINE_ARRAY(session, part, parts, incarnation, buckets, flows, mayHoldMore);
};

// Answer to BucketSyncRequest: for some of its buckets, the sender knows a newer owner or has promised a newer version.
struct BucketSyncStale {
    DirectoryVersion version;

    MSGPACK_DEFINE_ARRAY(version);
};

// From an agent that has restarted: asks the other members which flows they know at its target.
struct HolderSyncRequest {
    uint64_t session = 0;
    Incarnation incarnation;

    MSGPACK_DEFINE_ARRAY(session, incarnation);
};

// The flows that the sender knows at the requester's target. Divided into parts like BucketSyncReply.
struct HolderSyncReply {
    uint64_t session = 0;
    uint32_t part = 0;
    uint32_t parts = 1;
    std::vector<FlowSummary> flows;

    MSGPACK_DEFINE_ARRAY(session, part, parts, flows);
};

// The present admission limit of the sender's target. It can lower the sender's share of new flows below the share that
// its capacity in the directory gives, but never raise it.
struct LoadReport {
    Incarnation incarnation;
    uint32_t flowLimit = 0;
    uint32_t openFlows = 0;
    bool wantsReply = false; // the receiver answers with its own report, which shows that it is reachable

    MSGPACK_DEFINE_ARRAY(incarnation, flowLimit, openFlows, wantsReply);
};

constexpr uint32_t maxParts = 4096;
inline uint32_t partOf(uint64_t flowHash, uint32_t parts)
{
    // Uses bits of the hash that determine neither the bucket nor the slot in the flow table.
    return static_cast<uint32_t>(flowHash >> 16 & 0xffff) % parts;
}

// The index of a type in this list is its number on the wire.
using PeerMessage = std::variant<FlowOpened, FlowClosed, FlowRefused, FlowCheck, BucketSyncRequest, BucketSyncReply,
    BucketSyncStale, HolderSyncRequest, HolderSyncReply, LoadReport>;
constexpr uint32_t flowMessageTypes = 32;

std::string encodePeerMessage(const PeerMessage& message);

// Returns false for a damaged message and for a type of another library.
bool decodePeerMessage(Bytes bytes, PeerMessage& message);

// Reads the type of a peer message of any library from its first two bytes. Returns false if they are damaged.
bool peerMessageType(Bytes bytes, uint32_t& type);

} // namespace cicadaward::flow

MSGPACK_ADD_ENUM(cicadaward::flow::RefusalReason)
