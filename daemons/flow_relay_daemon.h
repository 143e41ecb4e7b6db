// The relay on the datagram fabric: one event loop for cluster::Relay and the administration API, whose calls it
// redirects to the leader (307), or answers with 503 while no leader is known.
#pragma once

#include "cluster/relay.h"
#include "flow_adapter.h"
#include "flow_daemon.h"

namespace cicadaward {

class FlowRelayDaemon final : private cluster::RelayOutput {
public:
    FlowRelayDaemon(FlowDaemonBase&, const Settings&, const FlowAdapter&);

    absl::Status start();
    void stop() { m_base.context.stop(); }

private:
    void sendMessage(Endpoint to, const cluster::Envelope& envelope) override { m_peers.send(to, envelope); }
    void contactChanged(bool inContact) override;
    void handleOperatorCall(const HttpRequest&, const HttpReplyCallback&);

    FlowDaemonBase& m_base;
    const FlowAdapter& m_adapter;
    cluster::Relay m_relay;
    PeerPort m_peers;
    HttpServer m_operators;
    std::unique_ptr<HttpServer> m_metrics;
    std::unique_ptr<Ticker> m_ticker;
};

} // namespace cicadaward
