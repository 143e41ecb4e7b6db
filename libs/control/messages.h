// Messages between entries, agents and control instances. All are encoded with encodeMessage() and decoded with
// decodeMessage() of directory/codec.h; fields are only ever added at the end.
//
// A process sends its full record in the first announcement and after each change. All other announcements omit the
// record and have about 20 bytes, because up to 3,020 processes announce themselves periodically.
#pragma once

#include "control/directory_delta.h"
#include "control/manifest_register.h"
#include "core/hash.h"

#include <optional>
#include <variant>

namespace cicadaward::control {

// Number of a control instance, from 1; 0 means "none".
using ControlInstanceId = Id<struct ControlInstanceTag, uint32_t>;

// Member id of an instance name; the same in every process.
inline MemberId memberIdOf(const std::string& name) { return MemberId(hashString(name) | 1); }

enum class AnnounceStatus : uint8_t {
    Accepted = 0,
    NeedRecord = 1, // the instance does not have this record: send it with the next announcement
    OlderIncarnation = 2, // a process with a later incarnation announces the same instance name
    TableFull = 3,
    Invalid = 4, // empty or long name, or a value out of range
};

// State that a process announces. Service and data centre are names from its settings; the manifest register gives ids.
struct MemberRecord {
    std::string name; // instance name, 1 to 63 bytes
    MemberRole role = MemberRole::Agent;
    MemberState state = MemberState::Warming;
    std::string service; // empty for an entry
    std::string dataCentre;
    Endpoint tunnel;
    uint32_t capacity = 0;
    Incarnation process;
    Incarnation target;
    uint32_t intervalMs = 1000; // between announcements; the lease is three times as long
    uint64_t revision = 1; // incremented by each change of the record within one process
    bool leaving = false; // the process stops and must be removed at once

    MSGPACK_DEFINE_ARRAY(
        name, role, state, service, dataCentre, tunnel, capacity, process, target, intervalMs, revision, leaving)
};

// Distinguishes two records of one process, and two processes of one name, in batches. Consecutive revisions always
// have different fingerprints, other pairs with a probability of 65,535 in 65,536.
inline uint16_t recordFingerprint(Incarnation process, uint64_t revision)
{
    return static_cast<uint16_t>(mixHash(process.value(), 0) + revision);
}

struct Announcement {
    MemberId id;
    uint16_t fingerprint = 0; // of the record
    uint64_t sequence = 0; // of the request, echoed in the reply
    DirectoryVersion known; // highest version that the process has seen anywhere
    Epoch activeEpoch; // epoch that the process acts on
    std::optional<MemberRecord> record;

    MSGPACK_DEFINE_ARRAY(id, fingerprint, sequence, known, activeEpoch, record)
};

struct AnnounceReply {
    uint64_t sequence = 0;
    AnnounceStatus status = AnnounceStatus::Accepted;
    bool isQuorumConfirmed = false; // a leader with a quorum has accepted this announcement
    DirectoryVersion newest; // at this instance
    Epoch epoch;

    MSGPACK_DEFINE_ARRAY(sequence, status, isQuorumConfirmed, newest, epoch)
};

// Long poll for a directory newer than `known`. Sending it acknowledges that the process acts on `known`.
struct WatchRequest {
    MemberId member;
    uint64_t sequence = 0;
    DirectoryVersion known;
    Epoch activeEpoch;
    MemberRole role = MemberRole::Entry; // an entry receives the whole directory, an agent its own service
    std::string service; // of an agent
    ServiceId serviceId; // that the agent knows for `service`; none when it has no directory
    uint32_t waitMs = 10000; // at most 10,000; 0 requests an immediate reply

    MSGPACK_DEFINE_ARRAY(member, sequence, known, activeEpoch, role, service, serviceId, waitMs)
};

// Without delta and snapshot: this instance has no newer directory.
struct WatchReply {
    uint64_t sequence = 0;
    DirectoryVersion newest;
    std::optional<DirectoryDelta> delta;
    std::optional<Directory> snapshot;

    MSGPACK_DEFINE_ARRAY(sequence, newest, delta, snapshot)
};

// Acknowledgement of a manifest epoch by a process, passed on to the leader.
struct EpochAcknowledgement {
    MemberId member;
    Epoch epoch;

    MSGPACK_DEFINE_ARRAY(member, epoch)
};

// From an instance to the leader, every 250 ms, and at once when a member starts draining or loses its target.
struct AnnouncementBatch {
    uint64_t sequence = 0;
    Term term; // of the addressed leader
    DirectoryVersion known; // version of the sender's directory
    DirectoryVersion seen; // highest version seen in any announcement
    Epoch seenEpoch;
    std::vector<MemberRecord> records; // new or changed, until the leader confirms the batch
    // Members whose record did not change, 6 bytes each, big endian: the upper half of the id and the fingerprint of
    // the record. Compact because 1,000 of them reach the leader each second, which is most of its control traffic. The
    // fingerprint prevents the renewal of a member for which the leader has an older record from another instance.
    std::string renewals;
    std::vector<EpochAcknowledgement> acknowledgements;

    MSGPACK_DEFINE_ARRAY(sequence, term, known, seen, seenEpoch, records, renewals, acknowledgements)
};

struct MemberRefusal {
    MemberId member;
    Incarnation process;
    AnnounceStatus status = AnnounceStatus::Invalid;

    MSGPACK_DEFINE_ARRAY(member, process, status)
};

struct BatchReply {
    uint64_t sequence = 0;
    Term term;
    bool quorum = false; // the leader has received answers of a quorum within the election timeout
    std::vector<uint32_t> needRecord; // positions in `renewals` that are unknown to the leader; ascending
    std::vector<MemberRefusal> refused;
    std::optional<DirectoryDelta> delta; // when the sender's directory is behind
    std::optional<Directory> snapshot;

    MSGPACK_DEFINE_ARRAY(sequence, term, quorum, needRecord, refused, delta, snapshot)
};

// From the leader to all instances when it publishes a version.
struct DirectoryUpdate {
    Term term;
    DirectoryDelta delta;

    MSGPACK_DEFINE_ARRAY(term, delta)
};

// From an instance to the leader: a command to propose. The result is returned when the entry is applied.
struct CommandForward {
    std::string command;

    MSGPACK_DEFINE_ARRAY(command)
};

using InstanceMessage = std::variant<AnnouncementBatch, BatchReply, DirectoryUpdate, CommandForward>;

// One byte for the type, then the message. decodeInstanceMessage() returns false on malformed input.
std::string encodeInstanceMessage(const InstanceMessage& message);
bool decodeInstanceMessage(const std::string& bytes, InstanceMessage& message);

// Status of an instance for cicadawardctl. `members` counts all members at the leader, and at a follower its
// subscribers.
struct StatusReply {
    ControlInstanceId leader;
    bool isLeader = false;
    uint64_t manifestVersion = 0;
    Epoch epoch;
    DirectoryVersion directory;
    uint64_t members = 0;
    uint64_t behindCount = 0; // members that do not act on `epoch` yet
    std::vector<std::string> behind; // their names (ids at a follower), at most 64
    std::vector<std::string> findings; // such as an instance name used by two processes; at most 64

    MSGPACK_DEFINE_ARRAY(leader, isLeader, manifestVersion, epoch, directory, members, behindCount, behind, findings)
};

} // namespace cicadaward::control

MSGPACK_ADD_ENUM(cicadaward::control::AnnounceStatus)
