// Decides which membership change the leader of a control group makes next, if any. Pure function of what is known.
//
// - An instance that says hello and is no member becomes a learner, then a voter once it has the log.
// - An identity whose address another one has registered since has lost its disk: it is removed at once.
// - A voter that has been silent for `silenceTimeout` is removed when a learner that has caught up can replace it, or
// when
//   more voters remain than the group needs to lose `toleratedLosses` disks at once. It may come back with its disk: it
//   says hello again and is added again.
#pragma once

#include "cluster/messages.h"
#include "cluster/state.h"
#include "core/clock.h"
#include "raft/raft.h"

#include <map>
#include <optional>

namespace cicadaward::cluster {

struct GroupOptions {
    size_t toleratedLosses = 1; // disks that may be lost at the same moment
    Duration silenceTimeout = std::chrono::milliseconds(2500);
    Duration helloLifetime = std::chrono::seconds(2); // a hello is current for this long
    size_t maxInstances = 12; // voters and learners; a hello beyond them waits
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
    // Keeps track of silent voters; call on each tick of the leader.
    void observe(const raft::RaftStatus&);
    void reset() { m_lastActive.clear(); } // leadership was gained or lost

    // A registration that the log should carry before the instance is added.
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
    std::optional<GroupChange> replaceSilentOrPromote(const raft::RaftStatus&) const;
    std::optional<GroupChange> addLearner(const raft::RaftStatus&, const State&) const;

    const GroupOptions m_options;
    const Clock& m_clock;
    std::map<InstanceId, ReceivedHello> m_hellos;
    std::map<InstanceId, Time> m_lastActive;
};

} // namespace cicadaward::cluster
