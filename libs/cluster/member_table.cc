#include "cluster/member_table.h"

#include <algorithm>

namespace cicadaward::cluster {

uint64_t MemberTable::update(const steering::MemberRecord& record)
{
    auto found = m_rows.find(record.agent);
    if (found == m_rows.end()) {
        if (m_rows.size() < steering::maxMembers)
            m_rows[record.agent] = { record, ++m_version.number, m_clock.now() };
        return record.incarnation;
    }
    Row& row = found->second;
    if (row.record.incarnation == record.incarnation || record.isNewerThan(row.record))
        row.heard = m_clock.now();
    if (!record.isNewerThan(row.record))
        return row.record.incarnation;
    row.record = record;
    row.number = ++m_version.number;
    return record.incarnation;
}

void MemberTable::answer(TableVersion known, PollReply& reply) const
{
    uint64_t since = known.owner == m_version.owner ? known.number : 0;
    std::vector<const Row*> changed;
    for (const auto& [key, row] : m_rows) {
        if (row.number > since)
            changed.push_back(&row);
    }
    // A cut-off reply carries the oldest changes and their last number, so the next poll continues there.
    std::sort(changed.begin(), changed.end(), [](const Row* a, const Row* b) { return a->number < b->number; });
    reply.table = m_version;
    if (changed.size() > maxReplyMembers) {
        changed.resize(maxReplyMembers);
        reply.table.number = changed.back()->number;
    }
    for (const Row* row : changed)
        reply.members.push_back(row->record);

    size_t heard = 0;
    for (const auto& [key, row] : m_rows) {
        if (m_clock.now() - row.heard <= announceSilence)
            ++heard;
        else if (row.record.state != steering::TargetState::Gone && reply.silent.size() < maxReplyMembers)
            reply.silent.push_back(row.record.agent);
    }
    // An instance that hears few of the agents is itself cut off and cannot judge them.
    if (2 * heard < m_rows.size())
        reply.silent.clear();
}

void MemberTable::expire()
{
    for (auto i = m_rows.begin(); i != m_rows.end();)
        i = m_clock.now() - i->second.heard > forgetAfter ? m_rows.erase(i) : std::next(i);
}

} // namespace cicadaward::cluster
