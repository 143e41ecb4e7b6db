#include "flow/bucket_sync.h"

#include <algorithm>

namespace cicadaward::flow::detail {

namespace {

    // An unanswered request is repeated with exponential backoff between these values, so that a dead member costs
    // little.
    constexpr Duration minRetryInterval = std::chrono::milliseconds(50);
    constexpr Duration maxRetryInterval = std::chrono::milliseconds(800);

} // namespace

void BucketSync::resize(size_t buckets)
{
    m_buckets.resize(buckets);
    for (auto& [member, session] : m_sessions)
        session.blockingByBucket.resize(buckets);
}

BucketSync::Blocking BucketSync::blockingOf(MemberId member, const Peer& peer) const
{
    if (member == m_state.settings.self)
        return Blocking::None;
    // The flows of a data centre that has been taken out are abandoned, but its agents may continue to place and admit
    // flows until they know. An agent needs the current directory to keep its lease, so after one lease time it knows.
    if (peer.dataCentreOut)
        return m_state.now() - peer.dataCentreOutSince < m_state.settings.lease ? Blocking::Decisions : Blocking::None;
    if (peer.present || m_state.now() - peer.absentSince < m_state.settings.lease)
        return Blocking::Decisions;
    return m_state.now() - peer.absentSince < m_state.settings.absentMemberTimeout ? Blocking::Resets : Blocking::None;
}

void BucketSync::awaitReply(MemberId member, BucketId bucket, Blocking blocking)
{
    Session& session = m_sessions[member];
    session.blockingByBucket.resize(m_buckets.size());
    session.blockingByBucket[bucket.value()] = blocking;
    ++session.pendingBuckets;
    ++(blocking == Blocking::Decisions ? m_buckets[bucket.value()].decisionBlockers
                                       : m_buckets[bucket.value()].resetBlockers);
    // A new session, because replies to earlier requests do not cover this bucket.
    session.id = m_random.next();
    session.parts.clear();
    session.nextRequest = m_state.now();
    session.interval = minRetryInterval;
}

bool BucketSync::lowerBlocking(Session& session, BucketId bucket, Blocking blocking)
{
    Blocking& current = session.blockingByBucket[bucket.value()];
    if (blocking >= current)
        return false;
    Bucket& state = m_buckets[bucket.value()];
    bool blockedDecisions = current == Blocking::Decisions;
    current = blocking;
    --(blockedDecisions ? state.decisionBlockers : state.resetBlockers);
    if (blocking == Blocking::Resets)
        ++state.resetBlockers;
    else
        --session.pendingBuckets;
    if (blockedDecisions && state.decisionBlockers == 0) {
        ++m_settledCount;
        m_state.count(FlowCounter::BucketsSettled);
    }
    return state.decisionBlockers == 0;
}

void BucketSync::takeOver(BucketId bucket)
{
    release(bucket);
    Bucket& state = m_buckets[bucket.value()];
    state.takenOver = true;
    ++m_takenOverCount;
    m_state.count(FlowCounter::BucketsTaken);
    for (const auto& [member, peer] : m_state.peers) {
        if (Blocking now = blockingOf(member, peer); now != Blocking::None)
            awaitReply(member, bucket, now);
    }
    if (state.decisionBlockers == 0) {
        ++m_settledCount;
        m_state.count(FlowCounter::BucketsSettled);
    }
}

void BucketSync::release(BucketId bucket)
{
    Bucket& state = m_buckets[bucket.value()];
    if (!state.takenOver)
        return;
    --m_takenOverCount;
    if (state.decisionBlockers == 0)
        --m_settledCount;
    for (auto& [member, session] : m_sessions) {
        if (session.blockingByBucket[bucket.value()] == Blocking::None)
            continue;
        session.blockingByBucket[bucket.value()] = Blocking::None;
        --session.pendingBuckets;
        session.parts.erase(bucket);
    }
    state = Bucket {};
}

void BucketSync::memberJoined(MemberId member)
{
    auto found = m_sessions.find(member);
    for (size_t i = 0; i < m_buckets.size(); ++i) {
        bool alreadyAsked = found != m_sessions.end() && found->second.blockingByBucket[i] != Blocking::None;
        if (m_buckets[i].takenOver && !alreadyAsked)
            awaitReply(member, BucketId(static_cast<uint16_t>(i)),
                m_buckets[i].decisionBlockers > 0 ? Blocking::Decisions : Blocking::Resets);
    }
}

bool BucketSync::isCurrentReply(MemberId sender, const BucketSyncReply& reply) const
{
    auto found = m_sessions.find(sender);
    return found != m_sessions.end() && found->second.pendingBuckets > 0 && found->second.id == reply.session;
}

std::vector<BucketId> BucketSync::handleReply(MemberId sender, const BucketSyncReply& reply)
{
    std::vector<BucketId> ready;
    Session& session = m_sessions[sender];
    if (reply.parts > 1) {
        if (reply.buckets.size() != 1)
            return ready;
        Parts& parts = session.parts[reply.buckets.front()];
        if (parts.seen.size() != reply.parts)
            parts = { std::vector<bool>(reply.parts), 0 };
        if (!parts.seen[reply.part])
            ++parts.count;
        parts.seen[reply.part] = true;
        if (parts.count < reply.parts)
            return ready;
        session.parts.erase(reply.buckets.front());
    }
    for (BucketId bucket : reply.buckets) {
        if (bucket.value() < m_buckets.size() && lowerBlocking(session, bucket, Blocking::None))
            ready.push_back(bucket);
    }
    session.interval = minRetryInterval;
    session.nextRequest = std::min(session.nextRequest, m_state.now() + minRetryInterval);
    return ready;
}

void BucketSync::sendRequest(MemberId member, Session& session)
{
    BucketSyncRequest message;
    message.session = session.id;
    message.version = m_state.version();
    for (size_t i = 0; i < session.blockingByBucket.size() && message.buckets.size() < maxBucketsPerRequest; ++i) {
        if (session.blockingByBucket[i] != Blocking::None)
            message.buckets.push_back(BucketId(static_cast<uint16_t>(i)));
    }
    m_state.count(FlowCounter::SyncRequests);
    m_state.sendPeer(member, message);
    session.nextRequest = m_state.now() + session.interval;
    session.interval = std::min(session.interval * 2, maxRetryInterval);
}

std::vector<BucketId> BucketSync::tick()
{
    std::vector<BucketId> ready;
    for (auto& [member, session] : m_sessions) {
        if (session.pendingBuckets == 0)
            continue;
        const Peer* peer = m_state.peer(member);
        Blocking strongest = peer ? blockingOf(member, *peer) : Blocking::None;
        if (strongest != Blocking::Decisions) {
            for (size_t i = 0; i < session.blockingByBucket.size(); ++i) {
                if (lowerBlocking(session, BucketId(static_cast<uint16_t>(i)), strongest))
                    ready.push_back(BucketId(static_cast<uint16_t>(i)));
            }
        }
        if (session.pendingBuckets > 0 && m_state.now() >= session.nextRequest)
            sendRequest(member, session);
    }
    return ready;
}

} // namespace cicadaward::flow::detail
