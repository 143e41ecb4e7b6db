#include "flow_entry_daemon.h"

#include <algorithm>

namespace cicadaward {

namespace {

    constexpr Duration tickInterval = std::chrono::milliseconds(30);
    constexpr double bytesPerMegabit = 125000;
    constexpr Duration exitMargin = std::chrono::milliseconds(500);
    // For this long, an agent that the control instances have not heard from is tried only after all others.
    constexpr Duration silentAgentSuspectDuration = std::chrono::seconds(2);

    steering::EntryOptions entryOptions(const Settings& settings)
    {
        steering::EntryOptions options;
        options.self = endpointSetting(settings, "listen.peers");
        options.maxCachedFlows = static_cast<size_t>(settings.number("limits.cached-flows"));
        options.bulk.linkMbps = settings.decimal("limits.link-mbps");
        options.bulk.tickInterval = tickInterval;
        options.searchPacing.linkBytesPerSecond = settings.decimal("limits.link-mbps") * bytesPerMegabit;
        return options;
    }

    Duration drainDuration(const Settings& settings)
    {
        Duration drain = settings.duration("stop.drain-ms");
        if (!settings.isSet("stop.limit-s"))
            return drain;
        return std::clamp<Duration>(
            durationFromSeconds(settings.decimal("stop.limit-s")) - exitMargin, Duration::zero(), drain);
    }

    void raiseTo(Counter& counter, uint64_t value) { counter.add(value - counter.value()); }

