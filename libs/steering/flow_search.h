// Finds the agent of an open flow that is not in the entry's cache.
//
// Every entry computes the same order of members from the hash of a flow, and a new flow goes to one of the first
// members that accept it. A flow is therefore held near the front of the order regardless of the size of the service,
// and the cost of finding it does not grow with that size:
//
// - Walk. One frame lists the first members of the order; each forwards the packet to the next until one holds the
//   flow. When the frame is returned, the walk continues with members that have not been asked. Unresponsive members
//   would lose the frame, so they come last in the walk; those near the front get a probe in parallel.
// - Retry. When the walk is not answered in time, a frame was lost or a member does not respond. The entry sends the
//   packet again, but only to the members near the front: the target may have received it and have no reason to answer
//   yet.
// - Broadcast. When the caller retransmits the packet, all members are asked. Those near the front get a probe each;
//   the others are reached in groups of at most `maxFrameMembers`, where one agent (from the second broadcast on, two)
//   forwards the packet to the rest, because agents have the bandwidth for that and entries may not.
// - Busy link. While the entry's link is full of bulk transfers, the full packets of bulk routes go to `maxBusyProbes`
//   members directly. The others near the front are reached in a group.
//
// A member that cannot tell whether its target holds the flow may ask the target. While the agent of a located flow is
// out, that would only bring packets to targets that do not hold it. So until the located agent has denied the flow,
// only that agent may ask its target; the others answer from what they know.
//
// The search ends unsuccessfully only when all members have denied the flow. This takes O(members) frames between
// agents and is rare.
//
//     FlowSearches searches(options, clock, members);
//     SearchStep step = searches.nextStep(flow, route, {}); // a packet of the caller
//     for (Endpoint agent : step.probes) ...
//     ...
//     step = searches.onDenied(flow, route, members, true); // the frame of a walk was returned
//     if (step.isEmpty())
//         members = searches.takeDenials(flow); // all of them have denied the flow
//
// Only answers of members decide a search; a missing answer proves nothing, and without answers a search expires.
// Memory: at most `maxSearches` searches of about 120 bytes and `maxDenials` members of 8 bytes. Cost of a step:
// O(members of the route's services).
#pragma once

#include "core/clock.h"
#include "steering/frame.h"
#include "steering/members.h"
#include "steering/route_table.h"

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>
#include <optional>
#include <vector>

namespace cicadaward::steering {

struct SearchOptions {
    size_t maxDirectProbes = 8; // front of the order: members that a broadcast or retry asks in a frame each
    size_t maxBusyProbes = 2; // the same for a bulk route on a busy link; new flows go to these members first
    size_t firstWalkMembers = 16; // in the first frame of a walk; later frames list maxFrameMembers
    Duration firstWalkTimeout = std::chrono::milliseconds(30); // from the first frame of a walk to a retry or broadcast
    Duration laterWalkTimeout = std::chrono::milliseconds(100); // the same for a frame of maxFrameMembers
    Duration maxRetryAge = std::chrono::milliseconds(150); // older packets are retransmitted by the caller
    size_t maxUnansweredPackets = 512; // kept for a retry; other searches wait for the caller's retransmission
    Duration broadcastInterval = std::chrono::milliseconds(100); // minimum, between two broadcasts for one flow
    Duration searchLifetime
        = std::chrono::seconds(2); // then its denials expire, and a search for the flow starts from the front
    size_t maxSearches = 8192;
    size_t maxDenials = 1 << 18;
};

// The frames in which the entry sends a packet of the flow.
struct SearchStep {
    struct FanOutGroup {
        Endpoint forwarder; // gets the FanOut frame; one of `members`
        std::vector<Endpoint> members; // at most maxFrameMembers
    };
    std::vector<Endpoint> walk; // members of one Deliver frame, in order; empty: no such frame
    std::vector<Endpoint> probes; // a Probe frame each
    std::vector<FanOutGroup> groups; // a FanOut frame each
    bool isBroadcast = false;
    Endpoint located; // the only member that may ask its target; port 0: all members may

    bool isEmpty() const { return walk.empty() && probes.empty() && groups.empty(); }
};

class FlowSearches {
public:
    FlowSearches(SearchOptions, const Clock&, const Members&);

    // The caller has sent a packet of the flow, which is located at this agent unless its port is 0.
    SearchStep nextStep(const FlowId&, const Route&, Endpoint located);
    // The members of a walk's frame have denied the flow. `isCertain` is false when one of them could not rule out that
    // its target holds it. Returns the next step of the walk; empty when all members have been asked. All members may
    // ask their targets from now on.
    SearchStep onDenied(const FlowId&, const Route&, const std::vector<Endpoint>& members, bool isCertain);
    // A member holds the flow: ends its search and returns the time since the start, or nothing when there was no
    // search.
    std::optional<Duration> onFlowFound(const FlowId&);
    // Ends a search in which all members were asked and returns those that denied the flow; none when one of them was
    // uncertain or `maxDenials` was exceeded.
    std::vector<Endpoint> takeDenials(const FlowId&);
    // Returns the frames of a retry for a packet whose walk began at `sent`; empty when the walk is not overdue or the
    // packet is older than `maxRetryAge`.
    SearchStep retryStep(const FlowId&, const Route&, Time sent);
    // Call when the entry's link becomes full of bulk transfers, and when it no longer is.
    void setLinkBusy(bool isBusy) { m_isLinkBusy = isBusy; }
    bool hasSearch(const FlowId& flow) const { return m_searches.count(flow) != 0; }
    void cancel(const FlowId&);
    void expire();
    // Replaces SearchOptions::firstWalkTimeout, for example while answers are slow.
    void setFirstWalkTimeout(Duration timeout) { m_firstWalkTimeout = timeout; }
    Duration firstWalkTimeout() const { return m_firstWalkTimeout; }

    size_t size() const { return m_searches.size(); }

private:
    struct Search {
        Time started;
        Time lastWalk; // start of the walk, or the newest denial
        Time lastBroadcast;
        unsigned broadcasts = 0;
        Endpoint located; // the agent at which the entry has located the flow; port 0: none
        bool isCertain = true; // each denial was certain, and all of them were stored
        absl::flat_hash_set<Endpoint> denied;
    };

    bool isOverdue(const Search&) const;
    size_t maxProbes(const Route&) const;
    void addGroups(
        SearchStep&, const std::vector<Endpoint>& members, size_t first, uint64_t choice, unsigned round) const;
    Search* findOrStart(const FlowId&);
    SearchStep walkStep(const FlowId&, const Route&, const Search&) const;
    SearchStep broadcastStep(const FlowId&, const Route&, Search&) const;
    void erase(absl::flat_hash_map<FlowId, Search>::iterator);

    const SearchOptions m_options;
    const Clock& m_clock;
    const Members& m_members;
    Duration m_firstWalkTimeout;
    absl::flat_hash_map<FlowId, Search> m_searches;
    size_t m_denials = 0; // in all searches
    bool m_isLinkBusy = false;
};

} // namespace cicadaward::steering
