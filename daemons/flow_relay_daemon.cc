#include "flow_relay_daemon.h"

#include "cluster/codec.h"

#include <algorithm>

namespace cicadaward {

namespace {

    constexpr Duration tickInterval = std::chrono::milliseconds(100);
    // A leader that nobody has named for this long may have lost its office.
    constexpr Duration leaderLimit = std::chrono::seconds(2);

    constexpr size_t maxGreeted = 64;

    cluster::PollerOptions pollerOptions(const Settings& settings)
    {
        cluster::PollerOptions options;
        options.seeds = controlSeeds(settings);
        options.startInterval = options.interval; // a relay never has a state
        return options;
    }

} // namespace

FlowRelayDaemon::FlowRelayDaemon(FlowDaemonBase& base, const Settings& settings, const FlowAdapter& adapter)
    : m_base(base)
    , m_adapter(adapter)
    , m_poller(pollerOptions(settings), base.clock, base.random, *this)
    , m_peers(
          base, endpointSetting(settings, "listen.peers"),
          [this](Endpoint sender, const cluster::Envelope& envelope) { onMessage(sender, envelope); },
          [](Endpoint, uint8_t*, size_t) {})
    , m_operators(base.context, endpointSetting(settings, "listen.operators"),
          [this](const HttpRequest& request, const HttpReply& reply) { onOperatorCall(request, reply); })
{
}

absl::Status FlowRelayDaemon::start()
{
    for (const absl::Status& status : { m_peers.status(), m_operators.status() }) {
        if (!status.ok())
            return status;
    }
    m_poller.pollAll();
    m_ticker = std::make_unique<Ticker>(m_base.context, tickInterval, [this] { m_poller.onTick(); });
    return absl::OkStatus();
}

void FlowRelayDaemon::onMessage(Endpoint sender, const cluster::Envelope& envelope)
{
    cluster::PollReply reply;
    cluster::Hello hello;
    if (envelope.kind == cluster::MessageKind::PollReply && decodeMessage(envelope.body, reply)) {
        m_poller.onReply(sender, reply);
    } else if (envelope.kind == cluster::MessageKind::Poll) {
        reply.controls = knownControls();
        m_peers.send(sender, { cluster::MessageKind::PollReply, encodeMessage(reply) });
    } else if (envelope.kind == cluster::MessageKind::Hello && decodeMessage(envelope.body, hello)) {
        onHello(sender, hello);
    }
}

void FlowRelayDaemon::onHello(Endpoint sender, cluster::Hello hello)
{
    if (m_greeted.size() >= maxGreeted)
        m_greeted.clear();
    m_greeted[hello.instance] = hello.address;
    m_poller.learn(knownControls());
    if (hello.forwarded)
        return;
    hello.forwarded = true;
    for (Endpoint control : knownControls()) {
        if (control != sender)
            m_peers.send(control, { cluster::MessageKind::Hello, encodeMessage(hello) });
    }
}

std::vector<Endpoint> FlowRelayDaemon::knownControls() const
{
    std::vector<Endpoint> controls = m_poller.controls();
    for (const auto& [id, address] : m_greeted) {
        if (std::find(controls.begin(), controls.end(), address.peer) == controls.end())
            controls.push_back(address.peer);
    }
    controls.resize(std::min(controls.size(), cluster::maxControls));
    return controls;
}

void FlowRelayDaemon::takeLeader(Endpoint operators, uint64_t term)
{
    if (term < m_term)
        return; // from an instance that is behind
    m_term = term;
    m_leader = operators;
    m_leaderHeard = m_base.clock.now();
}

void FlowRelayDaemon::onOperatorCall(const HttpRequest& request, const HttpReply& reply)
{
    std::string target(request.target());
    OperatorCall call = m_adapter.operatorCall(std::string(request.method_string()), target, request.body());
    if (const auto* status = std::get_if<absl::Status>(&call)) {
        refuseCall(*m_base.log, EventId::OrderRefused, target, *status, reply);
        return;
    }
    bool known = m_leader.port != 0 && m_base.clock.now() - m_leaderHeard <= leaderLimit;
    m_base.log->write(
        EventId::OrderAnswered, { { "call", target }, { "status", known ? 307 : 503 }, { "term", m_term } });
    if (known)
        reply(307, "text/plain", "http://" + formatEndpoint(m_leader) + target);
    else
        reply(503, "text/plain", "no leader is known\n");
}

void FlowRelayDaemon::sendMessage(Endpoint control, const cluster::Envelope& envelope)
{
    m_peers.send(control, envelope);
}

void FlowRelayDaemon::contactLost() { m_base.log->write(EventId::ControlContactLost, {}); }

void FlowRelayDaemon::contactRenewed() { m_base.log->write(EventId::ControlContactRenewed, { { "term", m_term } }); }

} // namespace cicadaward
