#include "control/membership.h"

#include <algorithm>

namespace cicadaward::control {

AnnounceStatus checkRecord(const MemberRecord& record)
{
    bool valid = !record.name.empty() && record.name.size() <= 63 && record.service.size() <= 63
        && record.dataCentre.size() <= 63 && record.role <= MemberRole::Agent && record.state <= MemberState::TargetDown
        && record.intervalMs >= minIntervalMs && record.intervalMs <= maxIntervalMs
        && (record.role == MemberRole::Entry) == record.service.empty();
    return valid ? AnnounceStatus::Accepted : AnnounceStatus::Invalid;
}

void Membership::reset()
{
    m_members.clear();
    m_removals.clear();
    m_departures.clear();
    m_duplicates.clear();
    m_lastTick.reset();
    m_isExpirySuspended = false;
    ++m_revision;
}

AnnounceStatus Membership::announce(const MemberRecord& record)
{
    if (checkRecord(record) != AnnounceStatus::Accepted)
        return AnnounceStatus::Invalid;
    MemberId id = memberIdOf(record.name);
    Time now = m_clock.now();
    auto found = m_members.find(id);
    if (found == m_members.end()) {
        if (record.leaving)
            return AnnounceStatus::Accepted;
        // An announcement that was in flight when the process left must not register it again.
        auto departed = m_departures.find(id);
        if (departed != m_departures.end() && record.process <= departed->second.process)
            return AnnounceStatus::OlderIncarnation;
        if (m_members.size() >= m_settings.maxMembers)
            return AnnounceStatus::TableFull;
        m_members.emplace(id, TrackedMember { record, now + lease(record), now, shouldDamp(id), Epoch() });
        ++m_revision;
        return AnnounceStatus::Accepted;
    }
    TrackedMember& entry = found->second;
    if (record.process < entry.record.process) {
        recordOlderIncarnation(id, record, entry.record);
        return AnnounceStatus::OlderIncarnation;
    }
    bool restarted = record.process > entry.record.process;
    if (!restarted && record.revision < entry.record.revision)
        return AnnounceStatus::Accepted; // overtaken by a later record of the same process
    if (record.leaving) {
        if (m_departures.size() < m_settings.maxMembers)
            m_departures[id] = { record.process, now };
        m_members.erase(found);
        ++m_revision;
        return AnnounceStatus::Accepted;
    }
    if (restarted)
        entry.epoch = Epoch();
    if (restarted || record.revision > entry.record.revision) {
        entry.record = record;
        ++m_revision;
    }
    entry.leaseEnd = std::max(entry.leaseEnd, now + lease(record));
    return AnnounceStatus::Accepted;
}

bool Membership::renew(MemberId id, uint16_t fingerprint)
{
    auto found = m_members.find(id);
    if (found == m_members.end())
        return false;
    TrackedMember& entry = found->second;
    if (recordFingerprint(entry.record.process, entry.record.revision) != fingerprint)
        return false;
    entry.leaseEnd = std::max(entry.leaseEnd, m_clock.now() + lease(entry.record));
    return true;
}

bool Membership::renewByPrefix(uint32_t upperHalf, uint16_t fingerprint)
{
    auto end = m_members.upper_bound(MemberId(uint64_t { upperHalf } << 32 | UINT32_MAX));
    auto match = end;
    for (auto it = m_members.lower_bound(MemberId(uint64_t { upperHalf } << 32)); it != end; ++it) {
        if (recordFingerprint(it->second.record.process, it->second.record.revision) != fingerprint)
            continue;
        if (match != end)
            return false;
        match = it;
    }
    return match != end && renew(match->first, fingerprint);
}

void Membership::acknowledge(MemberId id, Epoch epoch)
{
    auto found = m_members.find(id);
    if (found != m_members.end())
        found->second.epoch = std::max(found->second.epoch, epoch);
}

void Membership::tick(bool hasQuorum)
{
    Time now = m_clock.now();
    bool paused = m_lastTick && now - *m_lastTick > m_settings.pauseThreshold;
    m_lastTick = now;
    if (!hasQuorum) {
        m_isExpirySuspended = true;
        return;
    }
    if (m_isExpirySuspended || paused)
        extendLeases();
    m_isExpirySuspended = false;
    for (auto it = m_members.begin(); it != m_members.end();) {
        TrackedMember& entry = it->second;
        if (now >= entry.leaseEnd) {
            recordRemoval(it->first);
            it = m_members.erase(it);
            ++m_revision;
            continue;
        }
        if (entry.isDamped && now - entry.reachableSince >= m_settings.dampingTime) {
            entry.isDamped = false;
            ++m_revision;
        }
        ++it;
    }
    pruneExpiredRecords();
}

MemberState Membership::effectiveState(const TrackedMember& entry)
{
    return entry.isDamped && entry.record.state == MemberState::Warm ? MemberState::Warming : entry.record.state;
}

size_t Membership::countBehind(Epoch epoch, std::vector<std::string>& names, size_t maxNames) const
{
    size_t count = 0;
    for (const auto& [id, entry] : m_members) {
        if (entry.epoch >= epoch)
            continue;
        ++count;
        if (names.size() < maxNames)
            names.push_back(entry.record.name);
    }
    return count;
}

std::vector<std::string> Membership::takeFindings()
{
    std::vector<std::string> findings;
    findings.swap(m_newFindings);
    return findings;
}

bool Membership::shouldDamp(MemberId id) const
{
    auto found = m_removals.find(id);
    return found != m_removals.end() && found->second.previous
        && found->second.last - *found->second.previous < m_settings.flapWindow
        && m_clock.now() - found->second.last < m_settings.flapWindow;
}

void Membership::recordRemoval(MemberId id)
{
    // When the table is full, the removal is not recorded: the members in the table are unlikely to return, and the
    // only effect is that a flapping member is damped one removal later.
    if (m_removals.size() >= m_settings.maxMembers && m_removals.count(id) == 0)
        return;
    Removal& removal = m_removals[id];
    if (removal.last != Time())
        removal.previous = removal.last;
    removal.last = m_clock.now();
}

void Membership::recordOlderIncarnation(MemberId id, const MemberRecord& older, const MemberRecord& known)
{
    if (m_duplicates.size() >= m_settings.maxMembers && m_duplicates.count(id) == 0)
        return;
    Duplicate& duplicate = m_duplicates[id];
    if (duplicate.count == 0)
        duplicate.first = m_clock.now();
    if (++duplicate.count < m_settings.duplicateCount || duplicate.isReported)
        return;
    duplicate.isReported = true;
    m_newFindings.push_back("instance name \"" + known.name + "\" is used by two processes: incarnation "
        + std::to_string(known.process.value()) + " at " + formatAddress(known.tunnel.address) + ":"
        + std::to_string(known.tunnel.port) + " and older incarnation " + std::to_string(older.process.value()) + " at "
        + formatAddress(older.tunnel.address) + ":" + std::to_string(older.tunnel.port));
}

void Membership::extendLeases()
{
    for (auto& [id, entry] : m_members)
        entry.leaseEnd = std::max(entry.leaseEnd, m_clock.now() + lease(entry.record));
}

void Membership::pruneExpiredRecords()
{
    Time now = m_clock.now();
    for (auto it = m_removals.begin(); it != m_removals.end();)
        it = now - it->second.last >= m_settings.flapWindow ? m_removals.erase(it) : std::next(it);
    for (auto it = m_departures.begin(); it != m_departures.end();)
        it = now - it->second.at >= m_settings.flapWindow ? m_departures.erase(it) : std::next(it);
    for (auto it = m_duplicates.begin(); it != m_duplicates.end();)
        it = now - it->second.first >= m_settings.duplicateWindow ? m_duplicates.erase(it) : std::next(it);
}

} // namespace cicadaward::control
