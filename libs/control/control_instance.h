// State machine of one control instance. It combines the manifest register, the relay that serves the subscribers of
// this instance and, on the leader, the membership and the directory publisher. Raft and network I/O are outside: they
// deliver events and execute the returned actions.
//
//     ControlInstance instance(clock, random, settings);
//     for (ControlAction& action : instance.handle(Tick {})) // every 20 ms
//         std::visit(driver, action);
//
// Contract with Raft: EntryApplied comes in log order without gaps, after SnapshotInstalled where one was used.
// LeadershipGained comes when this instance has applied the first entry of its own term, so that its register holds all
// accepted manifests. LeaderChanged gives every other instance the address of its batches.
//
// A new leader publishes nothing for one lease. By then every live process has announced itself, so no member is
// removed only because the new leader has not received its announcement yet. Leases are renewed meanwhile.
#pragma once

#include "control/directory_publisher.h"
#include "control/dissemination.h"
#include "control/manifest_register.h"
#include "control/membership.h"
#include "core/random.h"

#include <map>

namespace cicadaward::control {

struct ControlInstanceSettings {
    ControlInstanceId id;
    std::vector<ControlInstanceId> others; // the other instances
    Duration batchInterval = std::chrono::milliseconds(250);
    Duration commandTimeout = std::chrono::seconds(5);
    size_t maxPendingCommands = 256;
    MembershipSettings membership;
    PublisherSettings publisher;
    DirectoryRelaySettings relay;
};

// Events.
struct EntryApplied {
    uint64_t index = 0;
    std::string command;
};
struct SnapshotInstalled {
    std::string snapshot; // from ManifestRegister::snapshot()
};
struct LeadershipGained {
    Term term;
};
// This instance follows `leader` in `term`; `leader` is none while no leader is known.
struct LeaderChanged {
    Term term;
    ControlInstanceId leader;
};
// The leader has received answers of a quorum; `at` is the send time of the oldest request that the quorum answered.
struct QuorumHeard {
    Time at;
};
struct InstanceMessageReceived {
    ControlInstanceId from;
    InstanceMessage message;
};
struct AnnounceReceived {
    RequestId request;
    Announcement announcement;
};
struct WatchReceived {
    RequestId request;
    WatchRequest watch;
};
// The command's token is assigned here.
struct CommandReceived {
    RequestId request;
    ManifestCommand command;
};
struct StatusReceived {
    RequestId request;
};
// The caller closed the request; no answer is sent.
struct RequestClosed {
    RequestId request;
};
struct Tick { };

using ControlEvent = std::variant<EntryApplied, SnapshotInstalled, LeadershipGained, LeaderChanged, QuorumHeard,
    InstanceMessageReceived, AnnounceReceived, WatchReceived, CommandReceived, StatusReceived, RequestClosed, Tick>;

// Actions.
struct ProposeCommand {
    std::string command; // for Raft; comes back as EntryApplied at every instance
};
struct SendToInstance { // the leader, or the sender of a batch
    ControlInstanceId to;
    InstanceMessage message;
};
struct SendToAllInstances {
    InstanceMessage message;
};
using ControlAnswer = std::variant<AnnounceReply, WatchReply, ManifestResult, StatusReply>;
struct AnswerRequest {
    RequestId request;
    ControlAnswer answer;
};
// For the log of the daemon.
struct ReportFinding {
    std::string text;
};

using ControlAction = std::variant<ProposeCommand, SendToInstance, SendToAllInstances, AnswerRequest, ReportFinding>;
using ControlActions = std::vector<ControlAction>;

class ControlInstance {
public:
    ControlInstance(const Clock& clock, Random& random, ControlInstanceSettings settings);

    ControlActions handle(const ControlEvent& event);

    const ManifestRegister& manifests() const { return m_register; }
    const DirectoryRelay& relay() const { return m_relay; }
    const Membership& membership() const { return m_membership; } // empty unless this instance leads
    bool isLeader() const { return m_leader == m_settings.id; }
    ControlInstanceId leader() const { return m_leader; }

private:
    // A process that announces itself at this instance, and its announcement that waits for the reply of the leader.
    struct LocalMember {
        MemberRecord record;
        Time lastAnnouncedAt;
        bool isConfirmed = false; // the leader of the current term has the record
        uint64_t recordBatchSequence = 0; // sequence of the last batch with the record; 0: none
        Time recordSentAt;
        uint64_t renewalBatchSequence
            = 0; // sequence of the batch and position of its last renewal in AnnouncementBatch::renewals
        uint32_t renewalPosition = 0;
        std::optional<RequestId> request;
        uint64_t requestSequence = 0;
        uint64_t requestBatchSequence = 0; // sequence of the batch that carried it; 0: not sent yet
    };
    struct PendingCommand {
        RequestId request;
        Time deadline;
    };

    void handleEvent(const EntryApplied& event);
    void handleEvent(const SnapshotInstalled& event);
    void handleEvent(const LeadershipGained& event);
    void handleEvent(const LeaderChanged& event);
    void handleEvent(const QuorumHeard& event);
    void handleEvent(const InstanceMessageReceived& event);
    void handleEvent(const AnnounceReceived& event);
    void handleEvent(const WatchReceived& event);
    void handleEvent(const CommandReceived& event);
    void handleEvent(const StatusReceived& event);
    void handleEvent(const RequestClosed& event);
    void handleEvent(const Tick& event);

    void handleMessage(ControlInstanceId from, const AnnouncementBatch& batch);
    void handleMessage(ControlInstanceId from, const BatchReply& reply);
    void handleMessage(ControlInstanceId from, const DirectoryUpdate& update);
    void handleMessage(ControlInstanceId from, const CommandForward& forward);

    AnnounceStatus storeAnnouncement(const Announcement& announcement);
    bool updateMembership(MemberId id, const MemberRecord& record, bool hasRecord, AnnounceStatus& status);
    void answerAnnouncement(RequestId request, uint64_t sequence, AnnounceStatus status, bool isQuorumConfirmed);
    void expireLocalMembers();
    void flushBatch();
    void setLeader(Term term, ControlInstanceId leader);
    void publish();
    void answerWatches();
    void answer(RequestId request, ControlAnswer answer)
    {
        m_actions.push_back(AnswerRequest { request, std::move(answer) });
    }

    const Clock& m_clock;
    Random& m_random;
    ControlInstanceSettings m_settings;
    ControlActions m_actions;

    ManifestRegister m_register;
    Membership m_membership;
    DirectoryPublisher m_publisher;
    DirectoryRelay m_relay;

    Term m_term;
    ControlInstanceId m_leader;
    DirectoryVersion m_seen;
    Epoch m_seenEpoch;

    // Ordered, so that simulations with equal seeds are identical.
    std::map<MemberId, LocalMember> m_localMembers;
    std::vector<MemberRecord> m_olderRecords; // of replaced processes; the leader detects duplicate names with them
    std::map<uint64_t, PendingCommand> m_pendingCommands; // by command token
    std::vector<std::string> m_findings; // the last 64

    uint64_t m_batchSequence;
    Time m_lastBatch;
    bool m_flushNow = false;
};

} // namespace cicadaward::control
