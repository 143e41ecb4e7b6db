// The part of the bucket owner that maintains its records of flows: reports of holders, copies to the backup, and the
// audit, which asks holders about flows because reports may be lost.

#include "flow/owner.h"

#include <algorithm>
#include <map>

namespace cicadaward::flow::detail {

namespace {

    // The holder is asked about a flow that it has not confirmed after the first interval, and about any other flow
    // after the second one. Until then, lost FlowClosed messages distort the balance. 1,423 flows cost about 0.5 KB/s.
    constexpr Duration openingAuditInterval = std::chrono::seconds(1);
    constexpr Duration auditInterval = std::chrono::seconds(60);
    // The record of an ended flow is kept for this time, so that the next segment of its caller is answered with a
    // reset.
    constexpr Duration endedFlowLifetime = std::chrono::minutes(10);
    // A copy that this agent no longer has to store is kept for this time, in case the holder restarts during the
    // change of owner and asks for its flows.
    constexpr Duration formerBucketCopyLifetime = std::chrono::seconds(60);
    // The owner sends all copies again once in this interval, which repairs lost messages (1,423 flows: 60 bytes/s).
    // The flow of a copy that was missing from two refreshes is no longer open.
    constexpr Duration copyRefreshInterval = std::chrono::minutes(10);
    constexpr Duration copyExpiry = copyRefreshInterval * 3;
    constexpr size_t maxPendingUpdates = 4096;

} // namespace

// Two holders have the same 5-tuple. The caller continues at the one that received its last packet, so the flow with
// the later activity is kept. A flow that was restored from a copy after a restart loses against a verified one,
// because it may have ended before the restart.
bool Owner::isRecordMoreRecent(const FlowRecord& record, const FlowSummary& flow) const
{
    if (record.hasFlag(FlowFlag::unverified) != flow.unverified)
        return flow.unverified;
    return m_state.nowMs() - record.lastActivityMs < flow.idleMs;
}

void Owner::recordReportedFlow(MemberId holder, Incarnation incarnation, const FlowSummary& flow, uint8_t role)
{
    if (!m_state.port(flow.key))
        return;
    const Peer* peer = m_state.peer(holder);
    if (!peer || incarnation == Incarnation() || incarnation < peer->target)
        return;
    // The directory lists the target as down; the holder has not noticed it yet.
    if (peer->present && peer->state == MemberState::TargetDown && incarnation == peer->target)
        return;
    uint64_t hash = flow.key.hash();
    FlowRecord* record = m_state.table.find(flow.key, hash);
    if (record && record->hasRole(FlowRole::held)) {
        m_state.count(FlowCounter::ConflictingHolders);
        if (role == FlowRole::backup || isRecordMoreRecent(*record, flow))
            return;
        if (m_holder.abandonFlow(*record))
            record = nullptr;
    }
    bool owned = record && record->hasRole(FlowRole::owned);
    // Ignores a late report about an earlier flow with this 5-tuple.
    if (owned && record->hasRole(FlowRole::opening)
        && !FlowId { flow.key, flow.initialSequence, 0 }.matches(record->initialSequence))
        return;
    bool heldElsewhere = owned && !m_state.isAt(*record, holder);
    if (heldElsewhere && role == FlowRole::backup)
        return;
    if (heldElsewhere && !record->hasRole(FlowRole::opening)) {
        m_state.count(FlowCounter::ConflictingHolders);
        if (isRecordMoreRecent(*record, flow))
            return;
    }
    uint16_t binding = 0;
    if (!m_state.bindings.findOrAdd(holder, incarnation, binding))
        return;
    if (!record)
        record = m_state.table.insert(flow.key, hash, FlowTable::Purpose::Learned);
    if (!record) {
        m_state.count(role == FlowRole::owned ? FlowCounter::ListIncomplete : FlowCounter::CopiesDropped);
        if (role == FlowRole::owned)
            m_incompleteBuckets[m_state.bucketOfHash(hash).value()] = true;
        return;
    }
    m_state.setHolder(*record, binding);
    m_state.addRole(*record, role);
    record->roles &= static_cast<uint8_t>(~FlowRole::opening);
    // The age of a copy is the time since the owner sent it last; the age of a known flow is the time since the holder
    // confirmed it.
    bool confirmed = role == FlowRole::backup || (owned && !heldElsewhere);
    record->lastActivityMs = confirmed ? m_state.nowMs() : m_state.nowMs() - flow.idleMs;
    record->initialSequence = flow.initialSequence;
    record->flags = flagsFromSummary(flow);
    if (role == FlowRole::owned)
        queueBackupUpdate(flow.key);
}

void Owner::handleFlowOpened(MemberId sender, const FlowOpened& message)
{
    for (const FlowSummary& flow : message.flows) {
        BucketId bucket = m_state.bucketOfHash(flow.key.hash());
        bool isOwner = m_state.owns(bucket);
        if (isOwner && message.holder == sender)
            recordReportedFlow(message.holder, message.incarnation, flow, FlowRole::owned);
        else if (!isOwner && message.holder != m_state.settings.self)
            recordReportedFlow(message.holder, message.incarnation, flow, FlowRole::backup);
    }
}

void Owner::handleFlowClosed(const FlowClosed& message)
{
    for (const FlowId& flow : message.flows) {
        const FlowKey& key = flow.key;
        FlowRecord* record = m_state.table.find(key, key.hash());
        if (!record || record->hasRole(FlowRole::held) || !flow.matches(record->initialSequence))
            continue;
        if (flow.openNumber != 0 && flow.openNumber != record->sequenceOrOpenNumber)
            continue;
        const Binding& binding = m_state.bindings.at(record->binding);
        // A FlowClosed of an owner to its backup names no holder.
        bool isFromOwner = message.holder == MemberId();
        if (isFromOwner && record->hasRole(FlowRole::owned))
            continue;
        if (!isFromOwner && (binding.member != message.holder || message.incarnation < binding.incarnation))
            continue;
        if (record->hasRole(FlowRole::owned))
            queueBackupUpdate(key);
        m_state.removeRole(*record, FlowRole::owned | FlowRole::backup);
    }
}

void Owner::handleFlowRefused(
    MemberId sender, DirectoryVersion version, const FlowRefused& message, const PacketContext& context)
{
    m_state.requestDirectory(version);
    FlowRecord* record = m_state.table.find(context.packet.key, context.hash);
    bool isAtSender = record && !record->hasRole(FlowRole::held) && m_state.isAt(*record, sender);
    if (message.reason == RefusalReason::Closed) {
        handleClosedRefusal(context, isAtSender ? record : nullptr);
        return;
    }
    if (!isAtSender || !record->hasRole(FlowRole::opening) || record->initialSequence != context.packet.tcpSequence)
        return; // the flow was confirmed meanwhile, or has already been placed at another member
    if (message.reason == RefusalReason::StaleOwner || !isAuthoritative(context.bucket)) {
        // Another agent owns the bucket; the caller's next first packet will reach it.
        m_state.removeRole(*record, FlowRole::owned | FlowRole::backup);
        return;
    }
    backOffFrom(sender);
    placeFlow(context, (record->roles & FlowRole::triesMask) >> FlowRole::triesShift);
}

// Handles a packet that a holder returned because it does not have the flow.
void Owner::handleClosedRefusal(const PacketContext& context, FlowRecord* record)
{
    bool newFlow = context.packet.flags.isInitialSyn();
    if (!record && !newFlow) {
        // A speculative packet, or the flow was closed meanwhile. The caller retransmits the segment.
        m_state.count(FlowCounter::DroppedStale);
        return;
    }
    if (record && !record->hasRole(FlowRole::owned)) {
        // The copy was out of date.
        m_state.removeRole(*record, FlowRole::backup);
    } else if (record && newFlow && context.packet.tcpSequence != record->initialSequence) {
        queueBackupUpdate(context.packet.key);
        m_state.removeRole(*record, FlowRole::owned | FlowRole::backup);
    } else if (record) {
        // The refusal may be older than the record, so the holder is asked about exactly this flow, but not while the
        // packet that opens it may still be in transit. The caller's next segment is handled according to the answer.
        if (!record->hasRole(FlowRole::opening) || m_state.age(*record) >= openingAuditInterval)
            queueCheck(*record);
        return;
    }
    m_replay(context.header, context.bytes);
}

void Owner::handleLoadReport(MemberId sender, const LoadReport& message)
{
    Peer* peer = m_state.peer(sender);
    if (peer && message.incarnation == peer->target)
        peer->reportedLimit = message.flowLimit;
}

void Owner::queueBackupUpdate(const FlowKey& key)
{
    if (m_pendingBackupUpdates.size() < maxPendingUpdates)
        m_pendingBackupUpdates.push_back(key);
    else
        m_state.count(FlowCounter::CopiesDropped);
}

void Owner::scheduleBucketCopy(BucketId bucket)
{
    // Two sweeps, because the current one may already be past some of the flows.
    m_copySweepsLeft[bucket.value()] = 2;
}

void Owner::flushBackupUpdates()
{
    std::map<std::pair<MemberId, uint16_t>, std::vector<FlowSummary>> opened;
    std::map<MemberId, std::vector<FlowId>> closed;
    for (const FlowKey& key : m_pendingBackupUpdates) {
        uint64_t hash = key.hash();
        BucketId bucket = m_state.bucketOfHash(hash);
        const FlowRecord* record = m_state.table.find(key, hash);
        if (record && record->hasRole(FlowRole::owned)) {
            MemberId recipient = m_state.copyMember(bucket, m_state.bindings.at(record->binding).member);
            opened[{ recipient, record->binding }].push_back(summarize(m_state, *record));
            continue;
        }
        const Member* backup = m_state.buckets->backup(bucket);
        for (MemberId recipient : { backup ? backup->id : MemberId(), m_state.spareMember(bucket) })
            closed[recipient].push_back({ key, 0, 0 });
    }
    m_pendingBackupUpdates.clear();
    for (const auto& [destination, flows] : opened) {
        const Binding& binding = m_state.bindings.at(destination.second);
        for (size_t i = 0; i < flows.size(); i += maxFlowsPerMessage) {
            FlowOpened message { binding.member, binding.incarnation, {} };
            message.flows.assign(flows.begin() + static_cast<std::ptrdiff_t>(i),
                flows.begin() + static_cast<std::ptrdiff_t>(std::min(i + maxFlowsPerMessage, flows.size())));
            m_state.sendPeer(destination.first, message);
        }
    }
    for (const auto& [member, keys] : closed) {
        for (size_t i = 0; i < keys.size(); i += maxFlowsPerMessage) {
            FlowClosed message;
            message.flows.assign(keys.begin() + static_cast<std::ptrdiff_t>(i),
                keys.begin() + static_cast<std::ptrdiff_t>(std::min(i + maxFlowsPerMessage, keys.size())));
            m_state.sendPeer(member, message);
        }
    }
}

bool Owner::sweep(FlowRecord& record)
{
    BucketId bucket = m_state.bucketOfHash(record.key.hash());
    if (record.hasRole(FlowRole::owned) && m_copySweepsLeft[bucket.value()] > 0)
        queueBackupUpdate(record.key);
    if (record.hasRole(FlowRole::held))
        return false;
    if (record.hasRole(FlowRole::owned))
        return auditRecord(record);
    bool storesCopy = m_state.copyMember(bucket, m_state.bindings.at(record.binding).member) == m_state.settings.self;
    if (m_state.age(record) > (storesCopy ? copyExpiry : formerBucketCopyLifetime))
        return m_state.removeRole(record, FlowRole::backup);
    return false;
}

bool Owner::auditRecord(FlowRecord& record)
{
    const Peer* holder = m_state.peer(m_state.bindings.at(record.binding).member);
    if (hasEnded(record))
        return m_state.age(record) >= endedFlowLifetime
            && m_state.removeRole(record, FlowRole::owned | FlowRole::backup);
    if (!holder || !holder->present) {
        // An absent member may return with the flow. The flow has ended if it was never confirmed and the member has
        // been absent for the lease, or if the member has been absent for the idle timeout.
        Duration absent = holder ? m_state.now() - holder->absentSince : m_state.settings.idleTimeout;
        bool hasFlowEnded
            = absent >= (record.hasRole(FlowRole::opening) ? m_state.settings.lease : m_state.settings.idleTimeout);
        return hasFlowEnded && m_state.removeRole(record, FlowRole::owned | FlowRole::backup);
    }
    if (m_state.age(record) < (record.hasRole(FlowRole::opening) ? openingAuditInterval : auditInterval))
        return false;
    queueCheck(record);
    return false;
}

void Owner::queueCheck(FlowRecord& record)
{
    record.lastActivityMs = m_state.nowMs();
    if (m_pendingChecks.size() < maxPendingUpdates)
        m_pendingChecks.emplace_back(
            record.binding, FlowId { record.key, record.initialSequence, record.sequenceOrOpenNumber });
}

void Owner::flushChecks()
{
    std::sort(
        m_pendingChecks.begin(), m_pendingChecks.end(), [](const auto& a, const auto& b) { return a.first < b.first; });
    for (size_t i = 0; i < m_pendingChecks.size();) {
        uint16_t number = m_pendingChecks[i].first;
        const Binding& binding = m_state.bindings.at(number);
        FlowCheck message { binding.incarnation, {} };
        for (; i < m_pendingChecks.size() && m_pendingChecks[i].first == number
             && message.flows.size() < maxFlowsPerMessage;
             ++i)
            message.flows.push_back(m_pendingChecks[i].second);
        m_state.sendPeer(binding.member, message);
    }
    m_pendingChecks.clear();
}

void Owner::sweepEnded()
{
    for (uint8_t& rounds : m_copySweepsLeft)
        rounds = rounds > 0 ? static_cast<uint8_t>(rounds - 1) : rounds;
}

void Owner::refreshCopies()
{
    auto count = static_cast<uint32_t>(m_copySweepsLeft.size());
    auto due = static_cast<uint32_t>((m_state.now() - m_refreshStart) * count / copyRefreshInterval);
    for (; m_refreshedBuckets < std::min(due, count); ++m_refreshedBuckets)
        scheduleBucketCopy(BucketId(static_cast<uint16_t>(m_refreshedBuckets)));
    if (due >= count) {
        m_refreshedBuckets = 0;
        m_refreshStart = m_state.now();
    }
}

void Owner::tick()
{
    if (!m_state.buckets)
        return;
    refreshCopies();
    replay(m_sync.tick());
    m_state.count(FlowCounter::DroppedExpired, m_queue.expire(m_state.now()));
    flushBackupUpdates();
    flushChecks();
}

} // namespace cicadaward::flow::detail
