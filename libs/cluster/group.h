// Decides which membership change the leader of a control group makes next, if any. Depends only on the hellos, the
// Raft status and the replicated state.
//
// - An instance that sends hellos and is not a member becomes a learner, and a voter once it has caught up.
// - An instance ID whose address was since registered under another ID has lost its disk. It is removed at once.
// - A voter that has been silent for `silenceTimeout` is removed when the group has more voters than it needs to lose
//   `toleratedLosses` disks at once. A learner that has caught up is promoted first, so the group never gets smaller
//   than that. If the silent instance returns with its disk, it sends hellos and is added again.
#pragma once

#include "cluster/messages.h"
#include "cluster/state.h"
#include "core/clock.h"
#include "raft/raft.h"

#include <map>
#include <optional>

namespace cicadaward::cluster {

struct GroupOptions {
    size_t toleratedLosses = 1; // simultaneous disk losses that the group survives
    Duration silenceTimeout = std::chrono::milliseconds(2500);
    Duration helloLifetime = std::chrono::seconds(2); // a hello older than this is ignored
    size_t maxInstances = 12; // voters and learners; further instances are not added
};

struct GroupChange {
    raft::MembershipChange change = raft::MembershipChange::AddLearner;
    InstanceId instance;
    const char* reason = "";
};

class Group {
public:
    Group(GroupOptions options, const Clock& clock)
        : m_options(options)
        , m_clock(clock)
    {
    }

    void onHello(const Hello& hello) { m_hellos[hello.instance] = { hello.address, m_clock.now() }; }
    // Records which voters are active and drops old hellos. Call it on each membership check of the leader.
    void observe(const raft::RaftStatus&);
    void reset() { m_lastActive.clear(); } // call it when leadership is gained or lost

    // An address to register in the log; an instance is added only after its address is registered.
    std::optional<std::pair<InstanceId, InstanceAddress>> nextRegistration(const State&) const;
    std::optional<GroupChange> nextChange(const raft::RaftStatus&, const State&) const;

private:
    struct ReceivedHello {
        InstanceAddress address;
        Time at;
    };
    bool isCurrent(const ReceivedHello& hello) const { return m_clock.now() - hello.at <= m_options.helloLifetime; }
    bool isSilent(InstanceId) const;
    std::optional<GroupChange> removeRetired(const raft::RaftStatus&, const State&) const;
    std::optional<GroupChange> promoteOrRemoveSilent(const raft::RaftStatus&) const;
    std::optional<GroupChange> addLearner(const raft::RaftStatus&, const State&) const;

    const GroupOptions m_options;
    const Clock& m_clock;
    std::map<InstanceId, ReceivedHello> m_hellos;
    std::map<InstanceId, Time> m_lastActive;
};

} // namespace cicadaward::cluster
