// State that the owner and the holder of one agent share: the flow table, the directory, the members of the service,
// the local target, the versions promised to bucket owners and the lease. Internal to the library.
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

// An agent of the service, which may be this one. It is kept while absent from the directory, because its flows may
// continue.
struct Peer {
    Endpoint endpoint;
    DataCentreId dataCentre;
    MemberState state = MemberState::Warming;
    Incarnation target;
    uint32_t capacity = 0;
    uint32_t reportedLimit = UINT32_MAX; // admission limit of the current target; UINT32_MAX before the first report
    uint16_t binding = 0; // number of (member, target) in Bindings, retained here; 0 while the target is unknown
    bool present = false; // listed in the directory, in a data centre that has not been taken out
    bool dataCentreOut = false; // its data centre has been taken out
    bool acceptsNewFlows = false;
    Time absentSince;
    Time dataCentreOutSince;
    Time backoffUntil; // no new flows before this time, because it has refused one
    Time mayHoldUnknownFlowsUntil; // it has restarted, and its target may have flows that no agent knows
};

// An IP packet that the agent is handling.
struct PacketContext {
    const TunnelHeader& header;
    IpPacket packet;
    uint64_t hash = 0;
    BucketId bucket;
    PortMode mode = PortMode::Flow;
    Bytes bytes;

    // An owner that does not know the flow sends its segment to every target that may have the connection. It marks
    // such a packet by leaving out the target incarnation.
    bool isSpeculative() const
    {
        return header.kind == TunnelKind::ToHolder && header.targetIncarnation == Incarnation();
    }
    bool opensFlow() const { return packet.key.protocol == Protocol::Udp || packet.flags.isInitialSyn(); }
};

class AgentState {
public:
    AgentState(const AgentFlowsSettings& agentSettings, const Clock& agentClock)
        : settings(agentSettings)
        , clock(agentClock)
        , table(agentSettings.flowTableBytes)
        , startTime(agentClock.now())
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
    bool isAnyDataCentreOut = false; // cached, so that a packet needs no look-up while no data centre is out
    std::map<MemberId, Peer> peers;
    // For each bucket, the highest version at which a sync request was answered. Below it, flows of the bucket are
    // neither placed nor admitted here.
    std::vector<DirectoryVersion> promisedVersions;

    // The local target.
    Incarnation target;
    bool targetStateKnown = false; // TargetUp or TargetDown has been received
    bool targetUp = false;
    bool draining = false;
    // The target may have connections from before this process started, or from before it was reported down.
    bool targetMayPredateAgent = false;
    bool heldFlowsKnown = false; // the flows of the target are known; false during a holder sync

    size_t heldCount = 0;
    size_t ownedCount = 0;

    // Lease.
    Time startTime;
    Time lastContact;
    bool hasContact = false;
    // The last contact and the directory version that it named. It renews the lease only once this version has arrived,
    // because an agent with an old directory must not place or admit flows.
    Time pendingContact;
    DirectoryVersion pendingVersion;
    Time lastOtherDataCentre;

    Time now() const { return clock.now(); }
    uint32_t nowMs() const
    {
        return static_cast<uint32_t>(std::chrono::duration_cast<std::chrono::milliseconds>(now() - startTime).count());
    }
    Duration age(const FlowRecord& record) const { return std::chrono::milliseconds(nowMs() - record.lastActivityMs); }
    void count(FlowCounter counter, uint64_t number = 1) { counters.add(counter, number); }

    DirectoryVersion version() const { return directory ? directory->version : DirectoryVersion {}; }
    bool owns(BucketId bucket) const;
    bool isRecentlyStarted() const { return now() - startTime < settings.absentMemberTimeout; }
    bool mayHoldUnknownFlows() const { return targetUp && targetMayPredateAgent && isRecentlyStarted(); }
    // The member that stores the copy of the owner's record of a flow: the backup of the bucket, or the spare member if
    // the backup holds the flow, because the copy would then be lost together with the flow. No member if the service
    // has fewer than three.
    MemberId copyMember(BucketId bucket, MemberId holder) const;
    MemberId spareMember(BucketId bucket) const { return m_spareMembers[bucket.value()]; }
    bool hasLease() const { return hasContact && now() - lastContact < settings.lease; }
    bool isIsolated() const;
    bool isOut(DataCentreId dataCentre) const { return isAnyDataCentreOut && directory->isTakenOut(dataCentre); }
    bool isOwnDataCentreOut() const { return isOut(settings.dataCentre); }
    BucketId bucketOfHash(uint64_t hash) const { return bucketOf(hash, buckets->bucketCount()); }
    const PortSpec* port(const FlowKey& key) const;

    // Changes of a record that also update the counts in Bindings.
    void setHolder(FlowRecord& record, uint16_t binding);
    void addRole(FlowRecord& record, uint8_t role);
    // Removes roles, and erases the record when it has no role left. Returns true when the record was erased.
    bool removeRole(FlowRecord& record, uint8_t role);
    bool isAt(const FlowRecord& record, MemberId member) const { return bindings.at(record.binding).member == member; }

    TunnelHeader header(TunnelKind kind, BucketId bucket, uint8_t hops, Incarnation incarnation = {}) const;
    // Does nothing for this agent itself, for a member that has never been in the directory, and, except for sync
    // messages, for a member of a data centre that has been taken out.
    void sendPeer(MemberId member, const PeerMessage& message);
    void sendTunnel(const Endpoint& to, const TunnelHeader& tunnelHeader, Bytes packet)
    {
        actions->add(SendTunnel { to, tunnelHeader, packet });
    }
    void forwardToOwner(const PacketContext& context);
    void resetCaller(const IpPacket& packet);
    void requestDirectory(DirectoryVersion wanted);

    // Installs a directory that is newer than the current one. Returns the members that were absent before.
    std::vector<MemberId> installDirectory(std::shared_ptr<const Directory> newer);
    Peer* peer(MemberId member)
    {
        auto found = peers.find(member);
        return found == peers.end() ? nullptr : &found->second;
    }

private:
    void updatePeer(const Member& member, Peer& peer);
    void chooseSpareMembers();

    std::vector<MemberId> m_spareMembers; // for each bucket, a member that is neither its owner nor its backup
    DirectoryVersion m_requestedVersion;
    Time m_lastDirectoryRequest;
};

FlowSummary summarize(const AgentState& state, const FlowRecord& record);
uint8_t flagsFromSummary(const FlowSummary& summary);

} // namespace cicadaward::flow::detail
