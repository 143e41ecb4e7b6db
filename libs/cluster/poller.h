// Keeps an entry or agent up to date: polls the control instances in turn, takes the newest state and all member
// records, and learns of control instances that its seeds do not name.
//
//     poller.onTick(); // sends what is due
//     poller.onMessage(sender, envelope); // false: not a reply
//
// Cost: one poll in an interval that grows with the number of processes that poll, so that the traffic of a control
// instance stays the same whatever the size of the system; a reply carries what has changed. State index and member
// records only rise, so an instance that lags or was cut off cannot bring old ones back.
#pragma once

#include "cluster/messages.h"
#include "core/clock.h"
#include "core/random.h"

#include <array>
#include <functional>
#include <map>
#include <set>
#include <vector>

namespace cicadaward::cluster {

struct PollerOptions {
    std::vector<Endpoint> seeds; // control datagram endpoints
    bool wantsMembers = false;
    Duration minInterval = std::chrono::milliseconds(400); // shortest time between two polls
    Duration minIntervalPerPoller = std::chrono::milliseconds(4); // the interval is at least this for each poller
    Duration maxInterval = std::chrono::seconds(12); // a configuration must be in force within 19 s
    Duration initialWaitInterval
        = std::chrono::milliseconds(30); // until there is a state, or while isWaitingForReply(); it doubles
    Duration maxWaitInterval = std::chrono::milliseconds(60); // up to this
    Duration minConfirmationInterval = std::chrono::milliseconds(50); // shortest time between two confirmations
};

constexpr size_t maxControls = 32;

class PollerOutput {
public:
    virtual ~PollerOutput() = default;
    virtual void sendMessage(Endpoint control, const Envelope&) = 0;
    virtual void contactLost() = 0;
    virtual void contactRenewed() = 0;

    // What a reply brings; a process overrides what it needs.
    virtual void onState(const ForwardingState&) { }
    virtual void onMemberRecord(const steering::MemberRecord&) { }
    virtual void onSilentMember(Endpoint) { }
    virtual steering::MemberDigest memberDigest() { return {}; }
    // The own record is known under this incarnation.
    virtual void onKnownIncarnation(uint64_t) { }
    // The register has this start of the own target.
    virtual void onRegistration(uint64_t /* incarnation */, uint64_t /* targetStart */) { }
    // True while the process waits for something that only a reply can bring.
    virtual bool isWaitingForReply() { return false; }
    // Members and state were complete at a time not before `asked`.
    virtual void membersConfirmed(Time /* asked */) { }
    // The announcement of this process, or nothing.
    virtual std::vector<steering::MemberRecord> ownRecords() { return {}; }
    // Where operators find the leader of `term`.
    virtual void onLeader(Endpoint, uint64_t) { }
};

class Poller {
public:
    Poller(PollerOptions, const Clock&, Random&, PollerOutput&);

    void onTick();
    bool onMessage(Endpoint sender, const Envelope&);
    void onReply(Endpoint sender, const PollReply&);
    // Polls all control instances at once: at the start and after a change of the own record.
    void pollAll();
    // Asks for membersConfirmed(), unless that was done within the confirmation interval.
    void confirmMembers();
    // Control instances that were learned in another way. They count until a reply with a state names others.
    void updateControls(const std::vector<Endpoint>& controls) { updateControls(0, controls); }

    LogIndex stateIndex() const { return m_state.index; }
    bool isInContact() const { return m_inContact; }
    const std::vector<Endpoint>& controls() const { return m_controls; }

private:
    void poll(Endpoint control, uint64_t confirmation);
    Endpoint nextControl();
    void sortControls();
    bool comesBefore(Endpoint, Endpoint) const;
    Duration interval() const;
    void applyState(const PollReply&);
    void onConfirmation(const PollReply&);
    void onNotice(Endpoint sender, const StateNotice&);
    void updateControls(LogIndex index, const std::vector<Endpoint>& controls);

    const PollerOptions m_options;
    const Clock& m_clock;
    PollerOutput& m_output;
    const uint64_t m_salt;
    std::vector<Endpoint> m_controls; // in the order of comesBefore()
    std::map<Endpoint, TableVersion> m_tables; // by control instance
    // Those whose last reply had no state: without disks, or still empty. They are polled rarely.
    std::set<Endpoint> m_withoutState;
    uint64_t m_turns = 0;
    Endpoint m_lastPolled;
    Endpoint m_lastPolledInFullCycle; // polled last in the turns that leave nobody out
    uint32_t m_pollers = 0; // processes that poll, as the last reply says
    Duration m_waitInterval;
    Time m_nextPoll;
    Time m_lastReply;
    bool m_inContact = false;
    ForwardingState m_state;
    LogIndex m_noticedIndex = 0; // newest index that a notice has named
    uint64_t m_lastConfirmationNumber = 0; // number of the last one that was asked for
    std::array<Time, 16> m_confirmationTimes {}; // by number; replies may be several intervals late
    Time m_nextConfirmation;
    LogIndex m_controlsIndex = 0; // state index of the reply that named m_controls
};

} // namespace cicadaward::cluster
