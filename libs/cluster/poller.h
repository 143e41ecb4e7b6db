// Keeps an entry or agent up to date: polls the control instances in turn, accepts the newest state and all member
// records, and discovers control instances that are not among its seeds.
//
//     poller.onTick(); // sends what is due
//     poller.onMessage(sender, envelope); // false: not a reply
//
// Cost: one poll per interval, and further ones without a reply or while it has heard of a newer state. The interval
// grows with the number of pollers, so the traffic of a control instance doesn't depend on the size of the system. A
// reply has only what has changed. The state index and the versions of member records only increase, so an instance
// that lags or was partitioned cannot restore old ones.
#pragma once

#include "cluster/messages.h"
#include "cluster/state_transfer.h"
#include "core/clock.h"
#include "core/random.h"

#include <algorithm>
#include <array>
#include <functional>
#include <map>
#include <set>
#include <vector>

namespace cicadaward::cluster {

struct PollerOptions {
    std::vector<Endpoint> seeds; // control datagram endpoints
    bool wantsMembers = false;
    Duration minInterval = std::chrono::milliseconds(400); // between two polls
    Duration minIntervalPerPoller
        = std::chrono::milliseconds(4); // times the number of pollers: a lower bound of the interval
    Duration maxInterval = std::chrono::seconds(12); // a configuration must be in force within 19 s
    Duration initialWaitInterval
        = std::chrono::milliseconds(30); // without a state or while isWaitingForReply(); doubles
    Duration maxWaitInterval = std::chrono::milliseconds(60); // upper bound of the doubling
    Duration minRetryInterval
        = std::chrono::milliseconds(100); // without a reply, or while a newer state is known; then it doubles
    Duration minConfirmationInterval = std::chrono::milliseconds(50); // between two confirmations
};

constexpr size_t maxControls = 32;
constexpr Duration behindReportDelay = std::chrono::seconds(2);

class PollerOutput {
public:
    virtual ~PollerOutput() = default;
    virtual void sendMessage(Endpoint control, const Envelope&) = 0;
    virtual void contactLost() = 0;
    virtual void contactRenewed() = 0;
    // The state has been older than the newest one that the process has heard of for behindReportDelay, without
    // progress; and the end of that.
    virtual void stateBehind(LogIndex /* heard */) { }
    virtual void stateCaughtUp() { }

    // Called for the contents of a reply; a process overrides what it needs.
    virtual void onState(const ForwardingState&) { }
    virtual void onMemberRecord(const steering::MemberRecord&) { }
    virtual void onSilentMember(Endpoint) { }
    virtual steering::MemberDigest memberDigest() { return {}; }
    // A control instance has a record of this process with this incarnation.
    virtual void onKnownIncarnation(uint64_t) { }
    // The register has this start of this process's target.
    virtual void onRegistration(uint64_t /* incarnation */, uint64_t /* targetStartSequence */) { }
    // True while the process can't continue without a reply, for example before its start is registered.
    virtual bool isWaitingForReply() { return false; }
    // Members and state were complete and current at some time at or after `asked`.
    virtual void membersConfirmed(Time /* asked */) { }
    // Returns the announcement of this process; empty when it has none.
    virtual std::vector<steering::MemberRecord> ownRecords() { return {}; }
    // The administration API of the leader, and the Raft term of the instance that reports it.
    virtual void onLeader(Endpoint, uint64_t) { }
};

class Poller {
public:
    Poller(PollerOptions, const Clock&, Random&, PollerOutput&);

    void onTick();
    bool onMessage(Endpoint sender, const Envelope&);
    void onReply(Endpoint sender, const PollReply&);
    // Polls all control instances at once. Call it at the start and after each change of ownRecords().
    void pollAll();
    // Requests a call of membersConfirmed(), unless one was requested within minConfirmationInterval.
    void confirmMembers();
    // Another entry or agent has a state of this index. Polls at once when it is newer than any that was named before.
    void onNewerState(LogIndex);
    // Call for each frame of another entry or agent. While no control instance answers, or the state stays behind, asks
    // the sender which instances it polls, at most once a second: all that this process knows may have been replaced.
    void onPeer(Endpoint process);
    // Sets control instances that were discovered by other means. A reply with a state replaces them.
    void updateControls(const std::vector<Endpoint>& controls) { updateControls(0, controls); }

    LogIndex stateIndex() const { return m_state.index; }
    // The newest state index that a notice or a reply has named.
    LogIndex heardIndex() const { return std::max(m_heardIndex, m_state.index); }
    // How long the state has been older than that without progress; zero without a state.
    Duration behindFor() const;
    Duration sinceLastReply() const { return m_clock.now() - m_lastReply; }
    bool isInContact() const { return m_inContact; }
    const std::vector<Endpoint>& controls() const { return m_controls; }

private:
    void poll(Endpoint control, uint64_t confirmation);
    Endpoint nextControl();
    void sortControls();
    bool comesBefore(Endpoint, Endpoint) const;
    Duration interval() const;
    // Returns whether the reply brought this process nearer to the newest state.
    bool applyState(Endpoint sender, const PollReply&);
    std::optional<ForwardingState> stateFrom(const PollReply&) const;
    void applyMembers(Endpoint sender, const PollReply&);
    void onConfirmation(const PollReply&);
    void onNotice(Endpoint sender, const StateNotice&);
    void onControlsRequest(Endpoint sender);
    void onControls(Endpoint sender, const Controls&);
    bool isLost() const { return !m_inContact || behindFor() > behindReportDelay; }
    void setControls(const std::vector<Endpoint>& controls);
    bool isBehind() const { return m_state.index != 0 && m_heardIndex > m_state.index; }
    void hear(LogIndex);
    void reportBehind();
    void retryIfNeeded();
    void restartRetries();
    Endpoint nextSource();
    void updateControls(LogIndex index, const std::vector<Endpoint>& controls);

    const PollerOptions m_options;
    const Clock& m_clock;
    PollerOutput& m_output;
    const uint64_t m_salt;
    std::vector<Endpoint> m_controls; // in the order of comesBefore()
    std::map<Endpoint, TableVersion> m_tables; // by control instance
    // Control instances whose last reply had no state because they have no disk or are still empty. They are polled
    // less often.
    std::set<Endpoint> m_withoutState;
    uint64_t m_turns = 0;
    Endpoint m_lastPolled;
    Endpoint m_lastPolledInFullCycle; // last instance polled in a turn that skips none
    uint32_t m_pollers = 0; // number of pollers in the last reply
    Duration m_waitInterval;
    Time m_nextPoll;
    Time m_lastReply;
    bool m_inContact = false;
    ForwardingState m_state;
    StateDownload m_download; // of a state that is too large for one reply
    LogIndex m_heardIndex = 0; // newest state index in a notice or reply
    Time m_lastHeard; // of m_heardIndex
    Time m_lastProgress; // the last time when the state was not behind, or became newer
    bool m_awaitsReply = false; // no reply since the last poll at the interval
    Time m_nextRetry; // while the state is behind or no reply has come
    Duration m_retryInterval {};
    size_t m_unansweredRetries = 0; // since the last reply
    bool m_reportedBehind = false;
    uint64_t m_lastConfirmationNumber = 0; // number of the last requested confirmation
    std::array<Time, 16>
        m_confirmationTimes {}; // request times by number modulo the size; replies may be several intervals late
    Time m_nextConfirmation;
    Time m_nextControlsRequest;
    Endpoint m_askedForControls; // the process that may answer the last request; port 0: none
    LogIndex m_controlsIndex = 0; // state index of the reply that set m_controls
};

} // namespace cicadaward::cluster
