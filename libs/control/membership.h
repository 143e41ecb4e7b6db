// Table of live members at the leader of the control plane, built from announcements. Soft state: it is not written to
// the log, and a new leader rebuilds it within one lease.
//
//     Membership membership(clock, settings);
//     AnnounceStatus status = membership.announce(record);
//     membership.tick(hasQuorum); // removes members whose lease has run out
//     if (membership.revision() != published)
//         publish(membership.members());
//
// A member is removed one lease after its last announcement arrived. The member counts its own lease from the time it
// sent that announcement, so it has stopped placing new flows before it is removed. Removing late is safe, so leases
// are extended whenever this process may have missed announcements: without a quorum, and after a pause of this
// process.
#pragma once

#include "control/messages.h"
#include "core/clock.h"

#include <map>

namespace cicadaward::control {

struct MembershipSettings {
    size_t maxMembers = 8192;
    Duration flapWindow = std::chrono::seconds(60);
    Duration dampingTime = std::chrono::seconds(10);
    Duration duplicateWindow = std::chrono::seconds(10);
    // One or two announcements of a replaced process may still be in flight.
    unsigned duplicateCount = 3;
    // The process counts as paused when more time than this passes between two ticks.
    Duration pauseThreshold = std::chrono::milliseconds(500);
};

// Limits on the announced interval; the lease is three intervals.
constexpr uint32_t minIntervalMs = 100;
constexpr uint32_t maxIntervalMs = 10000;

// Accepted when names and values are in range.
AnnounceStatus checkRecord(const MemberRecord& record);

class Membership {
public:
    struct TrackedMember {
        MemberRecord record;
        Time leaseEnd;
        Time reachableSince; // time since which the member has been reachable without interruption
        bool isDamped = false;
        Epoch epoch; // that the member last acknowledged
    };

    Membership(const Clock& clock, MembershipSettings settings)
        : m_clock(clock)
        , m_settings(settings)
    {
    }

    // Forgets everything; called when leadership begins or ends.
    void reset();

    AnnounceStatus announce(const MemberRecord& record);
    // Renews the lease; false when the member is unknown or its record has another fingerprint.
    bool renew(MemberId id, uint16_t fingerprint);
    // The same for the only member whose id has this upper half and whose record has this fingerprint.
    bool renewByPrefix(uint32_t upperHalf, uint16_t fingerprint);
    void acknowledge(MemberId id, Epoch epoch);
    void tick(bool hasQuorum);

    // Changes whenever members() would be published differently.
    uint64_t revision() const { return m_revision; }
    const std::map<MemberId, TrackedMember>& members() const { return m_members; }
    // The announced state, but Warming instead of Warm while the member is damped.
    static MemberState effectiveState(const TrackedMember& entry);

    size_t countBehind(Epoch epoch, std::vector<std::string>& names, size_t maxNames) const;
    std::vector<std::string> takeFindings();

private:
    struct Removal {
        Time last;
        std::optional<Time> previous;
    };
    struct Departure {
        Incarnation process;
        Time at;
    };
    struct Duplicate {
        Time first;
        unsigned count = 0;
        bool isReported = false;
    };

    static Duration lease(const MemberRecord& record) { return std::chrono::milliseconds(3 * record.intervalMs); }
    bool shouldDamp(MemberId id) const;
    void recordRemoval(MemberId id);
    void recordOlderIncarnation(MemberId id, const MemberRecord& older, const MemberRecord& known);
    void extendLeases();
    void pruneExpiredRecords();

    const Clock& m_clock;
    MembershipSettings m_settings;
    std::map<MemberId, TrackedMember> m_members;
    std::map<MemberId, Removal> m_removals; // within the flap window
    std::map<MemberId, Departure> m_departures; // processes that left, within the flap window
    std::map<MemberId, Duplicate> m_duplicates; // within the duplicate window
    std::vector<std::string> m_newFindings;
    std::optional<Time> m_lastTick;
    bool m_isExpirySuspended = false;
    uint64_t m_revision = 1;
};

} // namespace cicadaward::control
