#include "flow/owner.h"

#include <algorithm>

namespace cicadaward::flow::detail {

namespace {

    constexpr unsigned maxPlacementAttempts = 3; // members that are tried for a new flow
    constexpr Duration refusalBackoff = std::chrono::milliseconds(200);

} // namespace

bool Owner::isAuthoritative(BucketId bucket) const
{
    return m_state.hasLease() && !m_fenced && m_sync.isSettled(bucket)
        && m_state.promisedVersions[bucket.value()] <= m_state.version() && m_state.heldFlowsKnown;
}

void Owner::handlePacket(const PacketContext& context)
{
    FlowRecord* record = m_state.table.find(context.packet.key, context.hash);
    if (!record || !record->hasRole(FlowRole::owned)) {
        handlePacketOfUnknownFlow(context);
    } else if (!hasEnded(*record)) {
        forward(context, *record);
    } else {
        queueBackupUpdate(context.packet.key);
        m_state.removeRole(*record, FlowRole::owned | FlowRole::backup);
        if (context.opensFlow())
            handlePacketOfUnknownFlow(context);
        else
            m_state.resetCaller(context.packet);
    }
}

// True when the directory shows that the target of the flow is down or has restarted, or that its data centre has been
// taken out.
bool Owner::hasEnded(const FlowRecord& record) const
{
    const Binding& binding = m_state.bindings.at(record.binding);
    const Peer* holder = m_state.peer(binding.member);
    if (record.hasRole(FlowRole::held) || !holder)
        return false;
    if (holder->dataCentreOut || binding.incarnation < holder->target)
        return true;
    return holder->present && holder->state == MemberState::TargetDown && binding.incarnation == holder->target;
}

void Owner::forward(const PacketContext& context, FlowRecord& record)
{
    const Binding& binding = m_state.bindings.at(record.binding);
    const Peer* holder = m_state.peer(binding.member);
    auto hops = static_cast<uint8_t>(context.header.hops + 1);
    if (!holder || hops > maxHops) {
        m_state.count(FlowCounter::DroppedHops);
        return;
    }
    // Sending OpenFlow again is a placement. If this agent may not place flows, the packet is sent as ToHolder, which
    // only reaches a flow that is already open.
    bool reopen
        = record.hasRole(FlowRole::opening) && context.packet.flags.isInitialSyn() && isAuthoritative(context.bucket);
    if (reopen) {
        record.initialSequence = context.packet.tcpSequence;
        record.sequenceOrOpenNumber = ++m_openFlowsSent;
        record.lastActivityMs = m_state.nowMs(); // postpones the audit, whose FlowCheck could arrive before this packet
    }
    // A caller sends such a segment only on an open connection, so the confirmation of the holder was lost.
    if (record.hasRole(FlowRole::opening) && context.packet.flags.ack && !context.packet.flags.syn)
        record.roles &= static_cast<uint8_t>(~FlowRole::opening);
    TunnelKind kind = reopen ? TunnelKind::OpenFlow : TunnelKind::ToHolder;
    m_state.count(FlowCounter::ForwardedToHolder);
    m_state.sendTunnel(
        holder->endpoint, m_state.header(kind, context.bucket, hops, binding.incarnation), context.bytes);
}

void Owner::handlePacketOfUnknownFlow(const PacketContext& context)
{
    if (!m_state.owns(context.bucket)) {
        if (context.header.version <= m_state.version()) {
            m_state.forwardToOwner(context);
        } else {
            // The sender has a newer directory, in which this agent owns the bucket.
            queuePacket(context);
        }
        return;
    }
    if (!isAuthoritative(context.bucket)) {
        if (context.opensFlow() || context.header.hops >= 2 || !forwardByCopy(context))
            queuePacket(context);
        return;
    }
    if (context.opensFlow()) {
        placeFlow(context, 0);
    } else {
        handleSegmentOfUnknownFlow(context);
    }
}

// Forwards the packet to the holder named in a copy from the time when this agent was the backup. The holder delivers
// the packet only if it has the flow and returns it otherwise. Once the bucket is settled, copies are used only for
// absent holders, because all present members have reported their flows.
bool Owner::forwardByCopy(const PacketContext& context)
{
    const FlowRecord* record = m_state.table.find(context.packet.key, context.hash);
    const Peer* holder = record ? m_state.peer(m_state.bindings.at(record->binding).member) : nullptr;
    auto hops = static_cast<uint8_t>(context.header.hops + 1);
    if (!holder || holder->dataCentreOut || hops > maxHops || (holder->present && isAuthoritative(context.bucket)))
        return false;
    m_state.count(FlowCounter::ForwardedToHolder);
    m_state.sendTunnel(holder->endpoint, m_state.header(TunnelKind::ToOwner, context.bucket, hops), context.bytes);
    return true;
}

void Owner::handleSegmentOfUnknownFlow(const PacketContext& context)
{
    // The target of an agent that has restarted may have the connection. Each such target gets the segment, without a
    // target incarnation in the header, which marks it as speculative. The target that has the connection answers, and
    // its agent then records the flow again. The agents of the others drop the resets of their targets.
    bool speculative = m_state.mayHoldUnknownFlows();
    if (speculative)
        m_holder.deliverSpeculatively(context);
    auto hops = static_cast<uint8_t>(context.header.hops + 1);
    for (const auto& [member, peer] : m_state.peers) {
        if (!peer.present || m_state.now() >= peer.mayHoldUnknownFlowsUntil || hops > maxHops)
            continue;
        speculative = true;
        m_state.count(FlowCounter::ForwardedToHolder);
        m_state.sendTunnel(peer.endpoint, m_state.header(TunnelKind::ToHolder, context.bucket, hops), context.bytes);
    }
    if (speculative || forwardByCopy(context))
        return;
    if (!m_sync.isComplete(context.bucket))
        queuePacket(context);
    else if (m_incompleteBuckets[context.bucket.value()] || m_state.isRecentlyStarted())
        m_state.count(FlowCounter::DroppedUnknown);
    else
        m_state.resetCaller(context.packet);
}

uint32_t Owner::placementWeight(MemberId member, const Peer& peer) const
{
    if (member == m_state.settings.self)
        return std::min(peer.capacity, m_holder.flowLimit());
    if (peer.reportedLimit != UINT32_MAX)
        return std::min(peer.capacity, peer.reportedLimit);
    if (peer.state == MemberState::Warming)
        return std::max(1U, static_cast<uint32_t>(peer.capacity * m_state.service->spec.coldShare));
    return peer.capacity;
}

bool Owner::chooseMember(uint64_t flowHash, MemberId& chosen) const
{
    double bestRatio = 0;
    uint64_t bestRank = 0;
    bool found = false;
    for (const auto& [member, peer] : m_state.peers) {
        if (!peer.acceptsNewFlows || peer.binding == 0 || m_state.now() < peer.backoffUntil)
            continue;
        if (member == m_state.settings.self && !m_holder.canAdmitFlows())
            continue;
        double share = std::max(1U, placementWeight(member, peer));
        double ratio = (m_state.bindings.at(peer.binding).owned + 1) / share;
        uint64_t rank = mixHash(member.value(), flowHash);
        if (!found || ratio < bestRatio || (ratio == bestRatio && rank > bestRank)) {
            bestRatio = ratio;
            bestRank = rank;
            chosen = member;
            found = true;
        }
    }
    return found;
}

void Owner::backOffFrom(MemberId member)
{
    // The jitter prevents the owners from retrying a full target at the same time.
    if (Peer* peer = m_state.peer(member))
        peer->backoffUntil = m_state.now() + refusalBackoff / 2 + refusalBackoff * m_random.below(1000) / 1000;
}

void Owner::placeFlow(const PacketContext& context, unsigned tries)
{
    MemberId member;
    while (tries < maxPlacementAttempts && chooseMember(context.hash, member)) {
        ++tries;
        if (tryPlaceAt(context, member, tries))
            return;
    }
    refuse(context);
}

bool Owner::tryPlaceAt(const PacketContext& context, MemberId member, unsigned tries)
{
    // A record exists if it is a copy from the time when this agent was the backup, or if another member has refused
    // the flow.
    FlowRecord* record = m_state.table.find(context.packet.key, context.hash);
    if (member == m_state.settings.self) {
        if (m_holder.admit(context, m_state.version())) {
            backOffFrom(member);
            return false;
        }
        record = m_state.table.find(context.packet.key, context.hash);
        m_state.addRole(*record, FlowRole::owned);
        record->roles &= static_cast<uint8_t>(~(FlowRole::opening | FlowRole::triesMask));
    } else {
        const Peer& peer = *m_state.peer(member);
        if (!record)
            record = m_state.table.insert(context.packet.key, context.hash, FlowTable::Purpose::NewFlow);
        if (!record) {
            m_state.count(FlowCounter::TableFull);
            return false;
        }
        m_state.setHolder(*record, peer.binding);
        m_state.addRole(*record, FlowRole::owned | FlowRole::opening);
        record->roles = static_cast<uint8_t>((record->roles & ~FlowRole::triesMask) | tries << FlowRole::triesShift);
        record->lastActivityMs = m_state.nowMs();
        record->initialSequence = context.packet.tcpSequence;
        record->sequenceOrOpenNumber = ++m_openFlowsSent;
        record->flags = context.mode == PortMode::Request ? FlowFlag::requestMode : 0;
        m_state.sendTunnel(peer.endpoint,
            m_state.header(
                TunnelKind::OpenFlow, context.bucket, static_cast<uint8_t>(context.header.hops + 1), peer.target),
            context.bytes);
    }
    m_state.count(FlowCounter::FlowsPlaced);
    queueBackupUpdate(context.packet.key);
    return true;
}

void Owner::refuse(const PacketContext& context)
{
    FlowRecord* record = m_state.table.find(context.packet.key, context.hash);
    m_state.count(FlowCounter::PlacementRefused);
    if (record) {
        queueBackupUpdate(record->key);
        m_state.removeRole(*record, FlowRole::owned | FlowRole::backup);
    }
    if (context.mode == PortMode::Request && m_holder.openRefusingConnection(context))
        return;
    m_state.resetCaller(context.packet);
}

void Owner::queuePacket(const PacketContext& context)
{
    m_state.requestDirectory(context.header.version);
    QueuedPacket packet { context.header, { context.bytes.begin(), context.bytes.end() },
        m_replayedPacketArrival.value_or(m_state.now()) };
    if (!m_queue.push(context.bucket, std::move(packet)))
        m_state.count(FlowCounter::DroppedQueueFull);
}

void Owner::replay(const std::vector<BucketId>& buckets)
{
    for (BucketId bucket : buckets) {
        for (QueuedPacket& packet : m_queue.removeBucket(bucket)) {
            m_replayedPacketArrival = packet.arrivedAt; // kept if the packet is queued again
            m_replay(packet.header, m_state.actions->store(std::move(packet.bytes)));
            m_replayedPacketArrival.reset();
        }
    }
}

void Owner::replayAll() { replay(m_queue.buckets()); }

void Owner::directoryChanged(const std::vector<MemberId>& joined, bool missed)
{
    size_t count = m_state.buckets ? m_state.buckets->bucketCount() : 0;
    m_sync.resize(count);
    m_copySweepsLeft.resize(count);
    m_incompleteBuckets.resize(count);
    m_copyMembers.resize(count);
    for (MemberId member : joined)
        m_sync.memberJoined(member);
    // In a version that was not received, another member may have owned the bucket.
    takeOverBuckets(missed);
    updateRecordRoles();
    replay(m_sync.tick());
    replayAll();
}

void Owner::takeOverBuckets(bool evenIfTakenOver)
{
    for (size_t i = 0; i < m_copyMembers.size(); ++i) {
        BucketId bucket(static_cast<uint16_t>(i));
        if (!m_state.owns(bucket)) {
            m_sync.release(bucket);
            m_copyMembers[i] = {};
            continue;
        }
        bool takeOver = evenIfTakenOver || !m_sync.isTakenOver(bucket);
        if (takeOver && !m_fenced && m_state.promisedVersions[i] <= m_state.version()) {
            m_incompleteBuckets[i] = false;
            m_sync.takeOver(bucket);
        }
        const Member* backup = m_state.buckets->backup(bucket);
        std::pair<MemberId, MemberId> copies(backup ? backup->id : MemberId(), m_state.spareMember(bucket));
        if (copies != m_copyMembers[i])
            scheduleBucketCopy(bucket);
        m_copyMembers[i] = copies;
    }
}

// Turns records of buckets that another agent now owns into backup copies and erases copies of ended flows. An owned
// record of an ended flow stays, so that the next segment of its caller is answered with a reset.
void Owner::updateRecordRoles()
{
    FlowTable& table = m_state.table;
    for (size_t i = 0; i < table.slotCount();) {
        FlowRecord* record = table.at(i);
        bool erased = false;
        if (record && record->hasRole(FlowRole::owned) && !m_state.owns(m_state.bucketOfHash(record->key.hash()))) {
            m_state.addRole(*record, FlowRole::backup);
            m_state.removeRole(*record, FlowRole::owned);
            record->lastActivityMs = record->hasRole(FlowRole::held) ? record->lastActivityMs : m_state.nowMs();
        }
        if (record && !record->hasRole(FlowRole::held | FlowRole::owned) && hasEnded(*record))
            erased = m_state.removeRole(*record, FlowRole::backup);
        i += erased ? 0 : 1;
    }
}

void Owner::leaseLapsed()
{
    m_fenced = true;
    for (size_t i = 0; i < m_copyMembers.size(); ++i)
        m_sync.release(BucketId(static_cast<uint16_t>(i)));
}

void Owner::leaseRenewed()
{
    m_fenced = false;
    if (m_state.directory)
        directoryChanged({}, true);
}

void Owner::bucketPromised(BucketId bucket) { m_sync.release(bucket); }

void Owner::handleSyncReply(MemberId sender, const BucketSyncReply& message)
{
    if (!m_sync.isCurrentReply(sender, message))
        return;
    if (Peer* peer = m_state.peer(sender); peer && message.mayHoldMore)
        peer->mayHoldUnknownFlowsUntil = m_state.now() + m_state.settings.absentMemberTimeout;
    const Peer* from = m_state.peer(sender);
    // Flows in a data centre that has been taken out are abandoned; the reply counts only as a promise.
    for (const FlowSummary& flow : from && !from->dataCentreOut ? message.flows : std::vector<FlowSummary>())
        recordReportedFlow(sender, message.incarnation, flow, FlowRole::owned);
    replay(m_sync.handleReply(sender, message));
}

} // namespace cicadaward::flow::detail
