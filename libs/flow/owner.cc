#include "flow/owner.h"

#include <algorithm>

namespace cicadaward::flow::detail {

namespace {

    constexpr unsigned maxTries = 3; // the first member and at most two others
    constexpr Duration avoidTime = std::chrono::milliseconds(200);

} // namespace

bool Owner::mayDecide(BucketId bucket) const
{
    return m_state.hasLease() && !m_fenced && m_sync.isSettled(bucket)
        && m_state.promised[bucket.value()] <= m_state.version() && m_state.holderComplete;
}

void Owner::packet(const PacketContext& context)
{
    FlowRecord* record = m_state.table.find(context.packet.key, context.hash);
    if (record && record->is(FlowRole::owned)) {
        const Binding& binding = m_state.bindings.at(record->binding);
        const Peer* holder = m_state.peer(binding.member);
        bool reopen = record->is(FlowRole::opening) && context.packet.flags.opensConnection();
        auto hops = static_cast<uint8_t>(context.header.hops + 1);
        if (!holder || holder->out || hops > maxHops) {
            m_state.count(FlowCounter::DroppedHops);
            return;
        }
        // Opening again is a decision; without the right to decide, only an open flow gets the packet.
        TunnelKind kind = reopen && mayDecide(context.bucket) ? TunnelKind::OpenFlow : TunnelKind::ToHolder;
        m_state.count(FlowCounter::ForwardedToHolder);
        m_state.sendTunnel(
            holder->endpoint, m_state.header(kind, context.bucket, hops, binding.incarnation), context.bytes);
        return;
    }
    unknownFlow(context);
}

void Owner::unknownFlow(const PacketContext& context)
{
    if (!m_state.owns(context.bucket)) {
        if (context.header.version <= m_state.version()) {
            m_state.forwardToOwner(context);
        } else {
            // The sender takes this agent for the owner and knows more.
            queue(context);
        }
        return;
    }
    if (!mayDecide(context.bucket)) {
        FlowRecord* record = m_state.table.find(context.packet.key, context.hash);
        const Peer* holder = record ? m_state.peer(m_state.bindings.at(record->binding).member) : nullptr;
        // A copy from the time as backup tells where the flow probably is. The holder delivers it only if it has the
        // flow, else the packet comes back and waits.
        if (holder && !holder->out && context.header.hops < 2 && !context.opens()) {
            m_state.count(FlowCounter::ForwardedToHolder);
            m_state.sendTunnel(holder->endpoint,
                m_state.header(TunnelKind::ToOwner, context.bucket, static_cast<uint8_t>(context.header.hops + 1)),
                context.bytes);
        } else {
            queue(context);
        }
        return;
    }
    if (context.opens()) {
        place(context, nullptr, 0);
    } else if (!m_sync.isComplete(context.bucket)) {
        queue(context);
    } else if (m_partial[context.bucket.value()]) {
        m_state.count(FlowCounter::ListIncomplete);
    } else if (m_state.mayHoldUnknown && m_state.targetUp) {
        m_holder.deliverUnknown(context);
    } else {
        m_state.resetCaller(context.packet);
    }
}

uint32_t Owner::weight(MemberId member, const Peer& peer) const
{
    if (member == m_state.settings.self)
        return std::min(peer.capacity, m_holder.flowLimit());
    if (peer.reportedLimit != UINT32_MAX)
        return std::min(peer.capacity, peer.reportedLimit);
    if (peer.state == MemberState::Warming)
        return std::max(1U, static_cast<uint32_t>(peer.capacity * m_state.service->spec.coldShare));
    return peer.capacity;
}

bool Owner::choose(uint64_t flowHash, MemberId& chosen) const
{
    double bestRatio = 0;
    uint64_t bestRank = 0;
    bool found = false;
    for (const auto& [member, peer] : m_state.peers) {
        if (!peer.takesNew || peer.binding == 0 || m_state.now() < peer.avoidUntil)
            continue;
        if (member == m_state.settings.self && !m_holder.acceptsNew())
            continue;
        double share = std::max(1U, weight(member, peer));
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

void Owner::avoid(MemberId member)
{
    // Jitter keeps the owners from trying a full target again at the same moment.
    if (Peer* peer = m_state.peer(member))
        peer->avoidUntil = m_state.now() + avoidTime / 2 + avoidTime * m_random.below(1000) / 1000;
}

void Owner::place(const PacketContext& context, FlowRecord* record, unsigned tries)
{
    MemberId member;
    while (tries < maxTries && choose(context.hash, member)) {
        ++tries;
        if (offer(context, member, record, tries))
            return;
        // A refusal of the local holder may have left the record as it was; it is looked up again.
        record = m_state.table.find(context.packet.key, context.hash);
    }
    refuse(context, record);
}

bool Owner::offer(const PacketContext& context, MemberId member, FlowRecord* record, unsigned tries)
{
    if (member == m_state.settings.self) {
        if (m_holder.admit(context, m_state.version())) {
            avoid(member);
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
        record->stamp = m_state.stamp();
        record->flags = context.mode == PortMode::Request ? FlowFlag::request : 0;
        m_state.sendTunnel(peer.endpoint,
            m_state.header(
                TunnelKind::OpenFlow, context.bucket, static_cast<uint8_t>(context.header.hops + 1), peer.target),
            context.bytes);
    }
    m_state.count(FlowCounter::FlowsPlaced);
    changed(context.packet.key);
    return true;
}

void Owner::refuse(const PacketContext& context, FlowRecord* record)
{
    m_state.count(FlowCounter::PlacementRefused);
    if (record) {
        changed(record->key);
        m_state.removeRole(*record, FlowRole::owned | FlowRole::backup);
    }
    if (context.mode == PortMode::Request && m_holder.admitRefusing(context))
        return;
    m_state.resetCaller(context.packet);
}

void Owner::queue(const PacketContext& context)
{
    m_state.wantDirectory(context.header.version);
    QueuedPacket packet { context.header, { context.bytes.begin(), context.bytes.end() }, m_state.now() };
    if (!m_queue.push(context.bucket, std::move(packet)))
        m_state.count(FlowCounter::DroppedQueueFull);
}

void Owner::replay(const std::vector<BucketId>& buckets)
{
    for (BucketId bucket : buckets) {
        for (QueuedPacket& packet : m_queue.take(bucket))
            m_replay(packet.header, m_state.actions->keep(std::move(packet.bytes)));
    }
}

void Owner::replayAll() { replay(m_queue.buckets()); }

void Owner::directoryChanged(const std::vector<MemberId>& joined)
{
    size_t count = m_state.buckets ? m_state.buckets->bucketCount() : 0;
    if (m_fenced && m_state.hasLease() && m_state.version() >= m_least)
        m_fenced = false;
    m_sync.resize(count);
    m_copy.resize(count);
    m_partial.resize(count);
    m_backups.resize(count);
    for (MemberId member : joined)
        m_sync.memberJoined(member);
    for (size_t i = 0; i < count; ++i) {
        BucketId bucket(static_cast<uint16_t>(i));
        if (!m_state.owns(bucket))
            m_sync.drop(bucket);
        else if (!m_sync.isTaken(bucket) && !m_fenced && m_state.promised[i] <= m_state.version()) {
            m_partial[i] = false;
            m_sync.take(bucket);
        }
        const Member* backup = m_state.buckets->backup(bucket);
        MemberId backupId = backup ? backup->id : MemberId();
        if (m_state.owns(bucket) && backupId != m_backups[i])
            copyToBackup(bucket);
        m_backups[i] = m_state.owns(bucket) ? backupId : MemberId();
    }
    dropRecords();
    replay(m_sync.tick());
    replayAll();
}

// Records of flows that the new directory ends: their target started again or their data centre is out. Records of
// buckets that are owned elsewhere now become copies.
void Owner::dropRecords()
{
    FlowTable& table = m_state.table;
    for (size_t i = 0; i < table.slots();) {
        FlowRecord* record = table.at(i);
        bool gone = false;
        if (record && !record->is(FlowRole::held)) {
            const Binding& binding = m_state.bindings.at(record->binding);
            const Peer* holder = m_state.peer(binding.member);
            bool ended = holder
                && (holder->out || (holder->present && binding.incarnation < holder->target)
                    || (holder->present && holder->state == MemberState::TargetDown
                        && binding.incarnation <= holder->target));
            if (ended)
                gone = m_state.removeRole(*record, FlowRole::owned | FlowRole::backup);
        }
        if (record && !gone && record->is(FlowRole::owned) && !m_state.owns(m_state.bucketOfHash(record->key.hash()))) {
            m_state.addRole(*record, FlowRole::backup);
            m_state.removeRole(*record, FlowRole::owned);
            record->stamp = record->is(FlowRole::held) ? record->stamp : m_state.stamp();
        }
        i += gone ? 0 : 1;
    }
}

void Owner::leaseLapsed()
{
    m_fenced = true;
    for (size_t i = 0; i < m_backups.size(); ++i)
        m_sync.drop(BucketId(static_cast<uint16_t>(i)));
}

void Owner::leaseRenewed(DirectoryVersion latest)
{
    m_least = latest;
    m_state.wantDirectory(latest);
    if (m_state.directory)
        directoryChanged({});
}

void Owner::promised(BucketId bucket) { m_sync.drop(bucket); }

void Owner::syncReply(MemberId sender, const BucketSyncReply& message)
{
    if (!m_sync.accepts(sender, message))
        return;
    for (const FlowSummary& flow : message.flows)
        learn(sender, message.incarnation, flow, FlowRole::owned);
    replay(m_sync.answered(sender, message));
}

} // namespace cicadaward::flow::detail
