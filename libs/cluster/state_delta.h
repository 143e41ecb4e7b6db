// The difference between two forwarding states, so that sending a change costs its own size instead of that of the
// whole configuration.
//
//     ForwardingDelta delta = deltaBetween(older, newer);
//     ...
//     if (!applyDelta(delta, state))
//         requestWholeState(); // the delta has another base
//
// Applying the delta to the state of delta.baseIndex gives exactly the state of delta.index.
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
    std::vector<steering::Route> routes; // new or changed
    std::vector<Endpoint> removedRoutes; // addresses
    std::vector<steering::ServicePolicy> services; // new or changed
    std::vector<steering::ServiceKey> removedServices;
    std::set<std::string> evacuatedDataCentres; // the whole set, not a difference
};

ForwardingDelta deltaBetween(const ForwardingState& from, const ForwardingState& to);
// Returns false and leaves the state unchanged when its index is not delta.baseIndex.
bool applyDelta(const ForwardingDelta&, ForwardingState&);

// The newest deltas, at most `limit`, for processes that are a few changes behind.
class DeltaHistory {
public:
    explicit DeltaHistory(size_t limit)
        : m_limit(limit)
    {
    }

    // Appends the delta from the previous state. Call it with each state in order.
    void add(const ForwardingState&);
    // Returns the deltas from the state of this index to the newest one; empty when the history doesn't reach back to
    // it.
    std::vector<ForwardingDelta> since(LogIndex) const;

private:
    const size_t m_limit;
    ForwardingState m_newest;
    std::vector<ForwardingDelta> m_deltas; // oldest first; the base of each is the state after the previous one
};

} // namespace cicadaward::cluster
