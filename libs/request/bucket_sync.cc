#include "request/bucket_sync.h"

#include <algorithm>

namespace cicadaward::request {

namespace detail {

    constexpr size_t maxBucketsPerSession = 512; // keeps a SyncRequest below 2 KiB
    constexpr size_t maxPageBytes = 5000; // of records in a SyncReply; the record that exceeds it may add 2.5 KiB

    int hexDigit(char c)
    {
        if (c >= '0' && c <= '9')
            return c - '0';
        c = static_cast<char>(c | 0x20);
        return c >= 'a' && c <= 'f' ? c - 'a' + 10 : -1;
    }

} // namespace detail

BucketSync::BucketSync(const AgentView& view, Outbox& out, RecordStore& store)
    : m_view(view)
    , m_out(out)
    , m_store(store)
    , m_startedAt(view.now())
{
    // A process starts without records, and it does not know whether an earlier process of this agent had any.
    m_recordLosses[view.config.self] = m_startedAt;
}

std::optional<std::chrono::milliseconds> BucketSync::creationTime(const std::string& key)
{
    if (key.size() != 36 || key[8] != '-' || key[13] != '-' || key[18] != '-' || key[23] != '-' || key[14] != '7')
        return std::nullopt;
    int64_t value = 0;
    for (size_t i = 0; i < key.size(); ++i) {
        if (i == 8 || i == 13 || i == 18 || i == 23)
            continue;
        int digit = detail::hexDigit(key[i]);
        if (digit < 0)
            return std::nullopt;
        if (i < 13)
            value = value << 4 | digit;
    }
    return std::chrono::milliseconds(value);
}

bool BucketSync::mayHaveLostRecord(const std::string& key) const
{
    const Bucket& bucket = m_buckets[m_view.bucket(key).value()];
    auto created = creationTime(key);
    std::chrono::milliseconds wall = m_view.clock.wallTime();
    auto allowance = std::chrono::duration_cast<std::chrono::milliseconds>(m_view.config.clockSkewAllowance);
    auto lifetime = std::chrono::duration_cast<std::chrono::milliseconds>(m_view.config.recordLifetime);
    // The creation time is not used if the caller's clock is ahead by more than the allowance.
    if (created && *created > wall + allowance)
        created.reset();
    if (created && *created + lifetime < wall + allowance)
        return true;
    if (m_view.now() >= bucket.quarantineEnd)
        return false;
    return !created || *created <= bucket.quarantineCutoff + allowance;
}

void BucketSync::directoryChanged(const std::shared_ptr<const Directory>& before, bool wasFenced)
{
    if (m_view.table && m_buckets.size() != m_view.table->bucketCount())
        m_buckets.resize(m_view.table->bucketCount());
    const DirectoryVersion version = m_view.version();
    bool consecutive
        = before && before->version.term == version.term && before->version.sequence + 1 == version.sequence;
    // While this agent was fenced, another agent may have owned a bucket in a missed version without asking this one.
    bool missedVersions = before && wasFenced && !consecutive;
    updateRecordLosses(before.get(), missedVersions);
    for (size_t i = 0; i < m_buckets.size(); ++i) {
        bool owned = m_view.owns(BucketId(static_cast<uint16_t>(i)));
        if (!owned || missedVersions)
            unsettle(static_cast<uint16_t>(i));
    }
    restartSessions();
    startSessions();
}

void BucketSync::updateRecordLosses(const Directory* before, bool missedVersions)
{
    Time now = m_view.now();
    bool listed = m_view.table && m_view.table->member(m_view.config.self);
    if (missedVersions || (before && before->findMember(m_view.config.self) && !listed))
        m_recordLosses[m_view.config.self] = now;
    if (before) {
        for (const Member& member : before->members) {
            if (member.role != MemberRole::Agent || member.service != m_view.config.service
                || member.id == m_view.config.self)
                continue;
            const Member* current = m_view.table ? m_view.table->member(member.id) : nullptr;
            if (!current)
                m_departed.try_emplace(member.id, member.process, now);
            if (!current || current->process != member.process)
                m_recordLosses[member.id] = now;
        }
    }
    for (auto it = m_departed.begin(); it != m_departed.end();) {
        bool back = m_view.table && m_view.table->member(it->first);
        it = back || now - it->second.second >= m_view.config.lease ? m_departed.erase(it) : std::next(it);
    }
}

void BucketSync::unsettle(uint16_t bucket)
{
    if (!m_buckets[bucket].settled)
        return;
    m_buckets[bucket].settled = false;
    m_buckets[bucket].needsHandOver = true;
    // Erases claims that were never granted. Their claimants repeat them to the new owner.
    for (auto it = m_store.bucketBegin(bucket); it != m_store.records().end() && it->first.bucket == bucket;) {
        std::string key = it->first.key;
        bool claimed = it->second.state == RecordState::Claimed;
        ++it;
        if (claimed) {
            m_store.erase(key);
            it = m_store.records().upper_bound({ bucket, key });
        }
    }
}

void BucketSync::restartSessions()
{
    for (Session& session : m_sessions) {
        auto notOwned = [&](uint16_t bucket) { return !m_view.owns(BucketId(bucket)); };
        session.buckets.erase(
            std::remove_if(session.buckets.begin(), session.buckets.end(), notOwned), session.buckets.end());
        session.version = m_view.version();
        for (SyncPeer& peer : session.peers) {
            const Member* member = m_view.table ? m_view.table->member(peer.member) : nullptr;
            if (!member) {
                if (!peer.absentSince)
                    peer.absentSince = m_view.now();
                continue;
            }
            // Ask again at the new version: an owner in a version that this agent missed may have got the promise.
            peer.absentSince.reset();
            peer.process = member->process;
            peer.isComplete = false;
            peer.fromBucket = 0;
            peer.fromKey.clear();
        }
    }
    m_sessions.erase(std::remove_if(m_sessions.begin(), m_sessions.end(),
                         [](const Session& session) { return session.buckets.empty(); }),
        m_sessions.end());
    for (Session& session : m_sessions) {
        for (uint16_t bucket : session.buckets)
            m_buckets[bucket].promisedVersion = std::max(m_buckets[bucket].promisedVersion, session.version);
        session.id = m_view.random.next();
        for (SyncPeer& peer : session.peers)
            sendSyncRequest(session, peer);
    }
}

void BucketSync::startSessions()
{
    std::vector<bool> inSession(m_buckets.size());
    for (const Session& session : m_sessions) {
        for (uint16_t bucket : session.buckets)
            inSession[bucket] = true;
    }
    std::vector<uint16_t> open;
    for (size_t i = 0; i < m_buckets.size(); ++i) {
        if (m_view.owns(BucketId(static_cast<uint16_t>(i))) && !m_buckets[i].settled && !inSession[i]
            && m_buckets[i].promisedVersion <= m_view.version())
            open.push_back(static_cast<uint16_t>(i));
    }
    for (size_t first = 0; first < open.size(); first += detail::maxBucketsPerSession) {
        Session session;
        session.id = m_view.random.next();
        session.version = m_view.version();
        // A process that has just started does not know which members left the directory shortly before.
        session.earliestSettle = m_startedAt + m_view.config.lease;
        size_t last = std::min(first + detail::maxBucketsPerSession, open.size());
        session.buckets.assign(
            open.begin() + static_cast<ptrdiff_t>(first), open.begin() + static_cast<ptrdiff_t>(last));
        for (uint16_t bucket : session.buckets)
            m_buckets[bucket].promisedVersion = session.version;
        for (const Member& member : m_view.table->members()) {
            if (member.id != m_view.config.self)
                session.peers.push_back({ member.id, member.process, false, false, {}, 0, "", {} });
        }
        for (const auto& [id, departed] : m_departed)
            session.peers.push_back({ id, departed.first, false, false, departed.second, 0, "", {} });
        for (SyncPeer& peer : session.peers)
            sendSyncRequest(session, peer);
        settleWhenComplete(session);
        m_sessions.push_back(std::move(session));
    }
}

void BucketSync::sendSyncRequest(const Session& session, SyncPeer& peer)
{
    if (peer.isComplete || peer.absentSince)
        return;
    peer.retransmit.start(m_view);
    m_out.send(peer.member,
        SyncRequest {
            m_view.config.service, session.id, session.version, session.buckets, peer.fromBucket, peer.fromKey });
}

void BucketSync::on(MemberId from, const SyncRequest& message)
{
    // The reply has to include all losses up to the version of the request. No loss is missed: a member with control
    // contact has a directory that is at most a lease old, and a failed member stays in the directory for a lease.
    if (m_view.version() < message.version)
        return m_out.count(RequestCounter::DirectoryBehind);
    for (uint16_t bucket : message.buckets) {
        if (bucket >= m_buckets.size() || m_buckets[bucket].promisedVersion > message.version) {
            m_out.count(RequestCounter::StaleMessage);
            return;
        }
    }
    for (uint16_t bucket : message.buckets) {
        m_buckets[bucket].promisedVersion = message.version;
        unsettle(bucket);
    }
    SyncReply reply { message.session, message.fromBucket, message.fromKey, true, {}, {} };
    size_t size = 0;
    for (uint16_t bucket : message.buckets) {
        if (bucket < message.fromBucket)
            continue;
        auto it = bucket == message.fromBucket ? m_store.records().upper_bound({ bucket, message.fromKey })
                                               : m_store.bucketBegin(bucket);
        for (; it != m_store.records().end() && it->first.bucket == bucket && size < detail::maxPageBytes; ++it) {
            if (it->second.state == RecordState::Claimed)
                continue;
            reply.records.push_back(m_store.toRecord(it->first, it->second));
            size += 160 + it->first.key.size() + reply.records.back().answer.bytes.size();
        }
        if (size >= detail::maxPageBytes) {
            reply.last = false;
            break;
        }
    }
    Time now = m_view.now();
    for (const auto& [member, since] : m_recordLosses) {
        uint64_t age
            = static_cast<uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(now - since).count());
        if (reply.losses.size() < 32 && now - since < m_view.config.recordLifetime)
            reply.losses.push_back({ member, age });
    }
    if (reply.last) {
        for (uint16_t bucket : message.buckets)
            m_buckets[bucket].needsHandOver = false;
    }
    m_out.send(from, std::move(reply));
}

