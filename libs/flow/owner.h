// Bucket owner: decides where new flows of its buckets go and knows which flows live elsewhere. Internal to the
// library; AgentFlows is the public machine.
//
// Placement takes the member with the lowest ratio of flows in this owner's buckets to capacity. It needs no load
// reports, so several owners cannot follow the same old report to the same target, and with n owners the sums differ by
// at most n flows for each target. Cost: O(members) for a new flow, one look-up for any other packet.
#pragma once

#include "flow/agent_state.h"
#include "flow/bucket_sync.h"
#include "flow/packet_queue.h"

#include <functional>
#include <optional>
#include <vector>

namespace cicadaward::flow::detail {

// What the owner needs of the holder beside it.
class LocalHolder {
public:
    virtual ~LocalHolder() = default;
    virtual bool canAdmitFlows() const = 0;
    virtual uint32_t flowLimit() const = 0;
    // Opens the flow at the local target and delivers the packet; a reason when it is refused.
    virtual std::optional<RefusalReason> admit(const PacketContext& context, DirectoryVersion version) = 0;
    // Delivers the packet to the endpoint that answers with 503; false when no more such connections are taken.
    virtual bool openRefusingConnection(const PacketContext& context) = 0;
    // Delivers a segment of a flow that this process does not know to the target that may know it.
    virtual void deliverSpeculatively(const PacketContext& context) = 0;
    // Gives up a held flow whose caller has gone on elsewhere. Returns true when the record is gone.
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

    // Handles packets that waited; the machine's own entry for packets.
    void setReplay(std::function<void(const TunnelHeader&, Bytes)> replay) { m_replay = std::move(replay); }

    // A packet of a flow that is not held here.
    void handlePacket(const PacketContext& context);

    // `missed`: at least one version between the last directory and this one was never seen here.
    void directoryChanged(const std::vector<MemberId>& joined, bool missed);
    void leaseLapsed();
    void leaseRenewed();
    // Another member has been promised the bucket at a newer version.
    void bucketPromised(BucketId bucket);

    void handleFlowOpened(MemberId sender, const FlowOpened& message);
    void handleFlowClosed(const FlowClosed& message);
    void handleFlowRefused(
        MemberId sender, DirectoryVersion version, const FlowRefused& message, const PacketContext& context);
    void handleSyncReply(MemberId sender, const BucketSyncReply& message);
    void handleSyncStale(const BucketSyncStale& message) { m_state.requestDirectory(message.version); }
    void handleLoadReport(MemberId sender, const LoadReport& message);

    void tick();
    // Called for each record about once a second. Returns true when the record is gone.
    bool sweep(FlowRecord& record);
    void sweepEnded();

    // The flow was closed or moved: the backup is told with the next tick.
    void queueBackupUpdate(const FlowKey& key);
    // Packets that waited for this agent are handled again.
    void replayAll();

    const BucketSync& sync() const { return m_sync; }
    size_t queuedPacketCount() const { return m_queue.size(); }

private:
    bool mayDecide(BucketId bucket) const;
    void handlePacketOfUnknownFlow(const PacketContext& context);
    void placeFlow(const PacketContext& context, unsigned tries);
    bool tryPlaceAt(const PacketContext& context, MemberId member, unsigned tries);
    void refuse(const PacketContext& context);
    // A segment, not the first, of a flow that neither this owner nor any member that answered knows.
    void handleSegmentOfUnknownFlow(const PacketContext& context);
    bool forwardByCopy(const PacketContext& context);
    void forward(const PacketContext& context, FlowRecord& record);
    bool hasEnded(const FlowRecord& record) const;
    bool isRecordMoreRecent(const FlowRecord& record, const FlowSummary& flow) const;
    bool chooseMember(uint64_t flowHash, MemberId& chosen) const;
    uint32_t placementWeight(MemberId member, const Peer& peer) const;
    void takeOverBuckets(bool again);
    void queuePacket(const PacketContext& context);
    void replay(const std::vector<BucketId>& buckets);
    void recordReportedFlow(MemberId holder, Incarnation incarnation, const FlowSummary& flow, uint8_t role);
    void backOffFrom(MemberId member);
    void updateRecordRoles();
    void copyToBackup(BucketId bucket);
    void flushChanges();
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
    std::optional<Time> m_replayedPacketArrival; // arrival of the packet that is being replayed
    std::function<void(const TunnelHeader&, Bytes)> m_replay;
    uint32_t m_openFlowsSent = 0; // OpenFlow packets sent
    bool m_fenced = true; // no lease since the last take-over
    std::vector<uint8_t> m_copySweepsLeft; // for each bucket, sweeps in which its flows are copied to the backup
    std::vector<std::pair<MemberId, MemberId>>
        m_copyMembers; // for each bucket, backup and spare member that have the copies
    std::vector<bool> m_incompleteBuckets; // buckets with flows that did not fit into the table
    uint32_t m_refreshedBuckets = 0; // buckets whose copies have been repeated
    Time m_refreshStart;
    std::vector<FlowKey> m_pendingBackupUpdates; // flows whose state the backup has not been told
    std::vector<std::pair<uint16_t, FlowId>> m_pendingChecks; // by binding, flows to ask the holder about
};

} // namespace cicadaward::flow::detail
