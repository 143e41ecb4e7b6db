// Bucket owner: chooses the targets of new flows of its buckets and knows which flows are held by other agents.
// Internal to the library; AgentFlows is the public class.
//
// A new flow goes to the member with the lowest ratio of flows in this owner's buckets to capacity. Because the balance
// does not depend on load reports, several owners cannot all choose the same target by the same old report, and with n
// owners the total of each target differs from balance by at most n flows. Cost: O(members) for a new flow, one look-up
// for any other packet.
#pragma once

#include "flow/agent_state.h"
#include "flow/bucket_sync.h"
#include "flow/packet_queue.h"

#include <functional>
#include <optional>
#include <vector>

namespace cicadaward::flow::detail {

// The interface through which the owner uses the holder of the same agent.
class LocalHolder {
public:
    virtual ~LocalHolder() = default;
    virtual bool canAdmitFlows() const = 0;
    virtual uint32_t flowLimit() const = 0;
    // Opens the flow at the local target and delivers the packet. Returns the reason if the flow is refused.
    virtual std::optional<RefusalReason> admit(const PacketContext& context, DirectoryVersion version) = 0;
    // Delivers the packet to the agent's endpoint, which answers every request of the connection with 503. Returns
    // false if the limit of such connections is reached.
    virtual bool openRefusingConnection(const PacketContext& context) = 0;
    // Delivers a segment of an unknown flow to the local target, which may have the connection.
    virtual void deliverSpeculatively(const PacketContext& context) = 0;
    // Removes a held flow whose caller continues at another target. Returns true when the record was erased.
    virtual bool abandonFlow(FlowRecord& record) = 0;
};

class Owner {
public:
    Owner(AgentState& state, Random& random, LocalHolder& holder)
        : m_state(state)
        , m_random(random)
        , m_holder(holder)
        , m_sync(state, random)
    {
    }

    // Sets the function that handles packets that have waited in the queue.
    void setReplay(std::function<void(const TunnelHeader&, Bytes)> replay) { m_replay = std::move(replay); }

    // A packet of a flow that is not held here.
    void handlePacket(const PacketContext& context);

    // `missed`: at least one version between the previous directory and this one was not received.
    void directoryChanged(const std::vector<MemberId>& joined, bool missed);
    void leaseLapsed();
    void leaseRenewed();
    // This agent has promised the bucket to another member with a newer version.
    void bucketPromised(BucketId bucket);

    void handleFlowOpened(MemberId sender, const FlowOpened& message);
    void handleFlowClosed(const FlowClosed& message);
    void handleFlowRefused(
        MemberId sender, DirectoryVersion version, const FlowRefused& message, const PacketContext& context);
    void handleSyncReply(MemberId sender, const BucketSyncReply& message);
    void handleSyncStale(const BucketSyncStale& message) { m_state.requestDirectory(message.version); }
    void handleLoadReport(MemberId sender, const LoadReport& message);

    void tick();
    // Called for each record about once a second. Returns true when the record was erased.
    bool sweep(FlowRecord& record);
    void sweepEnded();

    // Sends the present state of the flow to the member with its copy on the next tick.
    void queueBackupUpdate(const FlowKey& key);
    // Handles all queued packets again.
    void replayAll();

    const BucketSync& sync() const { return m_sync; }
    size_t queuedPacketCount() const { return m_queue.size(); }

private:
    // True if this owner may place flows of the bucket and answer segments of its unknown flows: it has the lease, the
    // bucket is settled, no newer version has been promised for it, and the flows held here are known.
    bool isAuthoritative(BucketId bucket) const;
    void handlePacketOfUnknownFlow(const PacketContext& context);
    void placeFlow(const PacketContext& context, unsigned tries);
    bool tryPlaceAt(const PacketContext& context, MemberId member, unsigned tries);
    void refuse(const PacketContext& context);
    // Handles a later segment of a flow that neither this owner nor any member that has answered its sync knows.
    void handleSegmentOfUnknownFlow(const PacketContext& context);
    bool forwardByCopy(const PacketContext& context);
    void forward(const PacketContext& context, FlowRecord& record);
    bool hasEnded(const FlowRecord& record) const;
    bool isRecordMoreRecent(const FlowRecord& record, const FlowSummary& flow) const;
    bool chooseMember(uint64_t flowHash, MemberId& chosen) const;
    uint32_t placementWeight(MemberId member, const Peer& peer) const;
    void takeOverBuckets(bool evenIfTakenOver);
    void queuePacket(const PacketContext& context);
    void replay(const std::vector<BucketId>& buckets);
    void recordReportedFlow(MemberId holder, Incarnation incarnation, const FlowSummary& flow, uint8_t role);
    void backOffFrom(MemberId member);
    void updateRecordRoles();
    void scheduleBucketCopy(BucketId bucket);
    void flushBackupUpdates();
    bool auditRecord(FlowRecord& record);
    void queueCheck(FlowRecord& record);
    void handleClosedRefusal(const PacketContext& context, FlowRecord* record);
    void flushChecks();
    void refreshCopies();

    AgentState& m_state;
    Random& m_random;
    LocalHolder& m_holder;
    BucketSync m_sync;
    PacketQueue m_queue;
    std::optional<Time> m_replayedPacketArrival; // set while a queued packet is handled again
    std::function<void(const TunnelHeader&, Bytes)> m_replay;
    uint32_t m_openFlowsSent = 0; // OpenFlow packets sent
    bool m_fenced = true; // without a lease, no buckets are taken over and no flows placed
    std::vector<uint8_t> m_copySweepsLeft; // for each bucket, the sweeps that still have to copy its flows
    std::vector<std::pair<MemberId, MemberId>>
        m_copyMembers; // for each bucket, the backup and the spare member, which have the copies
    std::vector<bool> m_incompleteBuckets; // buckets with reported flows for which the flow table had no room
    uint32_t m_refreshedBuckets = 0; // buckets whose copies have been sent again in this refresh
    Time m_refreshStart;
    std::vector<FlowKey> m_pendingBackupUpdates; // flows whose present state has not been sent to the backup
    std::vector<std::pair<uint16_t, FlowId>> m_pendingChecks; // (binding of the holder, flow to ask it about)
};

} // namespace cicadaward::flow::detail