void BucketSync::on(MemberId from, const SyncReply& message)
{
    auto session
        = std::find_if(m_sessions.begin(), m_sessions.end(), [&](const Session& s) { return s.id == message.session; });
    if (session == m_sessions.end())
        return m_out.count(RequestCounter::StaleMessage);
    auto peer = std::find_if(
        session->peers.begin(), session->peers.end(), [&](const SyncPeer& w) { return w.member == from; });
    if (peer == session->peers.end() || peer->isComplete || peer->fromBucket != message.fromBucket
        || peer->fromKey != message.fromKey)
        return m_out.count(RequestCounter::StaleMessage);
    for (const RecordLoss& lost : message.losses) {
        Time since = m_view.now() - std::chrono::milliseconds(lost.ageMs);
        auto [found, added] = m_recordLosses.try_emplace(lost.member, since);
        if (!added)
            found->second = std::max(found->second, since);
    }
    for (const Record& record : message.records) {
        if (!m_store.merge(record))
            session->hasOverflowed = true;
    }
    peer->hasReplied = true;
    if (message.last || message.records.empty()) {
        peer->isComplete = true;
        settleWhenComplete(*session);
    } else {
        peer->fromBucket = m_view.bucket(message.records.back().key).value();
        peer->fromKey = message.records.back().key;
        sendSyncRequest(*session, *peer);
    }
}

