// The entry on the datagram fabric: one event loop that passes packets between the fabric socket, the peer socket and
// EntrySteering, polls the control instances and answers readiness checks.
#pragma once

#include "cluster/poller.h"
#include "decision_log.h"
#include "flow_adapter.h"
#include "flow_daemon.h"
#include "steering/entry_steering.h"

namespace cicadaward {

class FlowEntryDaemon final : private steering::EntryOutput, private cluster::PollerOutput {
public:
    FlowEntryDaemon(FlowDaemonBase&, const Settings&, const FlowAdapter&);

    absl::Status start();
    // Reports "not ready" so that the fabric takes this entry out of rotation, and forwards packets for stop.drain-ms,
    // until the fabric has seen it.
    void stop();

private:
    void sendFrame(Endpoint agent, const std::vector<uint8_t>& frame) override;
    void sendToCaller(const steering::FlowId&, const std::vector<uint8_t>& packet) override;
    void sendMessage(Endpoint control, const cluster::Envelope&) override;
    void onState(const cluster::ForwardingState&) override;
    void onMemberRecord(const steering::MemberRecord&) override;
    void onSilentMember(Endpoint agent) override;
    steering::MemberDigest memberDigest() override { return m_steering.members().digest(); }
    void confirmMembers() override { m_poller.confirmMembers(); }
    void newerStateSeen(StateIndex) override;
    void handleFrame(Endpoint sender, uint8_t* data, size_t size);
    void membersConfirmed(Time asked) override { m_steering.onMembersConfirmed(asked); }
    void contactLost() override;
    void contactRenewed() override;
    void stateBehind(LogIndex heard) override;
    void stateCaughtUp() override;
    void onTick();
    void updateGauges();
    std::string explain(const ExplainCall&) const;
    void updateBulkMetrics();
    void handleReadinessCall(const HttpRequest&, const HttpReplyCallback&);
    bool isReady() const { return !m_stopping && m_steering.isReady(); }

    FlowDaemonBase& m_base;
    const FlowAdapter& m_adapter;
    const std::string m_name;
    const uint16_t m_callerPort;
    const Duration m_drainDuration;
    DecisionLog m_decisions;
    steering::EntrySteering m_steering;
    cluster::Poller m_poller;
    PeerPort m_peers;
    UdpPort m_fabric;
    HttpServer m_readiness;
    std::unique_ptr<HttpServer> m_metrics;
    std::unique_ptr<Ticker> m_ticker;
    boost::asio::steady_timer m_exitTimer;
    bool m_stopping = false;
    bool m_reportedReady = false;
};

} // namespace cicadaward
