// Holder: the last hop before the target. It delivers packets of this service and the current target incarnation only,
// admits new flows within the admission limit, notices when flows end, and answers the syncs of owners. Internal to the
// library; AgentFlows is the public machine.
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

    // A packet of a record with role Held. Returns false when the packet opens a new flow because the old one has
    // ended; the record is gone then.
    bool deliver(FlowRecord& record, const PacketContext& context);
    // A tunnel packet of kind ToHolder or OpenFlow for a flow that is not held here.
    void handleToHolder(const PacketContext& context);
    void handleOpenFlow(const PacketContext& context);
    void handleTargetPacket(Bytes bytes);

    void targetUp(Incarnation incarnation);
    void targetDown();
    void directoryChanged();

    // Only while heldFlowsKnown; a request that comes earlier is repeated.
    void answerSync(MemberId sender, const BucketSyncRequest& request, const std::vector<BucketId>& buckets);
    void answerHolderSync(MemberId sender, const HolderSyncRequest& request);
    void handleHolderSyncReply(MemberId sender, const HolderSyncReply& reply);
    void answerCheck(MemberId sender, const FlowCheck& check);
    void answerProbe(MemberId sender);

    void tick();
    // Called for each record about once a second. Returns true when the record is gone.
    bool sweep(FlowRecord& record);

private:
    struct Source {
        bool done = false;
        std::vector<bool> parts;
        size_t count = 0;
    };

    void sendRefusal(const PacketContext& context, RefusalReason reason);
    FlowRecord* openRecord(const PacketContext& context);
    bool adoptFlow(const FlowSummary& flow);
    void updateFromCallerPacket(FlowRecord& record, const PacketContext& context);
    void updateFromTargetPacket(FlowRecord& record, const IpPacket& packet);
    // Ends a held flow. Returns true when the record is gone.
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
    uint16_t m_binding = 0; // (self, target incarnation), retained
    size_t m_refusingCount = 0; // connections that are answered with 503
    std::vector<FlowKey> m_unreportedOpened; // not yet reported to their owners
    std::vector<FlowId> m_unreportedClosed;

    uint64_t m_holderSyncSession = 0; // of the holder sync; 0 when none runs
    std::map<MemberId, Source> m_holderSyncSources;
    Time m_nextHolderSyncRequest;

    uint32_t m_reportedLimit = 0;
    Time m_nextLoadReport;
    Time m_nextProbe;
};

} // namespace cicadaward::flow::detail