// The time before which records may be missing, or nothing if they are complete. Only records from before the last loss
// can be missing, because every later claim has been copied to a member that still has it.
std::optional<Time> BucketSync::lossCutoff(const Session& session) const
{
    size_t lost = 0;
    Time last;
    for (const auto& [member, since] : m_recordLosses) {
        if (m_view.now() - since >= m_view.config.recordLifetime)
            continue;
        ++lost;
        last = std::max(last, since);
    }
    bool nobodyAnswered = std::none_of(
        session.peers.begin(), session.peers.end(), [](const SyncPeer& peer) { return peer.hasReplied; });
    auto self = m_recordLosses.find(m_view.config.self);
    bool selfLost = self != m_recordLosses.end() && m_view.now() - self->second < m_view.config.recordLifetime;
    if (session.hasOverflowed)
        return m_view.now();
    if (lost >= 2 || (selfLost && nobodyAnswered))
        return last;
    return std::nullopt;
}

void BucketSync::settleWhenComplete(Session& session)
{
    if (m_view.now() < session.earliestSettle || m_view.isFenced())
        return;
    for (const SyncPeer& peer : session.peers) {
        bool gone = peer.absentSince && m_view.now() - *peer.absentSince >= m_view.config.lease;
        if (!peer.isComplete && !gone)
            return;
    }
    std::optional<Time> cutoff = lossCutoff(session);
    uint64_t quarantinedCount = 0;
    for (uint16_t id : session.buckets) {
        Bucket& bucket = m_buckets[id];
        if (bucket.promisedVersion > session.version)
            continue;
        bucket.settled = true;
        if (cutoff) {
            auto age = std::chrono::duration_cast<std::chrono::milliseconds>(m_view.now() - *cutoff);
            bucket.quarantineCutoff = m_view.clock.wallTime() - age;
            bucket.quarantineEnd = *cutoff + m_view.config.recordLifetime;
            ++quarantinedCount;
        }
        m_store.markUnreplicated(id);
    }
    if (quarantinedCount > 0)
        m_out.count(RequestCounter::AmnesiaStarted, quarantinedCount);
    session.buckets.clear(); // tick() removes the session
}

