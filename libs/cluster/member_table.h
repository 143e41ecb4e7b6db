// The members as one control instance hears of them from their agents. Their states are soft: every agent announces
// itself to every control instance, and entries merge what they hear from all of them. Members of the replicated
// register always have a row, also before their agents have been heard.
//
// Each change has a number, so a poll costs as much as has changed. Memory: at most steering::maxMembers records.
#pragma once

#include "cluster/messages.h"
#include "core/clock.h"

#include <map>
#include <vector>

namespace cicadaward::cluster {

constexpr Duration minSilenceTimeout = std::chrono::seconds(3); // and two periods of the member's polls
constexpr Duration unregisteredRetention = std::chrono::seconds(90); // a member that is not registered
// A registered member that is silent may hold flows of a whole shift behind a cut.
constexpr Duration registeredRetention = std::chrono::hours(12);

// What the leader should write into the register.
struct RegisterChanges {
    std::vector<steering::MemberRecord> add;
    std::vector<steering::MemberRecord> remove;
};
constexpr size_t maxRegisterChanges = 512; // in one command

class MemberTable {
public:
    MemberTable(const Clock& clock, uint64_t owner)
        : m_clock(clock)
        , m_version { owner, 0 }
    {
    }

    // `period`: the time within which the member announces itself again.
    void update(const steering::MemberRecord&, Duration period);
    // The incarnation of the record that is held; 0 without one. It is above that of a live agent when the agent's
    // clock was set back before it started.
    uint64_t incarnationOf(Endpoint agent) const;
    // Takes the register's members; call after each change of it.
    void applyRegister(const MemberRegister&);
    // The register has dropped this start: departed, or silent for long (state Gone).
    void remove(const steering::MemberRecord&);
    RegisterChanges registerChanges(const MemberRegister&) const;
    // Fills table, members and silent of the reply for a poller that has `known`, or members of this digest. False when
    // members are left out.
    bool fillReply(TableVersion known, const steering::MemberDigest&, PollReply&) const;
    // Drops members that have been silent for long and are not registered.
    void expire();
    TableVersion version() const { return m_version; }
    size_t size() const { return m_rows.size(); }

private:
    struct Row {
        steering::MemberRecord record;
        uint64_t changeNumber = 0; // of its last change
        Time heard;
        Duration period {};
        bool announced = false; // to this instance, not only by the register
        bool registered = false;
    };
    void setRecord(Row&, const steering::MemberRecord&);
    bool addChangedMembers(uint64_t since, PollReply&) const;
    bool addDifferingMembers(const steering::MemberDigest&, PollReply&) const;
    void addSilentMembers(PollReply&) const;

    const Clock& m_clock;
    TableVersion m_version;
    std::map<Endpoint, Row> m_rows; // by agent
};

} // namespace cicadaward::cluster
