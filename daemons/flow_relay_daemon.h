// A control instance without a disk: it keeps nothing, votes on nothing, and sends operators to the leader that the
// other control instances name.
#pragma once

#include "cluster/poller.h"
#include "flow_adapter.h"
#include "flow_daemon.h"

namespace cicadaward {

class FlowRelayDaemon final : private cluster::PollerOutput {
public:
    FlowRelayDaemon(FlowDaemonBase&, const Settings&, const FlowAdapter&);

    absl::Status start();
    void stop() { m_base.context.stop(); }

private:
    void sendMessage(Endpoint control, const cluster::Envelope&) override;
    void takeState(const cluster::ForwardingState&) override { }
    void takeMember(const steering::MemberRecord&) override { }
    void suspectMember(Endpoint) override { }
    void noteIncarnation(uint64_t) override { }
    void takeLeader(Endpoint operators, uint64_t term) override;
    std::vector<steering::MemberRecord> ownRecords() override { return {}; }
    void contactLost() override;
    void contactRenewed() override;
    void onOperatorCall(const HttpRequest&, const HttpReply&);

    FlowDaemonBase& m_base;
    const FlowAdapter& m_adapter;
    cluster::Poller m_poller;
    PeerPort m_peers;
    HttpServer m_operators;
    std::unique_ptr<Ticker> m_ticker;
    Endpoint m_leader; // port 0: unknown
    uint64_t m_term = 0;
    Time m_leaderHeard;
};

} // namespace cicadaward
