// Holder: the last hop before the local target. It delivers only packets of this service and of the current target
// incarnation, admits new flows within the admission limit, detects the end of flows, and answers the sync requests of
// owners. Internal to the library; AgentFlows is the public class.
#pragma once

#include "admission/target_admission.h"
#include "flow/agent_state.h"
#include "flow/owner.h"

#include <map>
#include <vector>

namespace cicadaward::flow::detail {

class Holder final : public LocalHolder {
public:
    Holder(AgentState& state, TargetAdmission& admission, Random& random)
        : m_state(state)
        , m_admission(admission)
        , m_random(random)
    {
    }

    void setOwner(Owner& owner) { m_owner = &owner; }

    bool canAdmitFlows() const override;
    uint32_t flowLimit() const override { return m_admission.flows().limit(); }
    std::optional<RefusalReason> admit(const PacketContext& context, DirectoryVersion version) override;
    bool openRefusingConnection(const PacketContext& context) override;
    void deliverSpeculatively(const PacketContext& context) override;
    bool abandonFlow(FlowRecord& record) override;

    // Delivers a packet of a held flow. Returns false without delivering it when the flow has ended and the packet
    // opens a new one; the record has been erased then.
    bool deliver(FlowRecord& record, const PacketContext& context);
    // Handle a tunnel packet of kind ToHolder or OpenFlow for a flow that is not held here.
    void handleToHolder(const PacketContext& context);
    void handleOpenFlow(const PacketContext& context);
    void handleTargetPacket(Bytes bytes);

    void targetUp(Incarnation incarnation);
    void targetDown();
    void directoryChanged();

    // Requires heldFlowsKnown. Until then, requests must be ignored; their senders repeat them.
    void answerSync(MemberId sender, const BucketSyncRequest& request, const std::vector<BucketId>& buckets);
    void answerHolderSync(MemberId sender, const HolderSyncRequest& request);
    void handleHolderSyncReply(MemberId sender, const HolderSyncReply& reply);
    void answerCheck(MemberId sender, const FlowCheck& check);
    void answerProbe(MemberId sender);

    void tick();
    // Called for each record about once a second. Returns true when the record was erased.
    bool sweep(FlowRecord& record);

private:
    // A member that the holder sync asks, and the parts of its answer that have arrived.
    struct SyncSource {
        bool done = false;
        std::vector<bool> parts;
        size_t count = 0;
    };

    void sendRefusal(const PacketContext& context, RefusalReason reason);
    FlowRecord* openRecord(const PacketContext& context);
    bool adoptFlow(const FlowSummary& flow);
    void updateFromCallerPacket(FlowRecord& record, const PacketContext& context);
    void updateFromTargetPacket(FlowRecord& record, const IpPacket& packet);
    // Ends a held flow and queues the report to its owner. Returns true when the record was erased.
    bool closeFlow(FlowRecord& record);
    void closeHeldFlows();
    void resetFlow(const FlowRecord& record);
    void startHolderSync();
    void tickHolderSync();
    void flushReports();
    void sendLoadReports();

    AgentState& m_state;
    TargetAdmission& m_admission;
    Random& m_random;
    Owner* m_owner = nullptr;
    uint16_t m_binding = 0; // number of (self, target incarnation) in Bindings, retained here
    size_t m_refusingCount = 0; // open connections on which requests are answered with 503
    std::vector<FlowKey> m_unreportedOpened; // opened flows that have not been reported to their owners
    std::vector<FlowId> m_unreportedClosed;

    uint64_t m_holderSyncSession = 0; // 0 when no holder sync is running
    std::map<MemberId, SyncSource> m_holderSyncSources;
    Time m_nextHolderSyncRequest;

    uint32_t m_reportedLimit = 0;
    Time m_nextLoadReport;
    Time m_nextProbe;
};

} // namespace cicadaward::flow::detail
