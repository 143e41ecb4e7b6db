#include "flow/holder.h"

#include <algorithm>

namespace cicadaward::flow::detail {

namespace {

    constexpr size_t maxRefusingConnections = 256; // connections on which requests are answered with 503
    constexpr Duration refusingIdleTimeout = std::chrono::seconds(30);
    // If the target does not answer the first packet of a flow within this time, the admission limit counts a timeout.
    constexpr Duration firstAnswerTimeout = std::chrono::seconds(3);
    constexpr size_t maxPendingReports = 4096;

} // namespace

bool Holder::canAdmitFlows() const
{
    const Peer* self = m_state.peer(m_state.settings.self);
    bool isListed = self && self->present && self->state != MemberState::Draining;
    return m_state.hasLease() && m_state.targetUp && !m_state.draining && m_state.heldFlowsKnown && isListed;
}

std::optional<RefusalReason> Holder::admit(const PacketContext& context, DirectoryVersion version)
{
    if (!canAdmitFlows()) {
        m_state.count(m_state.hasLease() ? FlowCounter::RefusedTarget : FlowCounter::RefusedLease);
        return RefusalReason::Unavailable;
    }
    if (m_state.promisedVersions[context.bucket.value()] > version) {
        m_state.count(FlowCounter::RefusedVersion);
        return RefusalReason::StaleOwner;
    }
    if (!m_admission.flows().tryAcquire()) {
        m_state.count(FlowCounter::RefusedLimit);
        return RefusalReason::Limit;
    }
    FlowRecord* record = openRecord(context);
    if (!record) {
        m_admission.flows().release();
        m_state.count(FlowCounter::TableFull);
        return RefusalReason::Unavailable;
    }
    m_state.count(FlowCounter::FlowsOpened);
    if (context.packet.key.protocol == Protocol::Udp)
        record->flags |= FlowFlag::established;
    updateFromCallerPacket(*record, context);
    m_state.count(FlowCounter::Delivered);
    m_state.actions->add(DeliverPacket { context.mode, false, false, context.bytes });
    return std::nullopt;
}

FlowRecord* Holder::openRecord(const PacketContext& context)
{
    FlowRecord* record = m_state.table.find(context.packet.key, context.hash);
    if (!record)
        record = m_state.table.insert(context.packet.key, context.hash, FlowTable::Purpose::NewFlow);
    if (!record)
        return nullptr;
    m_state.setHolder(*record, m_binding);
    m_state.addRole(*record, FlowRole::held);
    record->flags = context.mode == PortMode::Request ? FlowFlag::requestMode : 0;
    record->lastActivityMs = m_state.nowMs();
    record->sequenceOrOpenNumber = 0;
    return record;
}

bool Holder::openRefusingConnection(const PacketContext& context)
{
    if (m_refusingCount >= maxRefusingConnections || m_binding == 0)
        return false;
    FlowRecord* record = openRecord(context);
    if (!record)
        return false;
    m_state.addRole(*record, FlowRole::owned);
    record->flags |= FlowFlag::refusing;
    ++m_refusingCount;
    m_state.actions->add(DeliverPacket { context.mode, true, false, context.bytes });
    return true;
}

void Holder::deliverSpeculatively(const PacketContext& context)
{
    // This is safe because a target without the connection answers with a reset. Any other answer adds the flow to the
    // table again.
    m_state.count(FlowCounter::Delivered);
    m_state.actions->add(DeliverPacket { context.mode, false, true, context.bytes });
}

bool Holder::deliver(FlowRecord& record, const PacketContext& context)
{
    bool ended = record.hasFlag(FlowFlag::callerReset)
        || (record.hasFlag(FlowFlag::callerFin) && record.hasFlag(FlowFlag::targetFin));
    if (ended && context.packet.flags.isInitialSyn()) {
        closeFlow(record);
        return false;
    }
    updateFromCallerPacket(record, context);
    // A speculative packet shows that the owner does not know the flow: the report was lost, so it is sent again.
    if (context.isSpeculative() && m_unreportedOpened.size() < maxPendingReports)
        m_unreportedOpened.push_back(record.key);
    m_state.count(FlowCounter::Delivered);
    m_state.actions->add(DeliverPacket {
        context.mode, record.hasFlag(FlowFlag::refusing), record.hasFlag(FlowFlag::unverified), context.bytes });
    return true;
}

void Holder::updateFromCallerPacket(FlowRecord& record, const PacketContext& context)
{
    const TcpFlags& flags = context.packet.flags;
    record.lastActivityMs = m_state.nowMs();
    // If the target accepts a new first segment, it opens a new connection.
    if (flags.isInitialSyn())
        record.initialSequence = context.packet.tcpSequence;
    if (flags.fin)
        record.flags |= FlowFlag::callerFin;
    // The target ignores a reset outside its window, so the flow ends only if no segment follows the reset for some
    // time.
    if (flags.rst)
        record.flags |= FlowFlag::callerReset;
    else if (!flags.syn)
        record.flags = static_cast<uint8_t>((record.flags & ~FlowFlag::callerReset) | FlowFlag::established);
}

void Holder::updateFromTargetPacket(FlowRecord& record, const IpPacket& packet)
{
    if (packet.flags.fin)
        record.flags |= FlowFlag::targetFin;
    if (!record.hasFlag(FlowFlag::answered) && !record.hasFlag(FlowFlag::requestMode)) {
        Outcome outcome = packet.flags.rst ? Outcome::Refused : Outcome::Completed;
        m_admission.flows().observe(outcome, m_state.age(record));
    }
    record.flags = static_cast<uint8_t>((record.flags | FlowFlag::answered) & ~FlowFlag::unverified);
    // Taken from the target's segments and not from the acknowledgements of callers. Otherwise the segments of a new
    // connection with the same 5-tuple that reached this agent by mistake would supply the sequence number with which
    // the flow's reset would then end the new connection.
    record.sequenceOrOpenNumber
        = packet.tcpSequence + packet.payloadSize + (packet.flags.syn ? 1U : 0U) + (packet.flags.fin ? 1U : 0U);
    // The caller acknowledges what the target sends, so the caller's segments alone show that a TCP flow is alive. A
    // flow whose target keeps sending to a caller that has gone must not appear more recent than the caller's next
    // flow.
    if (record.key.protocol == Protocol::Udp)
        record.lastActivityMs = m_state.nowMs();
}

void Holder::handleTargetPacket(Bytes bytes)
{
    auto parsed = parseIpPacket(bytes.data(), bytes.size());
    const IpPacket* packet = std::get_if<IpPacket>(&parsed);
    if (!packet) {
        m_state.count(FlowCounter::DroppedDamaged);
        return;
    }
    FlowKey key = packet->key;
    std::swap(key.sourceAddress, key.destinationAddress);
    std::swap(key.sourcePort, key.destinationPort);
    const PortSpec* port = m_state.port(key);
    if (!port) {
        m_state.count(FlowCounter::DroppedForeign);
        return;
    }
    uint64_t hash = key.hash();
    FlowRecord* record = m_state.table.find(key, hash);
    bool held = record && record->hasRole(FlowRole::held);
    // The target does not have the connection of a speculative packet. The reset is dropped and the owner is told; the
    // owner decides whether the caller gets a reset.
    bool targetMayLackConnection = !held || record->hasFlag(FlowFlag::unverified);
    if (targetMayLackConnection && packet->flags.rst) {
        m_state.count(FlowCounter::DroppedUnknown);
        if (held)
            closeFlow(*record);
        else if (m_unreportedClosed.size() < maxPendingReports)
            m_unreportedClosed.push_back({ key, 0, 0 });
        return;
    }
    if (!held && m_state.mayHoldUnknownFlows() && !packet->flags.syn) {
        FlowSummary flow;
        flow.key = key;
        flow.requestMode = port->mode == PortMode::Request;
        held = adoptFlow(flow);
        record = m_state.table.find(key, hash);
        if (held && m_unreportedOpened.size() < maxPendingReports)
            m_unreportedOpened.push_back(key);
    }
    m_state.actions->add(SendToCaller { bytes });
    if (!held)
        return;
    updateFromTargetPacket(*record, *packet);
    if (packet->flags.rst)
        closeFlow(*record);
}

void Holder::sendRefusal(const PacketContext& context, RefusalReason reason)
{
    if (m_state.peer(context.header.sender)) {
        m_state.sendPeer(context.header.sender,
            FlowRefused { reason, context.header.hops, { context.bytes.begin(), context.bytes.end() } });
    } else {
        m_state.forwardToOwner(context);
    }
}

void Holder::handleToHolder(const PacketContext& context)
{
    bool isCurrentTarget = context.header.targetIncarnation == m_state.target || context.isSpeculative();
    if (!m_state.targetStateKnown || context.header.targetIncarnation > m_state.target
        || context.header.hops >= maxHops) {
        m_state.count(FlowCounter::DroppedStale);
        return;
    }
    if (isCurrentTarget && m_state.mayHoldUnknownFlows() && !context.opensFlow()) {
        deliverSpeculatively(context);
        return;
    }
    // The owner has the complete list of flows of the bucket and decides whether the caller gets a reset.
    sendRefusal(context, RefusalReason::Closed);
}

void Holder::handleOpenFlow(const PacketContext& context)
{
    std::optional<RefusalReason> reason = RefusalReason::Unavailable;
    if (context.header.targetIncarnation == m_state.target)
        reason = admit(context, context.header.version);
    else
        m_state.count(FlowCounter::RefusedTarget);
    if (reason)
        sendRefusal(context, *reason);
    else if (m_unreportedOpened.size() < maxPendingReports)
        m_unreportedOpened.push_back(context.packet.key);
}

bool Holder::closeFlow(FlowRecord& record)
{
    m_state.count(FlowCounter::FlowsClosed);
    if (record.hasFlag(FlowFlag::refusing))
        --m_refusingCount;
    else
        m_admission.flows().release();
    // If the report does not fit into the list or is lost, the owner's audit finds that the flow has ended.
    if (m_unreportedClosed.size() < maxPendingReports)
        m_unreportedClosed.push_back({ record.key, record.initialSequence, 0 });
    return m_state.removeRole(record, FlowRole::held | FlowRole::owned | FlowRole::backup);
}

bool Holder::abandonFlow(FlowRecord& record)
{
    m_state.count(FlowCounter::FlowsClosed);
    if (record.hasFlag(FlowFlag::refusing))
        --m_refusingCount;
    else
        m_admission.flows().release();
    return m_state.removeRole(record, FlowRole::held);
}

void Holder::resetFlow(const FlowRecord& record)
{
    if (record.key.protocol != Protocol::Tcp || !record.hasFlag(FlowFlag::established)
        || record.sequenceOrOpenNumber == 0)
        return;
    // The sequence number is the target's next one. If the caller still expects an earlier one that was lost, it
    // answers this reset with a segment, and the owner answers that segment with a reset that has the expected number.
    IpPacket packet;
    packet.key = record.key;
    packet.flags.ack = true;
    packet.tcpAcknowledgement = record.sequenceOrOpenNumber;
    m_state.resetCaller(packet);
}

void Holder::closeHeldFlows()
{
    for (size_t i = 0; i < m_state.table.slotCount();) {
        FlowRecord* record = m_state.table.at(i);
        bool erased = false;
        if (record && record->hasRole(FlowRole::held)) {
            resetFlow(*record);
            erased = closeFlow(*record);
        }
        i += erased ? 0 : 1;
    }
}

void Holder::targetUp(Incarnation incarnation)
{
    m_state.draining = false;
    if (incarnation < m_state.target)
        return;
    bool isSameTarget = incarnation == m_state.target;
    // The first target that this process sees may have been running before the process started.
    bool isFirstTarget = !m_state.targetStateKnown;
    if (!isSameTarget)
        closeHeldFlows();
    m_admission.targetStarted(incarnation);
    if (!isSameTarget) {
        if (m_binding != 0)
            m_state.bindings.release(m_binding);
        m_binding = 0;
        if (m_state.bindings.findOrAdd(m_state.settings.self, incarnation, m_binding))
            m_state.bindings.retain(m_binding);
        m_state.targetMayPredateAgent = isFirstTarget;
        m_state.heldFlowsKnown = !isFirstTarget;
    }
    if (isSameTarget && !m_state.targetUp)
        m_state.targetMayPredateAgent = true; // it was reported down, but has kept its connections
    m_state.target = incarnation;
    m_state.targetStateKnown = true;
    m_state.targetUp = m_binding != 0;
    if (!m_state.heldFlowsKnown)
        startHolderSync();
}

void Holder::targetDown()
{
    closeHeldFlows();
    m_state.targetStateKnown = true;
    m_state.targetUp = false;
    m_state.targetMayPredateAgent = false;
    m_state.heldFlowsKnown = true;
    m_holderSyncSession = 0;
}

bool Holder::sweep(FlowRecord& record)
{
    if (!record.hasRole(FlowRole::held))
        return false;
    Duration idle = m_state.age(record);
    bool udp = record.key.protocol == Protocol::Udp;
    bool ended = record.hasFlag(FlowFlag::callerReset)
        || (record.hasFlag(FlowFlag::callerFin) && record.hasFlag(FlowFlag::targetFin));
    Duration limit = udp ? m_state.settings.udpIdleTimeout : m_state.settings.idleTimeout;
    if (!record.hasFlag(FlowFlag::established))
        limit = std::min(limit, m_state.settings.handshakeTimeout);
    if (record.hasFlag(FlowFlag::refusing))
        limit = std::min(limit, refusingIdleTimeout);
    if (ended)
        limit = std::min(limit, m_state.settings.closedFlowLinger);
    bool isUnanswered
        = !record.hasFlag(FlowFlag::answered | FlowFlag::requestMode) && !udp && idle >= firstAnswerTimeout;
    if (isUnanswered) {
        m_admission.flows().observe(Outcome::TimedOut, idle);
        record.flags |= FlowFlag::answered;
    }
    return idle >= limit && closeFlow(record);
}

} // namespace cicadaward::flow::detail
