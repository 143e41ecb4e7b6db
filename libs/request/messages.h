// Messages between the request machines of agents, and their codec: one byte of type, then MessagePack.
//
//     std::string bytes = encodePeerMessage(ClaimResult { ... });
//     PeerMessage message;
//     if (!decodePeerMessage(bytes, message))
//         count(RequestCounter::DamagedMessage);
//
// All of them may be lost, duplicated and reordered. The sender repeats a request until it is answered; a receiver
// answers each copy.
#pragma once

#include "core/version.h"
#include "request/types.h"

#include <string>
#include <variant>
#include <vector>

namespace cicadaward::request {

// Names one send of an id by one agent process. A process never uses a nonce twice, so "this claim was not run" stays
// true for ever once the process has given the claim up.
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

// Order of the claims of one id: owners of a bucket follow each other by directory version, and one owner counts.
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

// Later states win when two copies of one claim meet.
enum class RecordState : uint8_t {
    Claimed = 0, // the backup has not confirmed its copy: nothing has been granted
    Running = 1, // granted
    Released = 2, // given up by the claimant, not run
    Unknown = 3, // may have run
    Answered = 4,
};

// An answer that is kept for callers that send the id again, inline or at the agent that received it from the target.
struct StoredBlob {
    std::string bytes; // encodeAnswer(), empty when it must be fetched
    MemberId holder;
    Incarnation process;
    uint64_t blob = 0; // number at the holder
    uint64_t size = 0; // of the encoded answer; 0 when there is none
    Digest digest; // of the encoded answer
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
    Full = 5, // the id is not known, and there is no room for its record
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
    DirectoryVersion version; // of the owner when it decided
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
    bool stored = false; // false when the backup is full
};
struct ClaimResult { // claimant or runner to owner
    ServiceId service;
    Record record;
};
struct ClaimResultAck {
    std::string key;
    ClaimToken token;
};
struct ClaimProbe { // owner to claimant: what became of this claim?
    std::string key;
    ClaimToken token;
};
struct SyncRequest {
    ServiceId service;
    uint64_t session = 0;
    DirectoryVersion version;
    std::vector<uint16_t> buckets; // ascending
    uint16_t fromBucket = 0; // continue after this bucket and key
    std::string fromKey;
};
struct RecordLoss {
    MemberId member;
    uint64_t ageMs = 0; // since it lost its records, as far as the sender knows
};
struct SyncReply {
    uint64_t session = 0;
    uint16_t fromBucket = 0; // of the request
    std::string fromKey;
    bool last = false;
    std::vector<Record> records;
    std::vector<RecordLoss> losses;
};
struct RunRequest {
    AttemptId attempt;
    Incarnation process; // of the receiver: a later process must not run what an earlier one may have run
    ClaimToken token;
    ClaimOrder order;
    StoredBlob request; // encodeRequest(), inline or to be fetched from the sender
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

constexpr size_t maxInlineBytes = 2048; // bytes of an answer or request inside a message
constexpr size_t fetchPartBytes = 7168; // bytes in one FetchReply; leaves room below maxPeerMessageBytes
constexpr size_t maxKeyBytes = 128; // bytes of an Idempotency-Key

std::string encodePeerMessage(const PeerMessage& message);
// Returns false on anything that encodePeerMessage() does not produce.
bool decodePeerMessage(const std::string& bytes, PeerMessage& message);

std::string encodeAnswer(const Answer& answer);
bool decodeAnswer(const std::string& bytes, Answer& answer);
std::string encodeRequest(const Request& request);
bool decodeRequest(const std::string& bytes, Request& request);
Digest bytesDigest(const std::string& bytes);

} // namespace cicadaward::request
