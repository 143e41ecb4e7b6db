// Peer messages between the agents of one service. Each travels in one datagram and may be lost, repeated or overtaken,
// so every request is repeated until it is answered and every message may be handled twice.
//
//     std::string bytes = encodePeerMessage(FlowClosed { holder, incarnation, keys });
//     PeerMessage message;
//     if (!decodePeerMessage(bytes, message))
//         count(FlowCounter::DroppedDamaged);
//
// On the wire: a MessagePack array [type, body]. Types below flowMessageTypes belong to this library; the daemon passes
// all others on to their own machines.
#pragma once

#include "directory/codec.h"
#include "flow/actions.h"

#include <string>
#include <variant>
#include <vector>

namespace cicadaward::flow {

// Bounds that keep a datagram under 1,400 bytes.
constexpr size_t maxFlowsPerMessage = 34;
constexpr size_t maxBucketsPerReply = 60;
constexpr size_t maxBucketsPerRequest = 400;

// One use of a 5-tuple. Callers use a 5-tuple again at once, and messages overtake each other: without the number of
// the first segment, a late report about an old flow would end the new one.
struct FlowId {
    FlowKey key;
    uint32_t initialSequence = 0; // of the first segment; 0 when unknown and for UDP, and matches any
    // Set by an owner that asks and repeated in the answer: a first segment that was sent after the question makes the
    // answer void. 0 in reports that answer no question.
    uint32_t openNumber = 0;

    bool matches(uint32_t other) const { return initialSequence == 0 || other == 0 || initialSequence == other; }

    MSGPACK_DEFINE_ARRAY(key, initialSequence, openNumber);
};

struct FlowSummary {
    FlowKey key;
    uint32_t initialSequence = 0; // as in FlowId
    uint32_t idleMs = 0; // milliseconds since its last packet
    bool request = false; // the agent terminates it
    bool refusing = false; // the agent answers it with 503
    bool unverified = false; // taken back from a copy after a restart, not confirmed by the target

    MSGPACK_DEFINE_ARRAY(key, initialSequence, idleMs, request, refusing, unverified);
};

// Holder to owner: these flows are open here. Owner to backup: they are open at `holder`.
struct FlowOpened {
    MemberId holder;
    Incarnation incarnation; // of the holder's target
    std::vector<FlowSummary> flows;

    MSGPACK_DEFINE_ARRAY(holder, incarnation, flows);
};

// Holder to owner, owner to backup: these flows are not open at `holder`.
struct FlowClosed {
    MemberId holder;
    Incarnation incarnation;
    std::vector<FlowId> flows;

    MSGPACK_DEFINE_ARRAY(holder, incarnation, flows);
};

enum class RefusalReason : uint8_t {
    Limit = 0,
    Unavailable = 1, // lease, target down, draining, other incarnation, table full
    StaleOwner = 2, // the bucket has been promised to a newer owner
    Closed = 3, // the flow has ended; its first packet opens a new one
};

// Holder to owner: the packet opened no flow here. It comes back so that the owner need not keep it.
struct FlowRefused {
    RefusalReason reason = RefusalReason::Unavailable;
    uint8_t hops = 0;
    std::vector<uint8_t> packet;

    MSGPACK_DEFINE_ARRAY(reason, hops, packet);
};

// Owner to holder: which of these flows are open there? Answered with FlowOpened and FlowClosed.
struct FlowCheck {
    Incarnation incarnation;
    std::vector<FlowId> flows;

    MSGPACK_DEFINE_ARRAY(incarnation, flows);
};

// New owner to all members that may hold flows of the buckets. An answer is a promise: the member makes no decision for
// these buckets under a version below `version`.
struct BucketSyncRequest {
    uint64_t session = 0; // chosen by the requester; replies to an older session do not count
    DirectoryVersion version;
    std::vector<BucketId> buckets;

    MSGPACK_DEFINE_ARRAY(session, version, buckets);
};

// The flows that the sender holds in `buckets`. A bucket whose flows need several datagrams comes alone, and part i has
// the flows with partOf(hash, parts) == i: parts of repeated replies may be combined, because the sender opens nothing
// in a promised bucket between them.
struct BucketSyncReply {
    uint64_t session = 0;
    uint32_t part = 0;
    uint32_t parts = 1;
    Incarnation incarnation;
    std::vector<BucketId> buckets;
    std::vector<FlowSummary> flows;
    bool mayHoldMore = false; // the sender restarted; its target may have flows that no agent knows

    MSGPACK_DEFINE_ARRAY(session, part, parts, incarnation, buckets, flows, mayHoldMore);
};

// The sender knows a newer owner of the buckets that were asked for.
struct BucketSyncStale {
    DirectoryVersion version;

    MSGPACK_DEFINE_ARRAY(version);
};

// From an agent that restarted: which flows do owners and backups know at this target?
struct HolderSyncRequest {
    uint64_t session = 0;
    Incarnation incarnation;

    MSGPACK_DEFINE_ARRAY(session, incarnation);
};

// Divided into parts like BucketSyncReply.
struct HolderSyncReply {
    uint64_t session = 0;
    uint32_t part = 0;
    uint32_t parts = 1;
    std::vector<FlowSummary> flows;

    MSGPACK_DEFINE_ARRAY(session, part, parts, flows);
};

// What the sender's target bears now. It lowers the sender's share of new flows and never raises it.
struct LoadReport {
    Incarnation incarnation;
    uint32_t flowLimit = 0;
    uint32_t openFlows = 0;
    bool wantsReply = false; // the receiver reports back; used to find out whether anybody is reachable

    MSGPACK_DEFINE_ARRAY(incarnation, flowLimit, openFlows, wantsReply);
};

constexpr uint32_t maxParts = 4096;
inline uint32_t partOf(uint64_t flowHash, uint32_t parts)
{
    // Bits that neither the bucket nor the slot of the flow table uses.
    return static_cast<uint32_t>(flowHash >> 16 & 0xffff) % parts;
}

// The order is the wire type, from 0.
using PeerMessage = std::variant<FlowOpened, FlowClosed, FlowRefused, FlowCheck, BucketSyncRequest, BucketSyncReply,
    BucketSyncStale, HolderSyncRequest, HolderSyncReply, LoadReport>;
constexpr uint32_t flowMessageTypes = 32;

std::string encodePeerMessage(const PeerMessage& message);

// Returns false on damage and on types of other libraries.
bool decodePeerMessage(Bytes bytes, PeerMessage& message);

// The type of a peer message of any library; false when it is damaged. Cheap: reads two bytes.
bool peerMessageType(Bytes bytes, uint32_t& type);

} // namespace cicadaward::flow

MSGPACK_ADD_ENUM(cicadaward::flow::RefusalReason)
