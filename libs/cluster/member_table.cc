#include "cluster/member_table.h"

#include <algorithm>

namespace cicadaward::cluster {

namespace {

    bool isLive(steering::TargetState state)
    {
        return state != steering::TargetState::Gone && state != steering::TargetState::Departed;
    }

    steering::MemberRecord withState(steering::MemberRecord record, steering::TargetState state)
    {
        record.state = state;
        return record;
    }

} // namespace

void MemberTable::update(const steering::MemberRecord& record, Duration period)
{
    auto found = m_rows.find(record.agent);
    if (found == m_rows.end()) {
        if (m_rows.size() >= steering::maxMembers)
            return;
        found = m_rows.emplace(record.agent, Row()).first;
        setRecord(found->second, record);
    }
    Row& row = found->second;
    if (row.record.incarnation == record.incarnation) {
        row.heard = m_clock.now();
        row.period = period;
        row.announced = true;
    }
    if (record.isNewerThan(row.record))
        setRecord(row, record);
}

uint64_t MemberTable::incarnationOf(Endpoint agent) const
{
    auto found = m_rows.find(agent);
    return found == m_rows.end() ? 0 : found->second.record.incarnation;
}

void MemberTable::setRecord(Row& row, const steering::MemberRecord& record)
{
    row.record = record;
    row.changeNumber = ++m_version.number;
    row.heard = m_clock.now();
}

void MemberTable::applyRegister(const MemberRegister& members)
{
    for (const auto& [agent, registered] : members) {
        Row& row = m_rows[agent];
        row.registered = true;
        if (row.changeNumber != 0 && !registered.isNewerThan(row.record))
            continue;
        setRecord(row, withState(registered, steering::TargetState::Unknown));
    }
    for (auto& [agent, row] : m_rows)
        row.registered = row.registered && members.count(agent) != 0;
}

// Entries may have received the removed record from this table, so it is replaced by a tombstone instead of erased. A
// start that was removed because it was silent may still run. The tombstone has the next incarnation, so it supersedes
// the member's announcements until the member learns of it and announces a higher one.
void MemberTable::remove(const steering::MemberRecord& removed)
{
    auto found = m_rows.find(removed.agent);
    if (found == m_rows.end())
        return;
    steering::MemberRecord tombstone = removed;
    tombstone.incarnation += removed.state == steering::TargetState::Departed ? 0 : 1;
    tombstone.state = steering::TargetState::Departed;
    if (tombstone.isNewerThan(found->second.record))
        setRecord(found->second, tombstone);
}

RegisterChanges MemberTable::registerChanges(const MemberRegister& members) const
{
    RegisterChanges changes;
    for (const auto& [agent, row] : m_rows) {
        if (changes.add.size() + changes.remove.size() == maxRegisterChanges)
            break;
        const steering::MemberRecord& record = row.record;
        auto found = members.find(agent);
        bool listed = found != members.end() && found->second.isSameTargetStart(record);
        if (record.state == steering::TargetState::Ready && !listed)
            changes.add.push_back(record);
        else if (record.state == steering::TargetState::Departed && listed)
            changes.remove.push_back(withState(found->second, steering::TargetState::Departed));
        else if (found != members.end() && m_clock.now() - row.heard > registeredRetention)
            changes.remove.push_back(withState(found->second, steering::TargetState::Gone));
    }
    return changes;
}

bool MemberTable::fillReply(TableVersion known, const steering::MemberDigest& digest, PollReply& reply) const
{
    bool complete = false;
    if (known.owner == m_version.owner)
        complete = addChangedMembers(known.number, reply);
    else if (digest.size() == steering::digestBuckets)
        complete = addDifferingMembers(digest, reply);
    else
        reply.wantsDigest = true;
    addSilentMembers(reply);
    return complete;
}

// A truncated reply has the oldest changes and the number of the last of them, so the next poll continues there.
bool MemberTable::addChangedMembers(uint64_t since, PollReply& reply) const
{
    std::vector<const Row*> changed;
    for (const auto& [key, row] : m_rows) {
        if (row.changeNumber > since)
            changed.push_back(&row);
    }
    std::sort(
        changed.begin(), changed.end(), [](const Row* a, const Row* b) { return a->changeNumber < b->changeNumber; });
    reply.table = m_version;
    bool complete = changed.size() <= maxReplyMembers;
    if (!complete) {
        changed.resize(maxReplyMembers);
        reply.table.number = changed.back()->changeNumber;
    }
    for (const Row* row : changed)
        reply.members.push_back(row->record);
    return complete;
}

// A truncated reply has no table version, so the next poll sends a digest again, in which fewer buckets differ.
bool MemberTable::addDifferingMembers(const steering::MemberDigest& digest, PollReply& reply) const
{
    steering::MemberDigest own(steering::digestBuckets);
    for (const auto& [key, row] : m_rows)
        steering::addToDigest(own, row.record);
    for (const auto& [key, row] : m_rows) {
        size_t bucket = steering::digestBucketOf(row.record.agent);
        if (own[bucket] == digest[bucket])
            continue;
        if (reply.members.size() == maxReplyMembers)
            return false;
        reply.members.push_back(row.record);
    }
    reply.table = m_version;
    return true;
}

void MemberTable::addSilentMembers(PollReply& reply) const
{
    size_t heard = 0;
    for (const auto& [key, row] : m_rows) {
        if (m_clock.now() - row.heard <= std::max(minSilenceTimeout, 2 * row.period))
            ++heard;
        else if (row.announced && isLive(row.record.state) && reply.silent.size() < maxReplyMembers)
            reply.silent.push_back(row.record.agent);
    }
    // An instance that hears from fewer than half of the agents is probably cut off itself and reports none as silent.
    if (2 * heard < m_rows.size())
        reply.silent.clear();
}

void MemberTable::expire()
{
    for (auto i = m_rows.begin(); i != m_rows.end();) {
        const Row& row = i->second;
        bool forgotten = !row.registered && m_clock.now() - row.heard > unregisteredRetention;
        i = forgotten ? m_rows.erase(i) : std::next(i);
    }
}

} // namespace cicadaward::cluster
