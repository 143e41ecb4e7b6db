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

#include <deque>
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

// The newest deltas, for processes that are a few changes behind.
class DeltaHistory {
public:
    // Appends the delta from the previous state. Call it with each state in order.
    void add(const ForwardingState&);
    // Drops the oldest deltas until the others have at most this many bytes together, encoded.
    void trim(size_t maxBytes);
    // Returns the deltas that follow the state of this index, oldest first, as many as have at most `maxBytes`
    // together; none when the history doesn't reach back to it.
    std::vector<ForwardingDelta> since(LogIndex, size_t maxBytes) const;

private:
    struct Item {
        ForwardingDelta delta;
        size_t bytes = 0; // encoded
    };
    ForwardingState m_newest;
    std::deque<Item> m_items; // oldest first; the base of each is the state after the previous one
    size_t m_bytes = 0;
};

} // namespace cicadaward::cluster
