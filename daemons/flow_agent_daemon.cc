#include "flow_agent_daemon.h"

#include "cluster/codec.h"

namespace cicadaward {

namespace {

    constexpr Duration tickInterval = std::chrono::milliseconds(25);
    // The target counts as down after this many heartbeat intervals without a heartbeat.
    constexpr int maxMissedHeartbeats = 4;
    constexpr Duration reuseMargin = std::chrono::milliseconds(100);

    steering::AgentOptions agentOptions(const FlowDaemonBase& base, const Settings& settings)
    {
        steering::AgentOptions options;
        options.self = endpointSetting(settings, "listen.fabric");
        options.dataCentre = base.dataCentre;
        options.incarnation = static_cast<uint64_t>(base.clock.wallTime().count());
        // Less than target.reuse-s, but at least 1.25 heartbeat intervals, because a heartbeat may arrive late.
        Duration heartbeat = settings.duration("target.heartbeat-ms");
        options.admission.maxHeartbeatAge = std::max<Duration>(
            durationFromSeconds(settings.decimal("target.reuse-s")) - reuseMargin, heartbeat + heartbeat / 4);
        options.maxFlows = static_cast<size_t>(settings.number("limits.max-flows"));
        options.heartbeatTimeout = maxMissedHeartbeats * settings.duration("target.heartbeat-ms");
        options.admission.warmUpFactor = settings.decimal("warm-up.factor");
        options.admission.warmUpSlack = settings.decimal("warm-up.slack");
        options.placementBy = *steering::placementNamed(settings.text("placement.by")); // the table has checked it
        options.outlier.isEnabled = settings.flag("outlier.detection");
        options.outlier.minPause = settings.duration("outlier.min-pause-ms");
        options.outlier.maxPause = settings.duration("outlier.max-pause-ms");
        return options;
    }

    steering::FlowReporterOptions reporterOptions(const FlowDaemonBase& base, const Settings& settings)
    {
        steering::AgentOptions agent = agentOptions(base, settings);
        steering::FlowReporterOptions options;
        options.self = agent.self;
        options.dataCentre = agent.dataCentre;
        options.incarnation = agent.incarnation;
        options.interval = settings.duration("flows.record-interval-ms");
        options.reportsAlways = settings.flag("flows.record-always");
        return options;
    }

    int64_t microseconds(Duration duration)
    {
        return std::chrono::duration_cast<std::chrono::microseconds>(duration).count();
    }

    EventId eventOf(steering::OutlierState state)
    {
        switch (state) {
        case steering::OutlierState::Ejected:
            return EventId::TargetEjected;
        case steering::OutlierState::HalfOpen:
            return EventId::TargetHalfOpen;
        case steering::OutlierState::Closed:
            break;
        }
        return EventId::TargetRestored;
    }

    EventId eventOf(steering::HeartbeatResult result, const steering::Heartbeat& heartbeat)
    {
        switch (result) {
        case steering::HeartbeatResult::Outdated:
            return EventId::HeartbeatOutdated;
        case steering::HeartbeatResult::Claimed:
            return EventId::HeartbeatClaimed;
        case steering::HeartbeatResult::UnknownService:
            return EventId::HeartbeatUnnamed;
        case steering::HeartbeatResult::Unchanged:
        case steering::HeartbeatResult::Changed:
        case steering::HeartbeatResult::NewStart:
            break;
        }
        return heartbeat.draining ? EventId::TargetDraining : EventId::TargetUp;
    }

