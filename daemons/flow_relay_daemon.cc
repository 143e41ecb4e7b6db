#include "flow_relay_daemon.h"

namespace cicadaward {

namespace {

    constexpr Duration tickInterval = std::chrono::milliseconds(100);

} // namespace

FlowRelayDaemon::FlowRelayDaemon(FlowDaemonBase& base, const Settings& settings, const FlowAdapter& adapter)
    : m_base(base)
    , m_adapter(adapter)
    , m_relay({ controlSeeds(settings) }, base.clock, base.random, *this)
    , m_peers(
          base, endpointSetting(settings, "listen.peers"),
          [this](Endpoint sender, const cluster::Envelope& envelope) { m_relay.onMessage(sender, envelope); },
          [](Endpoint, uint8_t*, size_t) {})
    , m_operators(base.context, endpointSetting(settings, "listen.operators"),
          [this](const HttpRequest& request, const HttpReplyCallback& reply) { handleOperatorCall(request, reply); })
    , m_metrics(serveMetrics(base, settings, [] {}))
{
}

absl::Status FlowRelayDaemon::start()
{
    for (const absl::Status& status : { m_peers.status(), m_operators.status() }) {
        if (!status.ok())
            return status;
    }
    m_ticker = std::make_unique<Ticker>(m_base.context, tickInterval, [this] { m_relay.onTick(); });
    return absl::OkStatus();
}

void FlowRelayDaemon::handleOperatorCall(const HttpRequest& request, const HttpReplyCallback& reply)
{
    std::string target(request.target());
    OperatorCall call = m_adapter.operatorCall(std::string(request.method_string()), target, request.body());
    if (const auto* status = std::get_if<absl::Status>(&call)) {
        refuseCall(*m_base.log, EventId::OrderRefused, target, *status, reply);
        return;
    }
    std::optional<Endpoint> leader = m_relay.leader();
    m_base.log->write(EventId::OrderAnswered,
        { { "call", target }, { "status", leader ? 307 : 503 },
            { "leader", leader ? formatEndpoint(*leader) : "unknown" } });
    if (leader)
        reply(307, "text/plain", "http://" + formatEndpoint(*leader) + target);
    else
        reply(503, "text/plain", "no leader is known\n");
}

void FlowRelayDaemon::contactChanged(bool inContact)
{
    m_base.log->write(inContact ? EventId::ControlContactRenewed : EventId::ControlContactLost, {});
}

} // namespace cicadaward