    cluster::PollerOptions pollerOptions(const Settings& settings)
    {
        cluster::PollerOptions options;
        options.seeds = controlSeeds(settings);
        options.wantsMembers = true;
        options.minInterval = settings.duration("control.poll-interval-ms");
        return options;
    }

} // namespace

FlowEntryDaemon::FlowEntryDaemon(FlowDaemonBase& base, const Settings& settings, const FlowAdapter& adapter)
    : m_base(base)
    , m_adapter(adapter)
    , m_name(settings.text("instance.name"))
    , m_callerPort(endpointSetting(settings, "listen.fabric").port)
    , m_drainDuration(drainDuration(settings))
    , m_decisions(base.clock, *base.log, base.metrics, uint32_t(settings.number("log.decisions-per-second")))
    , m_steering(entryOptions(settings), adapter.packets(), base.clock, m_decisions, *this)
    , m_poller(pollerOptions(settings), base.clock, base.random, *this)
    , m_peers(
          base, endpointSetting(settings, "listen.peers"),
          [this](Endpoint sender, const cluster::Envelope& envelope) { m_poller.onMessage(sender, envelope); },
          [this](Endpoint sender, uint8_t* data, size_t size) { handleFrame(sender, data, size); })
    , m_fabric(base.context, endpointSetting(settings, "listen.fabric"), 2048,
          [this](Endpoint, uint8_t* data, size_t size) { m_steering.onCallerPacket(data, size); })
    , m_readiness(base.context, endpointSetting(settings, "listen.ready"),
          [this](const HttpRequest& request, const HttpReplyCallback& reply) { handleReadinessCall(request, reply); })
    , m_metrics(serveMetrics(
          base, settings, [this] { updateGauges(); }, [this](const ExplainCall& call) { return explain(call); }))
    , m_exitTimer(base.context)
{
}

absl::Status FlowEntryDaemon::start()
{
    for (const absl::Status& status : { m_peers.status(), m_fabric.status(), m_readiness.status() }) {
        if (!status.ok())
            return status;
    }
    m_poller.pollAll();
    m_ticker = std::make_unique<Ticker>(m_base.context, tickInterval, [this] { onTick(); });
    return absl::OkStatus();
}

void FlowEntryDaemon::stop()
{
    m_stopping = true;
    m_base.log->write(EventId::ReadinessChanged, { { "ready", 0 }, { "reason", "stopping" } });
    m_exitTimer.expires_after(m_drainDuration);
    m_exitTimer.async_wait([this](boost::system::error_code) { m_base.context.stop(); });
}

void FlowEntryDaemon::onTick()
{
    m_steering.onTick();
    m_poller.onTick();
}

void FlowEntryDaemon::updateGauges()
{
    m_base.metrics.gauge("entry.ready").set(isReady());
    m_base.metrics.gauge("entry.cached-flows").set(int64_t(m_steering.cachedFlows()));
    m_base.metrics.gauge("entry.early-packets").set(int64_t(m_steering.earlyPackets()));
    updateBulkMetrics();
    m_base.metrics.gauge("entry.search-timeout-ms").set(wholeMilliseconds(m_steering.searchPacing().timeout()));
    m_base.metrics.gauge("entry.search-frames-withheld").set(int64_t(m_steering.searchPacing().withheldFrames()));
    m_base.metrics.gauge("entry.members").set(int64_t(m_steering.members().size()));
    m_base.metrics.gauge("state.version").set(int64_t(m_steering.routes().version()));
    m_base.metrics.gauge("entry.receive-drops").set(int64_t(m_fabric.receiveDrops()));
    updatePollerGauges(m_base.metrics, m_poller);
    m_peers.updateMetrics();
}

std::string FlowEntryDaemon::explain(const ExplainCall& call) const
{
    EntryAnswer answer { m_name, controlContact(m_poller), m_steering.explain(call.question) };
    answer.explanation.isReady = isReady();
    return toJson(answer);
}

void FlowEntryDaemon::updateBulkMetrics()
{
    const steering::BulkAdmission& bulk = m_steering.bulk();
    m_base.metrics.gauge("entry.bulk-active").set(int64_t(bulk.active()));
    m_base.metrics.gauge("entry.bulk-limit").set(int64_t(bulk.limit()));
    m_base.metrics.gauge("entry.bulk-waiting").set(int64_t(bulk.waiting()));
    raiseTo(m_base.metrics.counter("entry.bulk-refused"), bulk.refused());
    raiseTo(m_base.metrics.counter("entry.bulk-waited"), bulk.waited());
    raiseTo(m_base.metrics.counter("entry.bulk-uncounted"), bulk.uncounted());
}

void FlowEntryDaemon::handleReadinessCall(const HttpRequest& request, const HttpReplyCallback& reply)
{
    std::string path(request.target());
    if (!m_adapter.isReadinessCall(std::string(request.method_string()), path)) {
        reply(404, "text/plain", "no such call\n");
        return;
    }
    bool ready = isReady();
    if (ready != m_reportedReady && !m_stopping)
        m_base.log->write(EventId::ReadinessChanged,
            { { "ready", int(ready) }, { "version", m_steering.routes().version() },
                { "members", m_steering.members().size() } });
    m_reportedReady = ready;
    reply(ready ? 200 : 503, "application/json", "{}");
}

void FlowEntryDaemon::handleFrame(Endpoint sender, uint8_t* data, size_t size)
{
    m_poller.onPeer(sender);
    m_steering.onFrame(sender, data, size);
}

void FlowEntryDaemon::sendFrame(Endpoint agent, const std::vector<uint8_t>& frame)
{
    m_peers.sendDatagram(agent, frame.data(), frame.size());
}

void FlowEntryDaemon::sendToCaller(const steering::FlowId& flow, const std::vector<uint8_t>& packet)
{
    m_fabric.send({ flow.caller.address, m_callerPort }, packet.data(), packet.size());
}

void FlowEntryDaemon::newerStateSeen(StateIndex index) { m_poller.onNewerState(index.value()); }

void FlowEntryDaemon::sendMessage(Endpoint control, const cluster::Envelope& envelope)
{
    m_peers.send(control, envelope);
}

void FlowEntryDaemon::onState(const cluster::ForwardingState& state)
{
    m_steering.setState(StateIndex(state.index), steering::RouteTable(state.configuration), state.evacuatedDataCentres);
    m_base.log->write(EventId::StateTaken,
        { { "index", state.index }, { "version", state.configuration.version },
            { "routes", state.configuration.routes.size() }, { "out", state.evacuatedDataCentres.size() } });
}

void FlowEntryDaemon::onMemberRecord(const steering::MemberRecord& record)
{
    if (m_steering.members().update(record))
        m_base.log->write(EventId::MemberChanged,
            { { "member", formatEndpoint(record.agent) }, { "state", targetStateName(record.state) },
                { "data-centre", record.dataCentre }, { "sequence", record.sequence } });
}

void FlowEntryDaemon::onSilentMember(Endpoint agent)
{
    m_steering.members().markSuspect(agent, silentAgentSuspectDuration);
}

void FlowEntryDaemon::stateBehind(LogIndex heard)
{
    m_base.log->write(EventId::StateBehind,
        { { "index", m_poller.stateIndex() }, { "heard", heard }, { "in-contact", int(m_poller.isInContact()) } });
}

void FlowEntryDaemon::stateCaughtUp()
{
    m_base.log->write(EventId::StateCaughtUp, { { "index", m_poller.stateIndex() } });
}

void FlowEntryDaemon::contactLost() { m_base.log->write(EventId::ControlContactLost, {}); }

void FlowEntryDaemon::contactRenewed()
{
    m_base.log->write(EventId::ControlContactRenewed, { { "index", m_poller.stateIndex() } });
}

} // namespace cicadaward
