// The members as one control instance knows them from the announcements of their agents. This is soft state: every
// agent announces itself to every control instance, and entries merge the tables of all of them. Members of the
// replicated register always have a row, even before their agents have announced themselves to this instance.
//
// Changes are numbered, so the reply to a poll is proportional to what has changed. Memory: at most
// steering::maxMembers records.
#pragma once

#include "cluster/messages.h"
#include "core/clock.h"

#include <map>
#include <vector>

namespace cicadaward::cluster {

constexpr Duration minSilenceTimeout
    = std::chrono::seconds(3); // or two poll periods of the member, whichever is longer
constexpr Duration unregisteredRetention = std::chrono::seconds(90); // of a silent member that is not registered
// A silent registered member may be behind a network partition and still hold flows that last a whole shift.
constexpr Duration registeredRetention = std::chrono::hours(12);

// The changes that the leader should propose to the register.
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
    // The incarnation of the agent's record; 0 without one. It is above that of the running agent when the agent's
    // clock was set back before it started.
    uint64_t incarnationOf(Endpoint agent) const;
    // Marks the members of the register as registered and adds missing ones. Call it after each change of the register.
    void applyRegister(const MemberRegister&);
    // Handles the removal of this start from the register: the member departed, or was silent for too long (state
    // Gone).
    void remove(const steering::MemberRecord&);
    RegisterChanges registerChanges(const MemberRegister&) const;
    // Fills table, members, silent and wantsDigest of the reply for a poller that has version `known` of this table or
    // members with this digest. Returns false when the reply doesn't have all the members that the poller lacks.
    bool fillReply(TableVersion known, const steering::MemberDigest&, PollReply&) const;
    // Drops unregistered members that have been silent for unregisteredRetention.
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
