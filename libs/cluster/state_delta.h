// What changed between two forwarding states, so that a change costs its own size and not that of the configuration.
//
//     ForwardingDelta delta = deltaBetween(older, newer);
//     ...
//     if (!applyDelta(delta, state))
//         askForWholeState(); // it starts from another state
//
// A process that has the state of delta.from and applies the delta has exactly the state of delta.index.
#pragma once

#include "cluster/state.h"

#include <set>
#include <string>
#include <vector>

namespace cicadaward::cluster {

struct ForwardingDelta {
    LogIndex baseIndex = 0;
    LogIndex index = 0;
    uint64_t version = 0; // of the configuration
    std::chrono::milliseconds flowIdleLimit { 0 };
    std::vector<steering::Route> routes; // new or changed, by address
    std::vector<Endpoint> removedRoutes; // addresses
    std::vector<steering::ServicePolicy> services; // new or changed, by key
    std::vector<steering::ServiceKey> removedServices;
    std::set<std::string> evacuatedDataCentres; // all data centres that are out
};

ForwardingDelta deltaBetween(const ForwardingState& from, const ForwardingState& to);
// False, and nothing changed, when the state is not that of delta.from.
bool applyDelta(const ForwardingDelta&, ForwardingState&);

// The newest changes, bounded in number, for processes that are a few changes behind.
class DeltaHistory {
public:
    explicit DeltaHistory(size_t limit)
        : m_limit(limit)
    {
    }

    // Call with each state in order.
    void add(const ForwardingState&);
    // The changes that lead from the state of this index to the newest one; empty when they are not all known.
    std::vector<ForwardingDelta> since(LogIndex) const;

private:
    const size_t m_limit;
    ForwardingState m_newest;
    std::vector<ForwardingDelta> m_deltas; // oldest first, each one starts where the one before ends
};

} // namespace cicadaward::cluster
