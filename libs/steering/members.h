// Members of services as an entry or agent knows them, and the order in which a flow tries them.
//
// Records of one agent carry (incarnation, sequence); the newer one wins wherever two meet, so copies that arrive late
// or from several control instances never bring an old state back. Candidates are in rendezvous order: each member has
// a hash with the flow, the highest first. Losing or adding a member moves only its own flows, and every entry derives
// the same order, which is what lets a search find a flow at its first members. Cost: O(members of the service) a call,
// and O(limit log limit) for their order.
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
    Unknown, // the agent has not heard its target
    Ready,
    Draining,
    Gone, // silent; it may still hold flows
    Departed, // deregistered: it has ended, and its flows with it
};

const char* targetStateName(TargetState);

struct MemberRecord {
    Endpoint agent; // where frames go; identifies the member
    ServiceKey service;
    std::string dataCentre;
    TargetState state = TargetState::Unknown;
    uint64_t incarnation = 0; // of the agent's process, larger after a restart
    uint64_t sequence = 0; // of the record within the incarnation
    uint64_t targetStartSequence = 0; // the sequence with which the current start of the target was first announced

    // True when both were announced by one process for one start of the target.
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
        // A registered member that has not been heard is shown as unknown; its own announcement supersedes that.
        return state != TargetState::Unknown && other.state == TargetState::Unknown;
    }
};

// Short form of a set of records: equal sets have equal digests, and a bucket that differs names the members to
// compare.
using MemberDigest = std::vector<uint64_t>; // digestBuckets hashes, or none
constexpr size_t digestBuckets = 64;
size_t digestBucketOf(Endpoint agent);
void addToDigest(MemberDigest&, const MemberRecord&);

// A member that left is remembered this long as a place where old flows may live; flows live at most 60 s by default.
constexpr auto goneMemberRetention = std::chrono::seconds(90);
constexpr auto maxSuspicionDuration = std::chrono::seconds(8);
constexpr size_t maxMembers = 8192;

// How members that may hold a flow are ordered.
enum class CandidateOrder : uint8_t {
    ByFlowHash, // by their hash with the flow, whatever their state
    ResponsiveFirst, // those that lately did not answer or whose targets are silent come last
};

class Members {
public:
    explicit Members(const Clock& clock)
        : m_clock(clock)
    {
    }

    // Returns true when the record is new or newer and was taken. A new member beyond maxMembers is refused and
    // counted.
    bool update(const MemberRecord&);
    uint64_t refused() const { return m_refused; }
    // The agent did not answer frames; it is asked last until the time has passed, which doubles with each suspicion up
    // to maxSuspicionDuration. An answer ends it.
    void markSuspect(Endpoint agent, Duration minDuration);
    void markResponsive(Endpoint agent);
    void expire();

    size_t size() const { return m_members.size(); }
    MemberDigest digest() const;
    bool hasMembersOf(ServiceKey) const;
    const MemberRecord* find(Endpoint agent) const;
    // False when the agent lately did not answer, or its target is silent or has departed.
    bool isResponsive(Endpoint agent) const;

    // Members that may take a new flow of the service, best first.
    std::vector<Endpoint> candidatesForNewFlow(
        uint64_t flowHash, ServiceKey, const std::set<std::string>& evacuated, size_t limit) const;
    // Members that may hold a flow of the route: those of `first`, then those of the route's other services, without
    // those in `except` (null: none). Targets that have departed hold nothing.
    std::vector<Endpoint> candidatesForExistingFlow(uint64_t flowHash, const Route&, ServiceKey first, size_t limit,
        CandidateOrder = CandidateOrder::ResponsiveFirst, const absl::flat_hash_set<Endpoint>* except = nullptr) const;

private:
    struct MemberEntry {
        MemberRecord record;
        Time updated;
        Time suspectUntil;
        unsigned consecutiveSuspicions = 0; // since the last answer
    };
    struct RankedMember {
        int tier; // lower goes first
        uint64_t score; // higher goes first
        Endpoint agent;
    };

    bool isSuspect(const MemberEntry& entry) const { return entry.suspectUntil > m_clock.now(); }
    bool isResponsive(const MemberEntry&) const;
    // The members of a service; null when there are none.
    const std::vector<const MemberEntry*>* membersOfService(ServiceKey) const;
    void index(const MemberEntry&);
    void unindex(const MemberEntry&);
    static std::vector<Endpoint> agentsInOrder(std::vector<RankedMember>, size_t limit);

    const Clock& m_clock;
    absl::node_hash_map<Endpoint, MemberEntry> m_members; // by agent
    absl::flat_hash_map<ServiceKey, std::vector<const MemberEntry*>> m_byService;
    uint64_t m_refused = 0;
};

} // namespace cicadaward::steering
