// The members as one control instance hears of them from their agents. It is soft state: nothing is replicated, every
// agent announces itself to every control instance, and entries merge what they hear from all of them.
//
// Each change has a number, so a poll costs as much as has changed. Memory: at most steering::maxMembers records.
#pragma once

#include "cluster/messages.h"
#include "core/clock.h"

#include <map>
#include <vector>

namespace cicadaward::cluster {

constexpr Duration announceSilence = std::chrono::seconds(3);
constexpr Duration forgetAfter = std::chrono::seconds(90);

class MemberTable {
public:
    MemberTable(const Clock& clock, uint64_t owner)
        : m_clock(clock)
        , m_version { owner, 0 }
    {
    }

    // Returns the incarnation of the record that is held now; it is above the given one's when that came from a process
    // that has ended, or from one whose clock was set back before it started.
    uint64_t update(const steering::MemberRecord&);
    // Fills table, members and silent of the reply for a poller that has `known`.
    void answer(TableVersion known, PollReply&) const;
    // Drops members that have been silent for long.
    void expire();
    size_t size() const { return m_rows.size(); }

private:
    struct Row {
        steering::MemberRecord record;
        uint64_t number = 0; // of its last change
        Time heard;
    };

    const Clock& m_clock;
    TableVersion m_version;
    std::map<Endpoint, Row> m_rows; // by agent
};

} // namespace cicadaward::cluster
