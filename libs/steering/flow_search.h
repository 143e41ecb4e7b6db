// How an entry finds the agent of an open flow that it does not know.
//
// Every entry derives the same order of members from the hash of a flow, and a new flow goes to one of the first
// members that could take it. So a flow lives near the front of the order whatever the size of the service, and what a
// search costs does not grow with it:
//
// - Walk. One frame names the first members of the order; they pass the packet on from one to the next until one takes
//   it. A frame that comes back continues with the members that have not been asked. Members that lately did not
//   answer would swallow the frame, so they come last; those near the front get a copy of their own.
// - Repeat. When the walk has brought no answer for a while, a frame was lost or a member is silent. The entry sends
//   the packet again, to the members near the front only: the target may have it and no reason to answer yet.
// - Broadcast. When the caller repeats the packet, all members are asked. Those near the front get a copy each; one
//   agent for each `maxFrameMembers` others, and later two, spread copies among them, since agents have links for that
//   and entries may not.
//
// Members are asked until all of them have denied the flow, which takes O(members) frames between agents and is rare.
//
//     FlowSearches searches(options, clock, members);
//     SearchStep step = searches.next(flow, route, {});
//     for (Endpoint agent : step.probes) ...
//     ...
//     step = searches.denied(flow, route, frame); // it came back
//     if (step.isEmpty())
//         members = searches.take(flow); // all of them have denied it
//
// Only what a member says ends a search: an entry or agent that hears nothing has learned nothing.
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
    size_t maxDirectProbes = 8; // members of the order that are asked directly by a broadcast
    size_t firstWalkMembers = 16; // members in the first frame of a walk; later ones have maxFrameMembers
    Duration firstWalkTimeout
        = std::chrono::milliseconds(30); // a walk without an answer by then is followed by a broadcast
    Duration laterWalkTimeout = std::chrono::milliseconds(100); // the same for a frame with maxFrameMembers
    Duration maxRetryAge = std::chrono::milliseconds(150); // the caller repeats an older packet itself
    size_t maxUnansweredPackets = 512; // that are kept for a repeat; other searches wait for the caller's
    Duration broadcastInterval = std::chrono::milliseconds(100); // between two broadcasts for one flow
    Duration searchLifetime = std::chrono::seconds(2); // denials are forgotten then, and the search starts anew
    size_t maxSearches = 8192;
    size_t maxDenials = 1 << 18;
};

// Frames that the packet goes out in.
struct SearchStep {
    struct FanOutGroup {
        Endpoint forwarder; // spreads the packet among
        std::vector<Endpoint> members; // at most maxFrameMembers
    };
    std::vector<Endpoint> walk; // empty: none
    std::vector<Endpoint> probes; // a frame each
    std::vector<FanOutGroup> groups; // a frame each
    bool isBroadcast = false;

    bool isEmpty() const { return walk.empty() && probes.empty() && groups.empty(); }
};

class FlowSearches {
public:
    FlowSearches(SearchOptions, const Clock&, const Members&);

    // The caller's next packet of the flow. `first`, if any, is asked first: the agent that was last known to hold it.
    SearchStep nextStep(const FlowId&, const Route&, Endpoint lastKnownAgent);
    // The members of a walk's frame do not hold the flow. `isCertain` is false when one of them could not rule it out.
    SearchStep onDenied(const FlowId&, const Route&, const std::vector<Endpoint>& members, bool isCertain);
    // The flow was found; returns how long that took since the first packet, when it was searched for.
    std::optional<Duration> onFlowFound(const FlowId&);
    // Ends a search that is exhausted and returns the members that have denied the flow; none when one of them was not
    // certain or some could not be kept.
    std::vector<Endpoint> takeDenials(const FlowId&);
    // The walk that took along a packet sent at `sent` may have brought no answer. Returns where the packet goes again.
    SearchStep retryStep(const FlowId&, const Route&, Time sent);
    bool hasSearch(const FlowId& flow) const { return m_searches.count(flow) != 0; }
    void cancel(const FlowId&);
    void expire();

    size_t size() const { return m_searches.size(); }

private:
    struct Search {
        Time started;
        Time lastWalk; // when the walk began or continued
        Time lastBroadcast;
        unsigned broadcasts = 0;
        bool isCertain = true; // each denial was, and all of them were kept
        absl::flat_hash_set<Endpoint> denied;
    };

    bool isOverdue(const Search&) const;
    Search* findOrStart(const FlowId&);
    SearchStep walkStep(const FlowId&, const Route&, const Search&, Endpoint lastKnownAgent) const;
    SearchStep broadcastStep(const FlowId&, const Route&, Search&) const;
    void erase(absl::flat_hash_map<FlowId, Search>::iterator);

    const SearchOptions m_options;
    const Clock& m_clock;
    const Members& m_members;
    absl::flat_hash_map<FlowId, Search> m_searches;
    size_t m_denials = 0; // in all searches
};

} // namespace cicadaward::steering
