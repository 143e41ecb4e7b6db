#include "flow/agent_state.h"

#include <algorithm>
#include <set>

namespace cicadaward::flow::detail {

namespace {

    // A request for the same directory is repeated after this time, because the first one may be lost.
    constexpr Duration directoryRequestInterval = std::chrono::milliseconds(100);

} // namespace

bool AgentState::owns(BucketId bucket) const
{
    const Member* owner = buckets ? buckets->owner(bucket) : nullptr;
    return owner && owner->id == settings.self;
}

bool AgentState::isIsolated() const
{
    if (hasLease() || !directory)
        return false;
    size_t dataCentresIn = 0;
    for (const DataCentre& dataCentre : directory->dataCentres)
        dataCentresIn += dataCentre.isTakenOut ? 0 : 1;
    // With a single data centre, no other one can be heard from and none can take over.
    if (dataCentresIn < 2)
        return false;
    return now() - std::max({ lastContact, lastOtherDataCentre, startTime }) >= settings.isolationTimeout;
}

MemberId AgentState::copyMember(BucketId bucket, MemberId holder) const
{
    const Member* backup = buckets->backup(bucket);
    if (backup && backup->id != holder)
        return backup->id;
    return spareMember(bucket);
}

void AgentState::chooseSpareMembers()
{
    m_spareMembers.assign(buckets ? buckets->bucketCount() : 0, MemberId());
    for (size_t i = 0; i < m_spareMembers.size(); ++i) {
        BucketId bucket(static_cast<uint16_t>(i));
        uint64_t bestRank = 0;
        for (const Member& member : buckets->members()) {
            if (!buckets->acceptsNewFlows(member) || &member == buckets->owner(bucket)
                || &member == buckets->backup(bucket))
                continue;
            uint64_t rank = mixHash(member.id.value(), i);
            if (rank >= bestRank) {
                bestRank = rank;
                m_spareMembers[i] = member.id;
            }
        }
    }
}

const PortSpec* AgentState::port(const FlowKey& key) const
{
    if (!service || key.destinationAddress != service->spec.address)
        return nullptr;
    for (const PortSpec& spec : service->spec.ports) {
        if (spec.port == key.destinationPort && spec.protocol == key.protocol)
            return &spec;
    }
    return nullptr;
}

void AgentState::setHolder(FlowRecord& record, uint16_t binding)
{
    if (record.binding == binding)
        return;
    bindings.retain(binding);
    if (record.hasRole(FlowRole::owned))
        bindings.retainOwned(binding);
    if (record.binding != 0) {
        if (record.hasRole(FlowRole::owned))
            bindings.releaseOwned(record.binding);
        bindings.release(record.binding);
    }
    record.binding = binding;
}

void AgentState::addRole(FlowRecord& record, uint8_t role)
{
    uint8_t added = role & static_cast<uint8_t>(~record.roles);
    if (added & FlowRole::held)
        ++heldCount;
    if (added & FlowRole::owned) {
        ++ownedCount;
        bindings.retainOwned(record.binding);
    }
    record.roles |= role;
}

bool AgentState::removeRole(FlowRecord& record, uint8_t role)
{
    uint8_t removed = role & record.roles;
    if (removed & FlowRole::held)
        --heldCount;
    if (removed & FlowRole::owned) {
        --ownedCount;
        bindings.releaseOwned(record.binding);
        record.roles &= static_cast<uint8_t>(~(FlowRole::opening | FlowRole::triesMask));
    }
    record.roles &= static_cast<uint8_t>(~role);
    if (record.hasRole(FlowRole::held | FlowRole::owned | FlowRole::backup))
        return false;
    bindings.release(record.binding);
    table.erase(&record);
    return true;
}

TunnelHeader AgentState::header(TunnelKind kind, BucketId bucket, uint8_t hops, Incarnation incarnation) const
{
    TunnelHeader tunnelHeader;
    tunnelHeader.kind = kind;
    tunnelHeader.hops = hops;
    tunnelHeader.bucket = bucket;
    tunnelHeader.service = settings.service;
    tunnelHeader.version = version();
    tunnelHeader.sender = settings.self;
    tunnelHeader.dataCentre = settings.dataCentre;
    tunnelHeader.targetIncarnation = incarnation;
    return tunnelHeader;
}

void AgentState::sendPeer(MemberId member, const PeerMessage& message)
{
    const Peer* to = peer(member);
    // A data centre that has been taken out gets only sync messages: its agents still have to promise that they place
    // and admit no more flows.
    bool sync = std::holds_alternative<BucketSyncRequest>(message) || std::holds_alternative<BucketSyncReply>(message)
        || std::holds_alternative<BucketSyncStale>(message);
    if (!to || (to->dataCentreOut && !sync) || member == settings.self)
        return;
    Bytes bytes = actions->store(encodePeerMessage(message));
    actions->add(SendPeer { member, to->endpoint, header(TunnelKind::PeerMessage, BucketId(), 0), bytes });
}

void AgentState::forwardToOwner(const PacketContext& context)
{
    const Member* owner = buckets->owner(context.bucket);
    if (!owner) {
        count(FlowCounter::DroppedNoOwner);
        return;
    }
    auto hops = static_cast<uint8_t>(context.header.hops + 1);
    if (hops > maxHops) {
        count(FlowCounter::DroppedHops);
        return;
    }
    count(FlowCounter::ForwardedToOwner);
    sendTunnel(owner->tunnel, header(TunnelKind::ToOwner, context.bucket, hops), context.bytes);
}

void AgentState::resetCaller(const IpPacket& packet)
{
    if (packet.key.protocol != Protocol::Tcp || packet.flags.rst)
        return;
    count(FlowCounter::Resets);
    actions->add(SendToCaller { actions->store(buildTcpReset(packet)) });
}

void AgentState::requestDirectory(DirectoryVersion wanted)
{
    if (wanted <= version())
        return;
    if (wanted <= m_requestedVersion && now() - m_lastDirectoryRequest < directoryRequestInterval)
        return;
    m_requestedVersion = wanted;
    m_lastDirectoryRequest = now();
    actions->add(RequestDirectory { wanted });
}

void AgentState::updatePeer(const Member& member, Peer& peer)
{
    peer.endpoint = member.tunnel;
    peer.dataCentre = member.dataCentre;
    peer.state = member.state;
    peer.capacity = member.capacity;
    bool out = directory->isTakenOut(member.dataCentre);
    if (out && !peer.dataCentreOut)
        peer.dataCentreOutSince = now();
    peer.dataCentreOut = out;
    peer.acceptsNewFlows = acceptsNewFlows(*directory, member);
    if (member.target == peer.target && (peer.binding != 0 || member.target == Incarnation()))
        return;
    if (peer.binding != 0)
        bindings.release(peer.binding);
    peer.binding = 0;
    peer.target = member.target;
    peer.reportedLimit = UINT32_MAX;
    if (member.target != Incarnation() && bindings.findOrAdd(member.id, member.target, peer.binding))
        bindings.retain(peer.binding);
}

std::vector<MemberId> AgentState::installDirectory(std::shared_ptr<const Directory> newer)
{
    directory = std::move(newer);
    service = directory->findService(settings.service);
    isAnyDataCentreOut = std::any_of(directory->dataCentres.begin(), directory->dataCentres.end(),
        [](const DataCentre& dataCentre) { return dataCentre.isTakenOut; });
    buckets = service ? std::make_unique<BucketTable>(*directory, *service) : nullptr;
    if (service)
        promisedVersions.resize(service->spec.buckets);
    chooseSpareMembers();
    std::vector<MemberId> joined;
    std::set<MemberId> present;
    if (buckets) {
        for (const Member& member : buckets->members()) {
            Peer& peer = peers[member.id];
            updatePeer(member, peer);
            if (peer.dataCentreOut)
                continue;
            present.insert(member.id);
            if (!peer.present && member.id != settings.self)
                joined.push_back(member.id);
            peer.present = true;
        }
    }
    for (auto& [id, peer] : peers) {
        if (!peer.present || present.count(id) > 0)
            continue;
        peer.present = false;
        peer.acceptsNewFlows = false;
        peer.absentSince = now();
    }
    return joined;
}

FlowSummary summarize(const AgentState& state, const FlowRecord& record)
{
    FlowSummary summary;
    summary.key = record.key;
    summary.initialSequence = record.initialSequence;
    summary.idleMs = state.nowMs() - record.lastActivityMs;
    summary.requestMode = record.hasFlag(FlowFlag::requestMode);
    summary.refusing = record.hasFlag(FlowFlag::refusing);
    summary.unverified = record.hasFlag(FlowFlag::unverified);
    return summary;
}

uint8_t flagsFromSummary(const FlowSummary& summary)
{
    uint8_t flags = summary.requestMode ? FlowFlag::requestMode : 0;
    flags |= summary.refusing ? FlowFlag::refusing : 0;
    flags |= summary.unverified ? FlowFlag::unverified : 0;
    return flags;
}

} // namespace cicadaward::flow::detail
