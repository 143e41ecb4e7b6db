// A control instance without a disk: it keeps nothing and votes on nothing. It sends operators to the leader that the
// other control instances name, tells pollers of those instances, and passes on the hellos of instances that want to
// join, since it may be all that their seeds name.
#pragma once

#include "cluster/poller.h"
#include "flow_adapter.h"
#include "flow_daemon.h"

#include <map>

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
    void onMessage(Endpoint sender, const cluster::Envelope&);
    // Control instances that have shown themselves or that others name.
    std::vector<Endpoint> knownControls() const;
    void onHello(Endpoint sender, cluster::Hello);
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
    std::map<InstanceId, cluster::InstanceAddress> m_greeted; // bounded by maxGreeted
};

} // namespace cicadaward
