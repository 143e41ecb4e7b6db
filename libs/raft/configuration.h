// Cluster membership. Voters count towards a quorum; learners receive the log but do not vote (non-voting members in
// the Raft dissertation).
#pragma once

#include "store/records.h"

#include <algorithm>
#include <vector>

namespace cicadaward::raft {

struct Configuration {
    std::vector<InstanceId> voters; // sorted
    std::vector<InstanceId> learners; // sorted, none of them a voter

    bool isVoter(InstanceId id) const { return std::binary_search(voters.begin(), voters.end(), id); }
    bool isLearner(InstanceId id) const { return std::binary_search(learners.begin(), learners.end(), id); }
    bool has(InstanceId id) const { return isVoter(id) || isLearner(id); }
    size_t quorumSize() const { return voters.size() / 2 + 1; }
    size_t size() const { return voters.size() + learners.size(); }

    friend bool operator==(const Configuration& a, const Configuration& b)
    {
        return a.voters == b.voters && a.learners == b.learners;
    }
};

enum class MembershipChange : uint8_t {
    AddLearner, // the instance starts to receive the log
    Promote, // a learner that is caught up becomes a voter
    Remove, // the instance, a voter or a learner, leaves the configuration
};

} // namespace cicadaward::raft
