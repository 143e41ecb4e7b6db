// What owner and holder of one agent share: the flow table, the directory, the members of the service, the local
// target, the promises given and the lease. Internal to the library.
#pragma once

#include "core/clock.h"
#include "directory/bucket_table.h"
#include "flow/agent_flows.h"
#include "flow/bindings.h"
#include "flow/flow_table.h"
#include "flow/messages.h"

#include <map>
#include <memory>
#include <vector>

namespace cicadaward::flow::detail {

// Another agent of the service, or this one. Kept while absent from the directory, because its flows continue.
struct Peer {
    Endpoint endpoint;
    DataCentreId dataCentre;
    MemberState state = MemberState::Warming;
    Incarnation target;
    uint32_t capacity = 0;
    uint32_t reportedLimit = UINT32_MAX; // for the current incarnation
    uint16_t binding = 0; // (member, target), retained; 0 while the target is unknown
    bool present = false; // in the directory, in a data centre that is in
    bool out = false; // its data centre has been taken out
    bool takesNew = false;
    Time absentSince;
    Time outSince;
    Time avoidUntil; // it refused a flow recently
    Time mayHoldUnknownUntil; // it restarted, and its target may have flows that no agent knows
};

// An IP packet on its way through the agent.
struct PacketContext {
    const TunnelHeader& header;
    IpPacket packet;
    uint64_t hash = 0;
    BucketId bucket;
    PortMode mode = PortMode::Flow;
    Bytes bytes;

    // An owner that does not know the flow offers its segment to targets that may have the connection.
    bool isOffer() const { return header.kind == TunnelKind::ToHolder && header.targetIncarnation == Incarnation(); }
    bool opens() const { return packet.key.protocol == Protocol::Udp || packet.flags.opensConnection(); }
};

class AgentState {
public:
    AgentState(const AgentFlowsSettings& agentSettings, const Clock& agentClock)
        : settings(agentSettings)
        , clock(agentClock)
        , table(agentSettings.flowBytes)
        , started(agentClock.now())
    {
    }

    const AgentFlowsSettings settings;
    const Clock& clock;
    FlowTable table;
    Bindings bindings;
    FlowCounters counters;
    Actions* actions = nullptr; // of the event being handled

    std::shared_ptr<const Directory> directory;
    std::unique_ptr<BucketTable> buckets; // null without the service in the directory
    const Service* service = nullptr;
    bool anyOut = false; // some data centre is out; spares each packet the look-up
    std::map<MemberId, Peer> peers;
    std::vector<DirectoryVersion> promised; // for each bucket, the highest version whose sync was answered

    // The local target.
    Incarnation target;
    bool targetKnown = false; // TargetUp or TargetDown has been received
    bool targetUp = false;
    bool draining = false;
    // The target may have been running before this process: it may have flows that this process does not know.
    bool targetMayBeOlder = false;
    bool holderComplete = false; // the flows of the target are known

    size_t heldCount = 0;
    size_t ownedCount = 0;

    // Lease.
    Time started;
    Time lastContact;
    bool hasContact = false;
    // A contact that named a directory that is not here yet. It renews the lease once the directory has arrived: an
    // agent that does not learn of changes must not decide.
    Time pendingContact;
    DirectoryVersion pendingVersion;
    Time lastOtherDataCentre;

    Time now() const { return clock.now(); }
    uint32_t stamp() const
    {
        return static_cast<uint32_t>(std::chrono::duration_cast<std::chrono::milliseconds>(now() - started).count());
    }
    Duration age(const FlowRecord& record) const { return std::chrono::milliseconds(stamp() - record.stamp); }
    void count(FlowCounter counter, uint64_t number = 1) { counters.add(counter, number); }

    DirectoryVersion version() const { return directory ? directory->version : DirectoryVersion {}; }
    bool owns(BucketId bucket) const;
    bool isYoung() const { return now() - started < settings.absentHold; }
    bool mayHoldUnknown() const { return targetUp && targetMayBeOlder && isYoung(); }
    // The member that keeps the owner's copy of a flow: the bucket's backup, or another member if the backup holds the
    // flow, because a copy beside the flow would be lost with it. None in a service of fewer than three members.
    MemberId copyMember(BucketId bucket, MemberId holder) const;
    MemberId spareMember(BucketId bucket) const { return m_spares[bucket.value()]; }
    bool hasLease() const { return hasContact && now() - lastContact < settings.lease; }
    bool isIsolated() const;
    bool isOut(DataCentreId dataCentre) const { return anyOut && directory->isTakenOut(dataCentre); }
    bool isSelfOut() const { return isOut(settings.dataCentre); }
    BucketId bucketOfHash(uint64_t hash) const { return bucketOf(hash, buckets->bucketCount()); }
    const PortSpec* port(const FlowKey& key) const;

    // Record changes that keep the counts of bindings right.
    void setHolder(FlowRecord& record, uint16_t binding);
    void addRole(FlowRecord& record, uint8_t role);
    // Removes roles, and the record with the last of them. Returns true when the record is gone.
    bool removeRole(FlowRecord& record, uint8_t role);
    bool isAt(const FlowRecord& record, MemberId member) const { return bindings.at(record.binding).member == member; }

    TunnelHeader header(TunnelKind kind, BucketId bucket, uint8_t hops, Incarnation incarnation = {}) const;
    // Does nothing when the member has never been in the directory.
    void sendPeer(MemberId member, const PeerMessage& message);
    void sendTunnel(const Endpoint& to, const TunnelHeader& tunnelHeader, Bytes packet)
    {
        actions->add(SendTunnel { to, tunnelHeader, packet });
    }
    void forwardToOwner(const PacketContext& context);
    void resetCaller(const IpPacket& packet);
    void wantDirectory(DirectoryVersion wanted);

    // Installs a directory that is newer than the current one. Returns the members that were absent before.
    std::vector<MemberId> install(std::shared_ptr<const Directory> newer);
    Peer* peer(MemberId member)
    {
        auto found = peers.find(member);
        return found == peers.end() ? nullptr : &found->second;
    }

private:
    void updatePeer(const Member& member, Peer& peer);
    void chooseSpares();

    std::vector<MemberId> m_spares; // for each bucket, a member that is neither owner nor backup
    DirectoryVersion m_wanted;
    Time m_lastWanted;
};

FlowSummary summarize(const AgentState& state, const FlowRecord& record);
uint8_t flagsOf(const FlowSummary& summary);

} // namespace cicadaward::flow::detail
