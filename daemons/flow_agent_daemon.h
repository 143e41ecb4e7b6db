// The agent on the datagram fabric: one event loop that passes packets between the peer socket, the target's socket,
// callers and AgentSteering, answers the target's heartbeats, and announces the target to the control instances.
#pragma once

#include "cluster/poller.h"
#include "decision_log.h"
#include "flow_adapter.h"
#include "flow_daemon.h"
#include "steering/agent_records.h"
#include "steering/agent_steering.h"

namespace cicadaward {

class FlowAgentDaemon final : private steering::AgentOutput,
                              private steering::AgentRecordsOutput,
                              private cluster::PollerOutput {
public:
    FlowAgentDaemon(FlowDaemonBase&, const Settings&, const FlowAdapter&);

    absl::Status start();
    void stop() { m_base.context.stop(); }

private:
    void sendFrame(Endpoint to, const std::vector<uint8_t>& frame) override;
    void sendToTarget(const uint8_t* packet, size_t size) override;
    void sendToCaller(const steering::FlowId&, const uint8_t* packet, size_t size) override;
    void newerStateSeen(StateIndex) override;
    void handleFrame(Endpoint sender, uint8_t* data, size_t size);
    void sendMessage(Endpoint control, const cluster::Envelope&) override;
    void onState(const cluster::ForwardingState&) override;
    void onKnownIncarnation(uint64_t incarnation) override { m_steering.raiseIncarnationAbove(incarnation); }
    void onRegistration(uint64_t incarnation, uint64_t targetStartSequence) override;
    bool isWaitingForReply() override { return m_steering.isAwaitingRegistration(); }
    std::vector<steering::MemberRecord> ownRecords() override;
    void contactLost() override;
    void contactRenewed() override;
    void stateBehind(LogIndex heard) override;
    void stateCaughtUp() override;
    void sendFlowReport(Endpoint control, const steering::FlowReport&) override;
    void sendFlowsRequest(Endpoint control, const steering::FlowsRequest&) override;
    void flowsEnded(size_t count, const steering::TargetStart& present) override;
    void handleMessage(Endpoint sender, const cluster::Envelope&);
    void onTick();
    void updateGauges();
    std::string explain(const ExplainCall&) const;
    void handleTargetCall(const HttpRequest&, const HttpReplyCallback&);
    void handleHeartbeat(const steering::Heartbeat&);
    // Announces this agent's member record to all control instances when it has changed since the last announcement.
    void announceRecordIfChanged();
    void logOutlierState();

    FlowDaemonBase& m_base;
    const FlowAdapter& m_adapter;
    const std::string m_name;
    const uint16_t m_callerPort;
    const Endpoint m_target;
    DecisionLog m_decisions;
    steering::AgentSteering m_steering;
    steering::AgentRecords m_records;
    cluster::Poller m_poller;
    PeerPort m_peers;
    UdpPort m_targetPort;
    HttpServer m_heartbeats;
    std::unique_ptr<HttpServer> m_metrics;
    std::unique_ptr<Ticker> m_ticker;
    uint64_t m_announcedSequence = 0; // sequence number of the last announced record
    steering::OutlierState m_loggedOutlierState = steering::OutlierState::Closed;
};

} // namespace cicadaward