    cluster::PollerOptions pollerOptions(const Settings& settings)
    {
        cluster::PollerOptions options;
        options.seeds = controlSeeds(settings);
        options.minInterval = settings.duration("control.poll-interval-ms");
        return options;
    }

} // namespace

FlowAgentDaemon::FlowAgentDaemon(FlowDaemonBase& base, const Settings& settings, const FlowAdapter& adapter)
    : m_base(base)
    , m_adapter(adapter)
    , m_name(settings.text("instance.name"))
    , m_callerPort(endpointSetting(settings, "listen.fabric").port)
    , m_target(endpointSetting(settings, "target.packets"))
    , m_decisions(base.clock, *base.log, base.metrics, uint32_t(settings.number("log.decisions-per-second")))
    , m_steering(agentOptions(base, settings), adapter.packets(), base.clock, m_decisions, *this)
    , m_records(reporterOptions(base, settings), base.clock, m_steering, *this)
    , m_poller(pollerOptions(settings), base.clock, base.random, *this)
    , m_peers(
          base, endpointSetting(settings, "listen.fabric"),
          [this](Endpoint sender, const cluster::Envelope& envelope) { handleMessage(sender, envelope); },
          [this](Endpoint sender, uint8_t* data, size_t size) { handleFrame(sender, data, size); })
    , m_targetPort(base.context, endpointSetting(settings, "listen.target"), 2048,
          [this](Endpoint, uint8_t* data, size_t size) { m_steering.onTargetPacket(data, size); })
    , m_heartbeats(base.context, endpointSetting(settings, "listen.heartbeats"),
          [this](const HttpRequest& request, const HttpReplyCallback& reply) { handleTargetCall(request, reply); })
    , m_metrics(serveMetrics(
          base, settings, [this] { updateGauges(); }, [this](const ExplainCall& call) { return explain(call); }))
{
}

absl::Status FlowAgentDaemon::start()
{
    for (const absl::Status& status : { m_peers.status(), m_targetPort.status(), m_heartbeats.status() }) {
        if (!status.ok())
            return status;
    }
    m_poller.pollAll();
    m_ticker = std::make_unique<Ticker>(m_base.context, tickInterval, [this] { onTick(); });
    return absl::OkStatus();
}

void FlowAgentDaemon::onTick()
{
    m_steering.onTick();
    m_poller.onTick();
    m_records.onTick(m_poller.controls());
    announceRecordIfChanged();
    logOutlierState();
}

void FlowAgentDaemon::logOutlierState()
{
    const steering::OutlierDetector& outliers = m_steering.outliers();
    steering::OutlierState state = outliers.state();
    if (state == m_loggedOutlierState)
        return;
    m_loggedOutlierState = state;
    int64_t limit = wholeMilliseconds(m_steering.answerLimit().value_or(Duration::zero()));
    m_base.log->write(eventOf(state),
        { { "failure", steering::targetFailureName(outliers.lastFailure()) },
            { "failure-age-ms", wholeMilliseconds(outliers.lastFailureAge()) }, { "answer-limit-ms", limit } });
    if (state == steering::OutlierState::Ejected)
        m_base.metrics.counter("target.ejections").add();
}

void FlowAgentDaemon::announceRecordIfChanged()
{
    if (m_steering.record().sequence == m_announcedSequence)
        return;
    m_announcedSequence = m_steering.record().sequence;
    m_base.log->write(EventId::MemberChanged,
        { { "member", formatEndpoint(m_steering.record().agent) },
            { "state", targetStateName(m_steering.record().state) }, { "sequence", m_announcedSequence } });
    m_poller.pollAll();
}

void FlowAgentDaemon::handleTargetCall(const HttpRequest& request, const HttpReplyCallback& reply)
{
    std::string target(request.target());
    TargetCall call = m_adapter.targetCall(std::string(request.method_string()), target, request.body());
    if (const auto* status = std::get_if<absl::Status>(&call)) {
        refuseCall(*m_base.log, EventId::HeartbeatRefused, target, *status, reply);
        return;
    }
    if (const auto* heartbeat = std::get_if<HeartbeatCall>(&call)) {
        handleHeartbeat(heartbeat->heartbeat);
    } else if (m_steering.onDeparture(std::get<DepartureCall>(call).id)) {
        m_base.log->write(
            EventId::TargetDown, { { "id", std::get<DepartureCall>(call).id }, { "reason", "departed" } });
    }
    announceRecordIfChanged();
    reply(200, "application/json", "{}");
}

void FlowAgentDaemon::updateGauges()
{
    m_base.metrics.gauge("agent.flows").set(int64_t(m_steering.flowCount()));
    m_base.metrics.gauge("agent.waiting-requests").set(int64_t(m_steering.waitingRequests()));
    m_base.metrics.gauge("agent.load-percent").set(m_steering.load());
    m_base.metrics.gauge("agent.placement-by-work").set(m_steering.isPlacingByWork());
    m_base.metrics.gauge("agent.cost-mean-us").set(microseconds(m_steering.costs().mean()));
    m_base.metrics.gauge("agent.cost-routes").set(int64_t(m_steering.costs().routeCount()));
    m_base.metrics.gauge("agent.expected-wait-us").set(microseconds(m_steering.expectedWait()));
    m_base.metrics.gauge("agent.answer-limit-ms")
        .set(wholeMilliseconds(m_steering.answerLimit().value_or(Duration::zero())));
    m_base.metrics.gauge("agent.offers-compared").set(int64_t(m_steering.comparedOffers()));
    m_base.metrics.gauge("agent.offers-of-other-unit").set(int64_t(m_steering.incomparableOffers()));
    m_base.metrics.gauge("agent.registered").set(m_steering.isRegistered());
    m_base.metrics.gauge("target.state").set(int64_t(m_steering.registration().state()));
    m_base.metrics.gauge("target.outlier-state").set(int64_t(m_steering.outliers().state()));
    m_base.metrics.gauge("agent.flows-recorded").set(int64_t(m_records.recordedCount()));
    m_base.metrics.gauge("agent.flows-ended-reset").set(int64_t(m_records.resetCount()));
    m_base.metrics.gauge("agent.flows-ended-dropped").set(int64_t(m_records.droppedCount()));
    m_base.metrics.gauge("agent.flow-reports-refused").set(int64_t(m_records.refusedCount()));
    updatePollerGauges(m_base.metrics, m_poller);
    m_peers.updateMetrics();
}

std::string FlowAgentDaemon::explain(const ExplainCall& call) const
{
    return toJson(
        AgentAnswer { m_name, controlContact(m_poller), m_steering.explain(call.question, call.service, call.state) });
}

void FlowAgentDaemon::handleHeartbeat(const steering::Heartbeat& heartbeat)
{
    steering::HeartbeatResult result = m_steering.onHeartbeat(heartbeat);
    m_records.onTick(m_poller.controls()); // the first heartbeat of a start may tell that recorded flows have ended
    if (result == steering::HeartbeatResult::Unchanged)
        return;
    if (result == steering::HeartbeatResult::Claimed || result == steering::HeartbeatResult::UnknownService)
        m_base.metrics.counter("target.heartbeats-not-taken").add();
    m_base.log->write(eventOf(result, heartbeat),
        { { "id", heartbeat.id }, { "born", heartbeat.startTimeMs }, { "sequence", heartbeat.sequence },
            { "warm-up-ms", heartbeat.warmUpLeft.count() } });
}

void FlowAgentDaemon::onRegistration(uint64_t incarnation, uint64_t targetStartSequence)
{
    bool waited = m_steering.isAwaitingRegistration();
    m_steering.onRegistered(incarnation, targetStartSequence);
    if (waited && !m_steering.isAwaitingRegistration())
        m_base.log->write(
            EventId::MemberRegistered, { { "incarnation", incarnation }, { "start", targetStartSequence } });
}

std::vector<steering::MemberRecord> FlowAgentDaemon::ownRecords()
{
    if (m_steering.record().service == steering::ServiceKey())
        return {}; // there is no target to announce yet
    return { m_steering.record() };
}

void FlowAgentDaemon::handleFrame(Endpoint sender, uint8_t* data, size_t size)
{
    m_poller.onPeer(sender);
    m_steering.onFrame(sender, data, size);
}

void FlowAgentDaemon::sendFrame(Endpoint to, const std::vector<uint8_t>& frame)
{
    m_peers.sendDatagram(to, frame.data(), frame.size());
}

void FlowAgentDaemon::sendToTarget(const uint8_t* packet, size_t size) { m_targetPort.send(m_target, packet, size); }

void FlowAgentDaemon::sendToCaller(const steering::FlowId& flow, const uint8_t* packet, size_t size)
{
    m_peers.sendDatagram({ flow.caller.address, m_callerPort }, packet, size);
}

void FlowAgentDaemon::newerStateSeen(StateIndex index) { m_poller.onNewerState(index.value()); }

void FlowAgentDaemon::sendMessage(Endpoint control, const cluster::Envelope& envelope)
{
    m_peers.send(control, envelope);
}

void FlowAgentDaemon::handleMessage(Endpoint sender, const cluster::Envelope& envelope)
{
    steering::FlowReportAck ack;
    steering::FlowsReply reply;
    if (envelope.kind == cluster::MessageKind::FlowReportAck && decodeMessage(envelope.body, ack))
        m_records.onMessage(sender, ack);
    else if (envelope.kind == cluster::MessageKind::FlowsReply && decodeMessage(envelope.body, reply))
        m_records.onMessage(sender, reply);
    else
        m_poller.onMessage(sender, envelope);
}

void FlowAgentDaemon::sendFlowReport(Endpoint control, const steering::FlowReport& report)
{
    m_peers.send(control, { cluster::MessageKind::FlowReport, encodeMessage(report) });
}

void FlowAgentDaemon::sendFlowsRequest(Endpoint control, const steering::FlowsRequest& request)
{
    m_peers.send(control, { cluster::MessageKind::FlowsRequest, encodeMessage(request) });
}

void FlowAgentDaemon::flowsEnded(size_t count, const steering::TargetStart& present)
{
    m_base.log->write(
        EventId::FlowsEnded, { { "count", count }, { "id", present.id }, { "born", present.startTimeMs } });
}

void FlowAgentDaemon::onState(const cluster::ForwardingState& state)
{
    m_steering.setState(StateIndex(state.index), steering::RouteTable(state.configuration), state.evacuatedDataCentres);
    m_base.log->write(EventId::StateTaken,
        { { "index", state.index }, { "version", state.configuration.version },
            { "out", state.evacuatedDataCentres.size() } });
    for (const steering::ServicePolicy& policy : state.configuration.services)
        m_base.log->write(EventId::StateTaken,
            { { "service", policy.name }, { "warm-up-ms", policy.warmUp.count() },
                { "warm-up-rate", policy.warmUpRate }, { "max-flows", policy.maxFlows } });
    announceRecordIfChanged(); // the state may name the service of a heartbeat that waited for it
}

void FlowAgentDaemon::stateBehind(LogIndex heard)
{
    m_base.log->write(EventId::StateBehind,
        { { "index", m_poller.stateIndex() }, { "heard", heard }, { "in-contact", int(m_poller.isInContact()) } });
}

void FlowAgentDaemon::stateCaughtUp()
{
    m_base.log->write(EventId::StateCaughtUp, { { "index", m_poller.stateIndex() } });
}

void FlowAgentDaemon::contactLost() { m_base.log->write(EventId::ControlContactLost, {}); }

void FlowAgentDaemon::contactRenewed()
{
    m_base.log->write(EventId::ControlContactRenewed, { { "index", m_poller.stateIndex() } });
}

} // namespace cicadaward
