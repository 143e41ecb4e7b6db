// A control instance as a pure machine: consensus, replicated state, group membership, operators' orders, and the
// answers to polls. The caller moves bytes and writes batches; it may drive the machine from a test or a schedule as
// well.
//
//     ControlCore core(options, clock, random, store->takeContents(), observer, output);
//     core.onTick();
//     core.onMessage(sender, envelope);
//     core.putConfiguration(request, configuration, text); // answered by output.answer(request, ...)
//     core.onPersisted(ticket);
//
// An order is acknowledged when a majority has made it durable, or when the state already contains it and the leader
// has confirmed that it leads. A read is answered once a quorum has answered a message that the leader sent after the
// read arrived, so it rests on no clock; anything else is a redirect to the leader or "unavailable".
#pragma once

#include "cluster/group.h"
#include "cluster/member_table.h"
#include "cluster/messages.h"
#include "cluster/state.h"
#include "cluster/state_delta.h"
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
    Duration orderLimit = std::chrono::seconds(3); // an order that is not committed by then is answered "unavailable"
    Duration readLimit = std::chrono::milliseconds(800); // a read that is not confirmed by then is "unavailable"
    Duration helloInterval = std::chrono::milliseconds(400);
    Duration seedInterval = std::chrono::seconds(2); // between two hellos to seeds that are no members of the group
    Duration registerInterval = std::chrono::seconds(1); // between two looks at the register without a change
    Duration groupInterval = std::chrono::milliseconds(200); // between two looks at the membership
    LogIndex snapshotEntries = 256; // applied entries between two snapshots
    GroupOptions group;
    raft::RaftOptions consensus;
};

// What each founder of a group stores before its first start: the group and the addresses of its instances. All
// founders must give the same map, so that their logs are equal. The addresses are in the log from the beginning,
// because the seeds may be exchanged before an instance has registered.
StoreBatch foundingBatch(const std::map<InstanceId, InstanceAddress>& founders);

// Changes that a process may be behind without fetching the whole state.
constexpr size_t maxDeltas = 256;

using RequestNumber = uint64_t;

namespace detail {

    // Requests of the machine itself (registrations, membership changes) have the highest bit set.
    constexpr RequestNumber ownRequests = RequestNumber(1) << 63;

} // namespace detail

enum class AnswerKind : uint8_t { Done, Configuration, Redirect, Unavailable };

struct Answer {
    AnswerKind kind = AnswerKind::Unavailable;
    std::string text; // Configuration: compressed text, as stored
    Endpoint leader; // Redirect: its administration API
    const char* reason = "";
};

// What operators and on-call engineers must see of the group.
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
    // `subject` names the version, data centre, instance or members concerned.
    virtual void happened(ControlEvent, const std::string& subject, LogIndex) = 0;
    virtual void stopped() = 0; // after stop(): leadership has been handed over
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
    size_t members() const { return m_members.size(); }
    size_t pollers() const { return m_pollers.size(); }
    uint64_t refusedAnnouncements() const { return m_refusedAnnouncements; }

private:
    struct Order {
        RequestNumber request;
        Term term;
        Time deadline;
    };

    // An answer that waits until the leader is known to have led after the request arrived.
    struct OperatorConfirmation {
        RequestNumber request;
        bool read = false; // else an order that the state contains already
    };
    struct PollConfirmation {
        Endpoint sender;
        Poll poll;
    };
    struct Confirmation {
        Time arrived;
        std::variant<OperatorConfirmation, PollConfirmation> request;
    };

    bool redirect(RequestNumber);
    void confirm(RequestNumber, bool read);
    void askForConfirmation();
    void answerConfirmed();
    void answer(const OperatorConfirmation&, bool confirmed);
    void answer(const PollConfirmation&, bool confirmed);
    void propose(RequestNumber, const Command&);
    void perform(std::vector<raft::RaftAction>);
    void on(raft::SendMessage&);
    void on(raft::Persist&);
    void on(raft::ApplyEntries&);
    void on(raft::InstallSnapshot&);
    void on(raft::BecameLeader&);
    void on(raft::BecameFollower&);
    void on(raft::RequestResult&);
    void on(raft::StopReady&);
    void applyEntry(const LogEntry&);
    void settle(const LogEntry&);
    void expireOrders(bool all);
    void reportChange(const Command&, LogIndex);
    void onRegisterChange(const Command&, LogIndex);
    void onHello(Hello);
    void onPoll(Endpoint sender, const Poll&);
    void refuseAnnouncement(Endpoint sender, const steering::MemberRecord&);
    bool isControlInstance(Endpoint) const;
    void answerPoll(Endpoint sender, const Poll&, bool confirmed);
    void followState();
    void notifyPollers();
    bool notifies(Endpoint poller) const;
    void forgetPollers();
    void tendRegister();
    void proposeChanges(RegisterChanges);
    void proposeMembers(CommandKind, std::vector<steering::MemberRecord>);
    void tendGroup();
    void learnAddresses(const StoreContents&);
    void sayHello();
    void greetSeeds();
    std::optional<Endpoint> addressOf(InstanceId) const;
    Endpoint operatorsOf(InstanceId) const;
    std::vector<Endpoint> knownControls() const;

    const ControlOptions m_options;
    const Clock& m_clock;
    ControlOutput& m_output;
    raft::Raft m_raft;
    State m_state;
    MemberTable m_members;
    std::map<Endpoint, Time> m_pollers; // when each one polled last
    uint64_t m_refusedAnnouncements = 0; // of members that are not their senders
    Time m_nextRefusalReport;
    Group m_group;
    std::map<InstanceId, Endpoint> m_seen; // addresses from which consensus messages came, or that the log names
    std::map<LogIndex, Order> m_orders; // accepted, not yet committed
    Time m_confirmationAsked; // when the voters were asked last
    std::deque<Confirmation> m_confirmations; // in the order of their arrival; bounded by the caller's open requests
    std::deque<raft::RaftAction> m_actions; // not performed yet
    bool m_performing = false;
    LogIndex m_applied = 0;
    LogIndex m_lastSnapshot = 0;
    RequestNumber m_registerRequest = 0; // own request that changes the register and is not applied yet; 0: none
    LogIndex m_registerIndex = 0; // of that request, once the log has it
    uint64_t m_registerSeen = 0; // number of the member table at the last look
    Time m_nextRegisterLook;
    uint64_t m_nextChange = 0; // numbers of the machine's own requests, from ownRequests
    Time m_nextHello;
    Time m_nextSeedHello;
    Time m_nextGroupLook;
    std::string m_forwarding; // encoded ForwardingState of m_forwardingIndex
    LogIndex m_forwardingIndex = 0;
    DeltaHistory m_history { maxDeltas };
    LogIndex m_notified = 0; // state index that pollers were told of last
};

} // namespace cicadaward::cluster
