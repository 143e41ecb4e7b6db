// The member table of an entry: the targets of all services, and the order in which a flow tries them.
//
// Each record of an agent carries (incarnation, sequence), and the newer one supersedes the older, so records that
// arrive late or from several control instances never restore an older state. Candidates of a flow are in rendezvous
// order: by a hash of member and flow, highest first. Adding or removing a member moves only its own flows. Every entry
// computes the same order, so a search finds a flow at one of the first members. Cost of listing candidates: O(members
// of the service), plus O(limit log limit) for sorting.
#pragma once

#include "core/clock.h"
#include "steering/flow_packet.h"
#include "steering/route_table.h"

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>
#include <absl/container/node_hash_map.h>
#include <set>
#include <string>
#include <vector>

namespace cicadaward::steering {

enum class TargetState : uint8_t {
    Unknown, // the agent has had no heartbeat of its target
    Ready,
    Draining,
    Gone, // heartbeats stopped; the target may still hold flows
    Departed, // the target deregistered; it and its flows have ended
};

const char* targetStateName(TargetState);
// Why a target in this state gets no new flow, or null when it may get one.
const char* newFlowExclusion(TargetState);

struct MemberRecord {
    Endpoint agent; // receives frames for the member; identifies it
    ServiceKey service;
    std::string dataCentre;
    TargetState state = TargetState::Unknown;
    uint64_t incarnation = 0; // of the agent's process; increases with each restart
    uint64_t sequence = 0; // of the record; increases within an incarnation
    uint64_t targetStartSequence = 0; // `sequence` of the first record that announced the current start of the target

    // True when one agent process announced both records for the same start of the target.
    bool isSameTargetStart(const MemberRecord& other) const
    {
        return incarnation == other.incarnation && targetStartSequence == other.targetStartSequence;
    }
    bool isNewerThan(const MemberRecord& other) const
    {
        if (incarnation != other.incarnation)
            return incarnation > other.incarnation;
        if (sequence != other.sequence)
            return sequence > other.sequence;
        // A member that is known only from the register has state Unknown; the agent's own announcement supersedes it.
        return state != TargetState::Unknown && other.state == TargetState::Unknown;
    }
};

// Digest of a set of records. Equal sets have equal digests; when two digests differ, only the members of the buckets
// that differ need to be compared.
using MemberDigest = std::vector<uint64_t>; // digestBuckets hashes; empty: no record
constexpr size_t digestBuckets = 64;
size_t digestBucketOf(Endpoint agent);
void addToDigest(MemberDigest&, const MemberRecord&);

// A member whose target is gone or departed stays in the table for this long, because it may still hold flows. A flow
// lasts at most 60 s by default.
constexpr auto goneMemberRetention = std::chrono::seconds(90);
constexpr auto maxSuspicionDuration = std::chrono::seconds(8);
constexpr size_t maxMembers = 8192;

// Order of the members that may hold a flow.
enum class CandidateOrder : uint8_t {
    ByFlowHash, // by the hash of member and flow, regardless of state
    ResponsiveFirst, // as ByFlowHash, but unresponsive members (see isResponsive()) come last
};

// A member of a service that gets no new flow.
struct ExcludedMember {
    Endpoint agent;
    const char* reason;
};

class Members {
public:
    explicit Members(const Clock& clock)
        : m_clock(clock)
    {
    }

    // Returns true when the record was stored: its agent is new, or it is newer than the present record. A new member
    // beyond maxMembers is rejected and counted in refused().
    bool update(const MemberRecord&);
    uint64_t refused() const { return m_refused; }
    // The agent did not answer frames, so it is ordered last for a time. The time starts at `minDuration` and doubles
    // with each suspicion up to maxSuspicionDuration. markResponsive() ends it.
    void markSuspect(Endpoint agent, Duration minDuration);
    void markResponsive(Endpoint agent);
    // Removes members whose targets have been gone or departed for longer than goneMemberRetention.
    void expire();

    size_t size() const { return m_members.size(); }
    MemberDigest digest() const;
    bool hasMembersOf(ServiceKey) const;
    const MemberRecord* find(Endpoint agent) const;
    // False when the agent is suspected, or its target is gone or departed.
    bool isResponsive(Endpoint agent) const;
    bool isSuspect(Endpoint agent) const;

    // At most `limit` agents whose targets may accept a new flow of the service, in rendezvous order, suspected ones
    // last. Members in `evacuated` data centres are left out.
    std::vector<Endpoint> candidatesForNewFlow(
        uint64_t flowHash, ServiceKey, const std::set<std::string>& evacuated, size_t limit) const;
    // The agents of the service that candidatesForNewFlow() leaves out, by endpoint, with the reason of each.
    std::vector<ExcludedMember> excludedFromNewFlows(ServiceKey, const std::set<std::string>& evacuated) const;
    // At most `limit` agents whose targets may hold a flow of the route: those of the service `first`, then those of
    // the route's other and former services, without those in `except` (null: none). Departed targets hold no flows.
    std::vector<Endpoint> candidatesForExistingFlow(uint64_t flowHash, const Route&, ServiceKey first, size_t limit,
        CandidateOrder = CandidateOrder::ResponsiveFirst, const absl::flat_hash_set<Endpoint>* except = nullptr) const;

private:
    struct MemberEntry {
        MemberRecord record;
        Time updated;
        Time suspectUntil;
        unsigned consecutiveSuspicions = 0; // since the last answer of the agent
    };
    struct RankedMember {
        int tier; // lower comes first
        uint64_t score; // within a tier, higher comes first
        Endpoint agent;
    };

    bool isSuspect(const MemberEntry& entry) const { return entry.suspectUntil > m_clock.now(); }
    bool isResponsive(const MemberEntry&) const;
    // The members of a service; null when there are none.
    const std::vector<const MemberEntry*>* membersOfService(ServiceKey) const;
    void index(const MemberEntry&);
    void unindex(const MemberEntry&);
    static const char* newFlowExclusion(const MemberRecord&, const std::set<std::string>& evacuated);
    static std::vector<Endpoint> agentsInOrder(std::vector<RankedMember>, size_t limit);

    const Clock& m_clock;
    absl::node_hash_map<Endpoint, MemberEntry> m_members; // by agent
    absl::flat_hash_map<ServiceKey, std::vector<const MemberEntry*>> m_byService;
    uint64_t m_refused = 0;
};

} // namespace cicadaward::steering
