// Messages between agents about requests, and their codec: one byte for the type, then MessagePack.
//
//     std::string bytes = encodePeerMessage(ClaimResult { ... });
//     PeerMessage message;
//     if (!decodePeerMessage(bytes, message))
//         count(RequestCounter::DamagedMessage);
//
// Messages may be lost, duplicated and reordered. The sender repeats a message that expects a reply until the reply
// arrives; the receiver replies to each copy. The order of the types in PeerMessage and of the enumerators is part of
// the wire format.
#pragma once

#include "core/version.h"
#include "request/types.h"

#include <string>
#include <variant>
#include <vector>

namespace cicadaward::request {

// Identifies one claim: one send of an id by one agent process. A process never uses a nonce twice, so a claim that the
// process has released without running it will never run.
struct ClaimToken {
    MemberId member;
    Incarnation process;
    uint64_t nonce = 0;

    friend bool operator==(const ClaimToken& a, const ClaimToken& b)
    {
        return a.member == b.member && a.process == b.process && a.nonce == b.nonce;
    }
    friend bool operator!=(const ClaimToken& a, const ClaimToken& b) { return !(a == b); }
};

// Order of the claims of one id: by the directory version of the owner, then by a sequence number of that owner.
struct ClaimOrder {
    DirectoryVersion version;
    uint64_t sequence = 0;

    friend bool operator==(const ClaimOrder& a, const ClaimOrder& b)
    {
        return a.version == b.version && a.sequence == b.sequence;
    }
    friend bool operator<(const ClaimOrder& a, const ClaimOrder& b)
    {
        return a.version != b.version ? a.version < b.version : a.sequence < b.sequence;
    }
};

// When two copies of one claim are merged, the higher state wins.
enum class RecordState : uint8_t {
    Claimed = 0, // not granted: the backup has not confirmed its copy
    Running = 1, // granted
    Released = 2, // given up by the claimant without running the request
    Unknown = 3, // may have run
    Answered = 4,
};

// An encoded answer or request, inline or as a reference to the agent that holds it. Answers are stored for callers
// that send the id again.
struct StoredBlob {
    std::string bytes; // encodeAnswer() or encodeRequest(); empty if it must be fetched from the holder
    MemberId holder;
    Incarnation process;
    uint64_t blob = 0; // identifies it at the holder
    uint64_t size = 0; // encoded size in bytes; 0 if there is none
    Digest digest; // of the encoded bytes
};

struct Record {
    std::string key;
    Digest digest; // requestDigest()
    ClaimToken token;
    ClaimOrder order;
    RecordState state = RecordState::Claimed;
    uint64_t ageMs = 0;
    StoredBlob answer;
};

enum class ClaimVerdict : uint8_t {
    Granted = 0,
    Answered = 1,
    Running = 2,
    Conflict = 3,
    Unknown = 4,
    Full = 5, // the id has no record, and there is no room for one
};

struct ClaimRequest {
    ServiceId service;
    std::string key;
    Digest digest;
    ClaimToken token;
};
struct ClaimReply {
    std::string key;
    ClaimToken token;
    DirectoryVersion version; // of the owner's directory when it decided
    ClaimVerdict verdict = ClaimVerdict::Unknown;
    ClaimOrder order;
    StoredBlob answer;
};
struct RecordCopy { // owner to backup
    ServiceId service;
    DirectoryVersion version;
    Record record;
};
struct RecordCopyAck {
    std::string key;
    ClaimToken token;
    RecordState state = RecordState::Claimed;
    bool stored = false; // false if the backup is full
};
struct ClaimResult { // claimant or runner to owner
    ServiceId service;
    Record record;
};
struct ClaimResultAck {
    std::string key;
    ClaimToken token;
};
struct ClaimProbe { // owner to claimant: asks for the state of this claim
    std::string key;
    ClaimToken token;
};
struct SyncRequest {
    ServiceId service;
    uint64_t session = 0;
    DirectoryVersion version;
    std::vector<uint16_t> buckets; // ascending
    uint16_t fromBucket = 0; // the reply starts after this bucket and key
    std::string fromKey;
};
struct RecordLoss {
    MemberId member;
    uint64_t ageMs = 0; // time since the latest loss that the sender knows of
};
struct SyncReply {
    uint64_t session = 0;
    uint16_t fromBucket = 0; // copied from the request, as is fromKey
    std::string fromKey;
    bool last = false;
    std::vector<Record> records;
    std::vector<RecordLoss> losses;
};
struct RunRequest {
    AttemptId attempt;
    Incarnation process; // of the receiver: a later process must not run an attempt that an earlier one may have run
    ClaimToken token;
    ClaimOrder order;
    StoredBlob request; // inline or to be fetched from the sender
    uint64_t remainingMs = 0;
};
enum class RunOutcome : uint8_t {
    Answered = 0,
    NotRun = 1,
    Unknown = 2,
};
struct RunResult {
    AttemptId attempt;
    RunOutcome outcome = RunOutcome::Unknown;
    StoredBlob answer;
};
struct RunCancel {
    AttemptId attempt;
};
struct FetchRequest {
    uint64_t blob = 0;
    uint64_t offset = 0;
};
struct FetchReply {
    uint64_t blob = 0;
    uint64_t offset = 0;
    bool found = false;
    std::string bytes;
};

using PeerMessage = std::variant<ClaimRequest, ClaimReply, RecordCopy, RecordCopyAck, ClaimResult, ClaimResultAck,
    ClaimProbe, SyncRequest, SyncReply, RunRequest, RunResult, RunCancel, FetchRequest, FetchReply>;

constexpr size_t maxInlineBytes = 2048; // of an answer or request inside a message
constexpr size_t fetchPartBytes = 7168; // in one FetchReply; leaves room for its other fields below maxPeerMessageBytes
constexpr size_t maxKeyBytes = 128; // of an Idempotency-Key

std::string encodePeerMessage(const PeerMessage& message);
// Returns false for anything that encodePeerMessage() does not produce.
bool decodePeerMessage(const std::string& bytes, PeerMessage& message);

std::string encodeAnswer(const Answer& answer);
bool decodeAnswer(const std::string& bytes, Answer& answer);
std::string encodeRequest(const Request& request);
bool decodeRequest(const std::string& bytes, Request& request);
Digest bytesDigest(const std::string& bytes);

} // namespace cicadaward::request
