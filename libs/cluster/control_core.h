// A control instance as a deterministic state machine without I/O: Raft, the replicated state, group membership,
// operators' requests and replies to polls. The caller sends the messages and makes the batches durable, so tests and
// simulations can drive it too.
//
//     ControlCore core(options, clock, random, store->takeContents(), observer, output);
//     core.onTick();
//     core.onMessage(sender, envelope);
//     core.putConfiguration(request, configuration, text); // answered by output.answer(request, ...)
//     core.onPersisted(ticket);
//
// A write is acknowledged when a majority has made it durable, or when the state already contains it and the leader has
// confirmed its leadership. A read is answered once a quorum has replied to a message that the leader sent after the
// read arrived, so its linearizability doesn't depend on clocks. Otherwise the answer is a redirect to the leader or
// "unavailable".
#pragma once

#include "cluster/group.h"
#include "cluster/member_table.h"
#include "cluster/messages.h"
#include "cluster/state.h"
#include "cluster/state_transfer.h"
#include "core/random.h"
#include "raft/raft.h"

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace cicadaward::cluster {

struct ControlOptions {
    InstanceAddress self;
    std::vector<Endpoint> seeds; // control datagram endpoints of other instances
    Duration commitTimeout = std::chrono::seconds(3); // a write that is not committed within this time is "unavailable"
    Duration readTimeout
        = std::chrono::milliseconds(800); // a read that is not confirmed within this time is "unavailable"
    Duration helloInterval = std::chrono::milliseconds(400);
    Duration seedHelloInterval = std::chrono::seconds(2); // between two hellos to seeds outside the group
    Duration registerCheckInterval = std::chrono::seconds(1); // between two register checks without a change
    Duration membershipCheckInterval = std::chrono::milliseconds(200); // between two membership checks
    // A snapshot is taken after this number of applied entries, or earlier when their data exceeds both this size and
    // twice the size of the last snapshot. This bounds the log that a start has to read and a new instance to copy.
    LogIndex entriesPerSnapshot = 256;
    size_t minBytesPerSnapshot = 4 << 20;
    GroupOptions group;
    raft::RaftOptions consensus;
};

// Returns the batch that each initial voter stores before its first start: the membership and the addresses of the
// instances. All initial voters must pass the same map, so that their logs are equal. The log has the addresses from
// the beginning because the configured seeds may be replaced before an instance has registered.
StoreBatch groupBootstrapBatch(const std::map<InstanceId, InstanceAddress>& initialVoters);

using RequestNumber = uint64_t;

namespace detail {

    // Requests of the control instance itself (registrations, membership changes) have the highest bit set.
    constexpr RequestNumber internalRequestBase = RequestNumber(1) << 63;

} // namespace detail

enum class AnswerKind : uint8_t { Done, Configuration, Redirect, Unavailable };

struct Answer {
    AnswerKind kind = AnswerKind::Unavailable;
    std::string compressedText; // Configuration: compressed text, as stored
    Endpoint leader; // Redirect: its administration API
    const char* reason = "";
};

// Changes of the group that are reported to operators.
enum class ControlEvent : uint8_t {
    BecameLeader,
    BecameFollower,
    ConfigurationInForce,
    DataCentreOut,
    DataCentreBack,
    InstanceRegistered,
    MembersRegistered,
    MembersRemoved,
    MembershipChanged,
    OrderExpired,
    AnnouncementRefused, // at most once a second
};

class ControlOutput {
public:
    virtual ~ControlOutput() = default;
    virtual void sendMessage(Endpoint to, const Envelope&) = 0;
    virtual void persist(uint64_t batchNumber, const StoreBatch&) = 0;
    virtual void answer(RequestNumber, const Answer&) = 0;
    // `subject` is the configuration version, data centre, instance or members that the event is about.
    virtual void onEvent(ControlEvent, const std::string& subject, LogIndex) = 0;
    virtual void stopped() = 0; // after stop(), when leadership has been transferred
};

class ControlCore {
public:
    ControlCore(ControlOptions, const Clock&, Random&, const StoreContents&, ControlOutput&);

    void onTick(); // about every 25 ms
    void onMessage(Endpoint sender, const Envelope&);
    void onPersisted(uint64_t batchNumber);
    void stop();

    void putConfiguration(RequestNumber, const steering::Configuration&, const std::string& compressedText);
    void setDataCentre(RequestNumber, const std::string& dataCentre, bool out);
    void readConfiguration(RequestNumber);

    raft::RaftStatus status() const { return m_raft.status(); }
    const State& state() const { return m_state; }
    size_t memberCount() const { return m_members.size(); }
    size_t pollerCount() const { return m_pollers.size(); }
    uint64_t refusedAnnouncements() const { return m_refusedAnnouncements; }

private:
    struct PendingProposal {
        RequestNumber request;
        Term term;
        Time deadline;
    };

    // A request that is answered once leadership at a time after its arrival is confirmed.
    struct OperatorConfirmation {
        RequestNumber request;
        bool read = false; // otherwise a write that the state already contains
    };
    struct PollConfirmation {
        Endpoint sender;
        Poll poll;
    };
    struct Confirmation {
        Time arrived;
        std::variant<OperatorConfirmation, PollConfirmation> request;
    };

    bool redirectUnlessLeader(RequestNumber);
    void enqueueConfirmation(RequestNumber, bool read);
    void requestLeadershipConfirmation();
    void answerConfirmedRequests();
    void answer(const OperatorConfirmation&, bool confirmed);
    void answer(const PollConfirmation&, bool confirmed);
    void propose(RequestNumber, const Command&);
    void performActions(std::vector<raft::RaftAction>);
    void on(raft::SendMessage&);
    void on(raft::Persist&);
    void on(raft::ApplyEntries&);
    void on(raft::InstallSnapshot&);
    bool isSnapshotDue() const;
    void takeSnapshot();
    void on(raft::BecameLeader&);
    void on(raft::BecameFollower&);
    void on(raft::RequestResult&);
    void on(raft::StopReady&);
    void applyEntry(const LogEntry&);
    void completeProposal(const LogEntry&);
    void failPendingProposals(bool all);
    void reportChange(const Command&, LogIndex);
    void onRegisterChange(const Command&, LogIndex);
    void onHello(Hello);
    void onPoll(Endpoint sender, const Poll&);
    void refuseAnnouncement(Endpoint sender, const steering::MemberRecord&);
    bool isControlInstance(Endpoint) const;
    void answerPoll(Endpoint sender, const Poll&, bool confirmed);
    void refreshForwardingState();
    void notifyPollers();
    bool isNotifierOf(Endpoint poller) const;
    void reportRegistration(const steering::MemberRecord&);
    void expirePollers();
    void updateRegister();
    void proposeRegisterChanges(RegisterChanges);
    void proposeRegisterCommand(CommandKind, std::vector<steering::MemberRecord>);
    void updateMembership();
    void loadPeerAddresses(const StoreContents&);
    void sendHellos();
    void sendHellosToSeeds();
    std::optional<Endpoint> peerAddressOf(InstanceId) const;
    Endpoint adminApiOf(InstanceId) const;
    std::vector<Endpoint> knownControlInstances() const;

    const ControlOptions m_options;
    const Clock& m_clock;
    ControlOutput& m_output;
    raft::Raft m_raft;
    State m_state;
    MemberTable m_members;
    std::map<Endpoint, Time> m_pollers; // time of the last poll, by poller
    uint64_t m_refusedAnnouncements = 0; // announcements of a member that came from another endpoint
    Time m_nextRefusalReport;
    Group m_group;
    std::map<InstanceId, Endpoint> m_observedAddresses; // learned from Raft messages or the stored log
    std::map<LogIndex, PendingProposal> m_pendingProposals; // accepted and not yet applied, by log index
    Time m_lastConfirmationRequest; // time of the last request to the voters
    // In order of arrival; bounded by the caller's open requests and maxConfirmations.
    std::deque<Confirmation> m_confirmations;
    std::deque<raft::RaftAction> m_actions; // not yet performed
    bool m_performing = false;
    LogIndex m_applied = 0;
    LogIndex m_lastSnapshot = 0;
    size_t m_lastSnapshotBytes = 0;
    size_t m_bytesSinceSnapshot = 0; // data of the entries that were applied since the last snapshot
    RequestNumber m_pendingRegisterRequest = 0; // internal request that changes the register; 0: none
    LogIndex m_pendingRegisterIndex = 0; // log index of that request; the maximum until it is accepted
    uint64_t m_checkedTableChange = 0; // version number of the member table at the last check
    Time m_nextRegisterCheck;
    uint64_t m_nextInternalRequest = 0; // added to internalRequestBase
    Time m_nextHello;
    Time m_nextSeedHello;
    Time m_nextMembershipCheck;
    LogIndex m_forwardingIndex = 0; // of the state in m_stateSource
    StateSource m_stateSource;
    LogIndex m_notifiedIndex = 0; // index of the last state that pollers were notified of
};

} // namespace cicadaward::cluster
