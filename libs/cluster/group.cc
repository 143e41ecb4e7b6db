#include "cluster/group.h"

#include <algorithm>

namespace cicadaward::cluster {

void Group::observe(const raft::RaftStatus& status)
{
    for (const raft::InstanceStatus& instance : status.instances) {
        if (instance.isActive || m_lastActive.count(instance.id) == 0)
            m_lastActive[instance.id] = m_clock.now();
    }
    for (auto i = m_hellos.begin(); i != m_hellos.end();)
        i = isCurrent(i->second) ? std::next(i) : m_hellos.erase(i);
}

bool Group::isSilent(InstanceId id) const
{
    auto found = m_lastActive.find(id);
    return found != m_lastActive.end() && m_clock.now() - found->second >= m_options.silenceTimeout;
}

std::optional<std::pair<InstanceId, InstanceAddress>> Group::nextRegistration(const State& state) const
{
    for (const auto& [id, hello] : m_hellos) {
        auto known = state.instances().find(id);
        bool registered = known != state.instances().end() && known->second == hello.address;
        if (isCurrent(hello) && !registered && !state.isRetired(id))
            return std::make_pair(id, hello.address);
    }
    return std::nullopt;
}

std::optional<GroupChange> Group::nextChange(const raft::RaftStatus& status, const State& state) const
{
    if (status.hasPendingChange)
        return std::nullopt;
    if (auto change = removeRetired(status, state))
        return change;
    if (auto change = promoteOrRemoveSilent(status))
        return change;
    return addLearner(status, state);
}

std::optional<GroupChange> Group::removeRetired(const raft::RaftStatus& status, const State& state) const
{
    for (const raft::InstanceStatus& instance : status.instances) {
        if (state.isRetired(instance.id))
            return GroupChange { raft::MembershipChange::Remove, instance.id, "its disk was lost" };
    }
    return std::nullopt;
}

// A silent voter may come back with its disk, so it counts among the disks of which `toleratedLosses` may be lost. That
// many losses leave a quorum only if there are at least twice as many voters and one more, at every moment.
std::optional<GroupChange> Group::promoteOrRemoveSilent(const raft::RaftStatus& status) const
{
    size_t voters = 0;
    for (const raft::InstanceStatus& instance : status.instances) {
        if (!instance.isVoter && instance.isActive && instance.isCaughtUp)
            return GroupChange { raft::MembershipChange::Promote, instance.id, "has caught up" };
        voters += instance.isVoter ? 1 : 0;
    }
    const size_t needed = 2 * m_options.toleratedLosses + 1;
    for (const raft::InstanceStatus& instance : status.instances) {
        if (isSilent(instance.id) && instance.id != status.self && (!instance.isVoter || voters > needed))
            return GroupChange { raft::MembershipChange::Remove, instance.id, "silent" };
    }
    return std::nullopt;
}

std::optional<GroupChange> Group::addLearner(const raft::RaftStatus& status, const State& state) const
{
    if (status.instances.size() >= m_options.maxInstances)
        return std::nullopt;
    for (const auto& [id, hello] : m_hellos) {
        bool member = std::any_of(status.instances.begin(), status.instances.end(),
            [id = id](const raft::InstanceStatus& instance) { return instance.id == id; });
        if (!member && isCurrent(hello) && !state.isRetired(id) && state.instances().count(id) != 0)
            return GroupChange { raft::MembershipChange::AddLearner, id, "sent a hello" };
    }
    return std::nullopt;
}

} // namespace cicadaward::cluster