void BucketSync::tick()
{
    for (Session& session : m_sessions) {
        for (SyncPeer& peer : session.peers) {
            if (!peer.isComplete && !peer.absentSince && peer.retransmit.fireIfDue(m_view))
                m_out.send(peer.member,
                    SyncRequest { m_view.config.service, session.id, session.version, session.buckets, peer.fromBucket,
                        peer.fromKey });
        }
        settleWhenComplete(session);
    }
    m_sessions.erase(std::remove_if(m_sessions.begin(), m_sessions.end(),
                         [](const Session& session) { return session.buckets.empty(); }),
        m_sessions.end());
    if (!m_view.isFenced())
        startSessions();
    for (auto it = m_recordLosses.begin(); it != m_recordLosses.end();)
        it = m_view.now() - it->second >= m_view.config.recordLifetime ? m_recordLosses.erase(it) : std::next(it);
}

size_t BucketSync::unsettledCount() const
{
    size_t count = 0;
    for (size_t i = 0; i < m_buckets.size(); ++i)
        count += m_view.owns(BucketId(static_cast<uint16_t>(i))) && !m_buckets[i].settled ? 1 : 0;
    return count;
}

bool BucketSync::isHandedOver() const
{
    for (size_t i = 0; i < m_buckets.size(); ++i) {
        const Member* owner = m_view.owner(BucketId(static_cast<uint16_t>(i)));
        if (owner && (owner->id == m_view.config.self || m_buckets[i].needsHandOver))
            return false;
    }
    return true;
}

} // namespace cicadaward::request
