#include "flow_control_daemon.h"

#include "core/hash.h"

#include <algorithm>

namespace cicadaward {

namespace {

    constexpr Duration tickInterval = std::chrono::milliseconds(15);
    constexpr Duration storeReopenInterval = std::chrono::milliseconds(500);
    constexpr Duration flowRecordEventInterval = std::chrono::seconds(10);
    constexpr size_t maxConfigurationBytes = 2 << 20;

    // The founders of a Raft group must agree on their instance ids before they have exchanged a message, so the ids
    // are derived from the seeds. A derived id is used once: a later start with an empty disk draws a random id.
    InstanceId founderId(Endpoint peer) { return InstanceId(mixHash(peer.key(), 0xf0'1d'e4) | 1); }

    std::map<InstanceId, cluster::InstanceAddress> foundersFromSeeds(const Settings& settings)
    {
        std::map<InstanceId, cluster::InstanceAddress> founders;
        auto port = static_cast<uint16_t>(settings.number("control.peer-port"));
        for (const ConfiguredEndpoint& seed : settings.endpoints("control.seeds")) {
            cluster::InstanceAddress address { { seed.address, port }, { seed.address, seed.port } };
            founders[founderId(address.peer)] = address;
        }
        return founders;
    }

    cluster::ControlOptions controlOptions(const Settings& settings)
    {
        cluster::ControlOptions options;
        options.self = { endpointSetting(settings, "listen.peers"), endpointSetting(settings, "listen.operators") };
        options.seeds = controlSeeds(settings);
        options.group.toleratedLosses = static_cast<size_t>(settings.number("control.tolerated-losses"));
        options.consensus.electionTimeout = settings.duration("raft.election-timeout-ms");
        options.consensus.heartbeatInterval = options.consensus.electionTimeout / 4;
        options.consensus.promoteLearners = false; // Group decides
        options.consensus.leaseReads = false; // ControlCore confirms each read
        options.consensus.maxMessageBytes = 64 << 10;
        return options;
    }

    cluster::FlowRecordOptions flowRecordOptions(const FlowDaemonBase& base)
    {
        cluster::FlowRecordOptions options;
        options.dataCentre = base.dataCentre;
        return options;
    }

} // namespace

FlowControlDaemon::FlowControlDaemon(FlowDaemonBase& base, const Settings& settings, const FlowAdapter& adapter)
    : m_base(base)
    , m_adapter(adapter)
    , m_stopTimeout(settings.duration("stop.limit-ms"))
    , m_options(controlOptions(settings))
    , m_founders(foundersFromSeeds(settings))
    , m_bootstrap(settings.flag("control.bootstrap"))
    , m_disk(
          base.context, m_files, settings.path("data.folder"), StoreOptions(),
          [this](uint64_t batchNumber) { onWritten(batchNumber); },
          [this](const absl::Status& status) { onStoreFailure(status); })
    , m_flowRecords(flowRecordOptions(base), base.clock)
    , m_flowRecordFile(base.context, m_flowRecordFiles, settings.path("data.folder"),
          [this](const absl::Status& status) { onFlowRecordsWritten(status); })
    , m_peers(
          base, m_options.self.peer,
          [this](Endpoint sender, const cluster::Envelope& envelope) { handleMessage(sender, envelope); },
          [](Endpoint, uint8_t*, size_t) {})
    , m_operators(base.context, m_options.self.adminApi,
          [this](const HttpRequest& request, const HttpReplyCallback& reply) { handleOperatorCall(request, reply); })
    , m_metrics(serveMetrics(base, settings, [this] { updateGauges(); }))
    , m_orderLatencies(base.metrics.histogram("order.answered"))
    , m_diskLatencies(base.metrics.histogram("store.written"))
    , m_exitTimer(base.context)
{
}

InstanceId FlowControlDaemon::founderIdentity() const
{
    InstanceId own = founderId(m_options.self.peer);
    return m_bootstrap && m_founders.count(own) != 0 ? own : InstanceId();
}

absl::Status FlowControlDaemon::start()
{
    for (const absl::Status& status : { m_peers.status(), m_operators.status() }) {
        if (!status.ok())
            return status;
    }
    loadFlowRecords();
    openStore();
    m_ticker = std::make_unique<Ticker>(m_base.context, tickInterval, [this] { onTick(); });
    return absl::OkStatus();
}

bool FlowControlDaemon::openStore()
{
    m_nextOpenTime = m_base.clock.now() + storeReopenInterval;
    absl::StatusOr<StoreContents> contents = m_disk.open(founderIdentity());
    if (!contents.ok()) {
        m_storeFailedSince = m_storeFailedSince.value_or(m_base.clock.now());
        m_base.log->write(EventId::StoreFailed, { { "reason", std::string(contents.status().message()) } });
        return false;
    }
    m_storeFailedSince.reset();
    m_pendingWrites.clear();
    StoreBatch founding;
    bool isFounder = contents->empty() && founderIdentity() != InstanceId();
    if (isFounder) {
        founding = cluster::groupBootstrapBatch(m_founders);
        contents->state = *founding.state;
        contents->entries = founding.entries;
    }
    InstanceId instance = contents->instance;
    cluster::ControlOutput& output = *this;
    m_core = std::make_unique<cluster::ControlCore>(m_options, m_base.clock, m_base.random, *contents, output);
    if (isFounder)
        m_disk.write(0, std::move(founding)); // written before every batch of m_core, so nothing that depends on it can
    // become durable earlier
    m_base.log->write(EventId::StoreReopened,
        { { "instance", instance.value() }, { "founder", int(isFounder) },
            { "version", m_core->state().routes().version() } });
    return true;
}

// Runs on the event loop. m_core may be in use further up the call stack, so onTick() destroys it.
void FlowControlDaemon::onStoreFailure(const absl::Status& status)
{
    m_base.log->write(EventId::StoreFailed, { { "reason", std::string(status.message()) } });
    m_storeFailed = true;
    m_storeFailedSince = m_storeFailedSince.value_or(m_base.clock.now());
}

void FlowControlDaemon::onTick()
{
    if (m_storeFailed) {
        m_storeFailed = false;
        m_core.reset();
        for (auto& [request, call] : m_calls)
            call.reply(503, "text/plain", "the store has failed\n");
        m_calls.clear();
        m_nextOpenTime = m_base.clock.now() + storeReopenInterval;
    }
    if (!m_core) {
        if (m_base.clock.now() < m_nextOpenTime || !openStore())
            return;
    }
    m_core->onTick();
    writeFlowRecords();
}

void FlowControlDaemon::handleMessage(Endpoint sender, const cluster::Envelope& envelope)
{
    if (std::optional<cluster::Envelope> answer = m_flowRecords.onMessage(sender, envelope))
        m_peers.send(sender, *answer);
    else if (m_core)
        m_core->onMessage(sender, envelope);
}

void FlowControlDaemon::loadFlowRecords()
{
    absl::StatusOr<std::string> file = m_flowRecordFile.read();
    absl::Status status = file.ok() ? m_flowRecords.load(*file) : file.status();
    if (!status.ok() && !absl::IsNotFound(status))
        m_base.log->write(EventId::FlowRecordsUnreadable, { { "reason", std::string(status.message()) } });
}

// Runs only while the store is open, which holds the lock of the folder, and while no batch of the replicated log waits
// for the same disk.
void FlowControlDaemon::writeFlowRecords()
{
    if (!m_flowRecordFile.isBusy() && m_pendingWrites.empty() && m_flowRecords.isWriteDue())
        m_flowRecordFile.write(m_flowRecords.takeFile());
}

void FlowControlDaemon::onFlowRecordsWritten(const absl::Status& status)
{
    if (status.ok())
        return;
    m_flowRecords.onWriteFailed();
    m_base.metrics.counter("control.flow-record-writes-failed").add();
    if (m_base.clock.now() < m_nextFlowRecordEvent)
        return;
    m_nextFlowRecordEvent = m_base.clock.now() + flowRecordEventInterval;
    m_base.log->write(EventId::FlowRecordsNotWritten, { { "reason", std::string(status.message()) } });
}

void FlowControlDaemon::onWritten(uint64_t batchNumber)
{
    while (!m_pendingWrites.empty() && m_pendingWrites.front().first <= batchNumber) {
        m_diskLatencies.add(m_base.clock.now() - m_pendingWrites.front().second);
        m_pendingWrites.pop_front();
    }
    if (m_core)
        m_core->onPersisted(batchNumber);
}

void FlowControlDaemon::updateGauges()
{
    m_base.metrics.gauge("store.works").set(m_core != nullptr);
    Duration failed = m_base.clock.now() - m_storeFailedSince.value_or(m_base.clock.now());
    m_base.metrics.gauge("store.failed-ms").set(wholeMilliseconds(failed));
    m_base.metrics.gauge("store.writing").set(int64_t(m_pendingWrites.size()));
    m_peers.updateMetrics();
    m_base.metrics.gauge("control.flow-records").set(int64_t(m_flowRecords.agentCount()));
    m_base.metrics.gauge("control.flow-records-flows").set(int64_t(m_flowRecords.flowCount()));
    m_base.metrics.gauge("control.flow-record-bytes").set(int64_t(m_flowRecords.bytes()));
    m_base.metrics.gauge("control.flow-reports-refused").set(int64_t(m_flowRecords.refusedCount()));
    m_base.metrics.gauge("control.open-calls").set(int64_t(m_calls.size()));
    raft::RaftStatus status = m_core ? m_core->status() : raft::RaftStatus();
    auto countVoters = [&](bool onlyActive) {
        return std::count_if(status.instances.begin(), status.instances.end(),
            [&](const raft::InstanceStatus& i) { return i.isVoter && (i.isActive || !onlyActive); });
    };
    m_base.metrics.gauge("raft.voters").set(countVoters(false));
    m_base.metrics.gauge("raft.active-voters").set(countVoters(true));
    m_base.metrics.gauge("raft.uncommitted").set(int64_t(status.lastIndex - status.commitIndex));
    m_base.metrics.gauge("raft.leads").set(status.role == raft::RaftRole::Leader);
    if (!m_core)
        return;
    m_base.metrics.gauge("raft.term").set(int64_t(status.term.value()));
    m_base.metrics.gauge("raft.commit").set(int64_t(status.commitIndex));
    m_base.metrics.gauge("state.index").set(int64_t(m_core->state().index()));
    m_base.metrics.gauge("state.version").set(int64_t(m_core->state().routes().version()));
    m_base.metrics.gauge("control.pollers").set(int64_t(m_core->pollerCount()));
    m_base.metrics.gauge("control.members").set(int64_t(m_core->memberCount()));
    m_base.metrics.gauge("control.refused-announcements").set(int64_t(m_core->refusedAnnouncements()));
}

void FlowControlDaemon::stop()
{
    m_stopping = true;
    m_exitTimer.expires_after(m_stopTimeout);
    m_exitTimer.async_wait([this](boost::system::error_code) { m_base.context.stop(); });
    if (m_core)
        m_core->stop();
    else
        m_base.context.stop();
}

void FlowControlDaemon::stopped() { m_base.context.stop(); }

void FlowControlDaemon::handleOperatorCall(const HttpRequest& request, const HttpReplyCallback& reply)
{
    std::string target(request.target());
    OperatorCall call = m_adapter.operatorCall(std::string(request.method_string()), target, request.body());
    if (const auto* status = std::get_if<absl::Status>(&call)) {
        refuseCall(*m_base.log, EventId::OrderRefused, target, *status, reply);
        return;
    }
    if (!m_core || m_stopping) {
        reply(503, "text/plain", m_stopping ? "the instance is stopping\n" : "the store does not work\n");
        return;
    }
    cluster::RequestNumber number = ++m_lastRequest;
    m_calls[number] = { reply, target, m_base.clock.now() };
    if (const auto* put = std::get_if<PutConfigurationCall>(&call))
        m_core->putConfiguration(number, put->configuration, cluster::compress(put->text));
    else if (const auto* set = std::get_if<SetDataCentreCall>(&call))
        m_core->setDataCentre(number, set->name, set->out);
    else
        m_core->readConfiguration(number);
}

void FlowControlDaemon::answer(cluster::RequestNumber request, const cluster::Answer& answer)
{
    auto found = m_calls.find(request);
    if (found == m_calls.end())
        return;
    PendingCall call = std::move(found->second);
    m_calls.erase(found);
    unsigned status = 503;
    std::string body = std::string(answer.reason) + "\n";
    std::string type = "text/plain";
    switch (answer.kind) {
    case cluster::AnswerKind::Done:
        status = 200;
        type = "application/json";
        body = "{}";
        break;
    case cluster::AnswerKind::Configuration:
        if (auto text = cluster::decompress(answer.compressedText, maxConfigurationBytes)) {
            status = 200;
            type = "application/json";
            body = std::move(*text);
        }
        break;
    case cluster::AnswerKind::Redirect:
        status = 307;
        body = "http://" + formatEndpoint(answer.leader) + call.target;
        break;
    case cluster::AnswerKind::Unavailable:
        break;
    }
    m_base.log->write(EventId::OrderAnswered,
        { { "call", call.target }, { "status", status }, { "reason", answer.reason },
            { "version", m_core->state().routes().version() }, { "index", m_core->state().index() } });
    m_orderLatencies.add(m_base.clock.now() - call.received);
    call.reply(status, type, std::move(body));
}

void FlowControlDaemon::sendMessage(Endpoint to, const cluster::Envelope& envelope) { m_peers.send(to, envelope); }

void FlowControlDaemon::persist(uint64_t batchNumber, const StoreBatch& batch)
{
    m_pendingWrites.emplace_back(batchNumber, m_base.clock.now());
    m_disk.write(batchNumber, batch);
}

void FlowControlDaemon::onEvent(cluster::ControlEvent event, const std::string& subject, LogIndex index)
{
    EventId id = EventId::GroupChanged;
    switch (event) {
    case cluster::ControlEvent::BecameLeader:
        id = EventId::BecameLeader;
        break;
    case cluster::ControlEvent::BecameFollower:
        id = EventId::BecameFollower;
        break;
    case cluster::ControlEvent::ConfigurationInForce:
        id = EventId::ConfigurationInForce;
        break;
    case cluster::ControlEvent::DataCentreOut:
        id = EventId::DataCentreOut;
        break;
    case cluster::ControlEvent::DataCentreBack:
        id = EventId::DataCentreBack;
        break;
    case cluster::ControlEvent::InstanceRegistered:
        id = EventId::InstanceAdded;
        break;
    case cluster::ControlEvent::MembersRegistered:
        id = EventId::MembersRegistered;
        break;
    case cluster::ControlEvent::MembersRemoved:
        id = EventId::MembersRemoved;
        break;
    case cluster::ControlEvent::MembershipChanged:
        break;
    case cluster::ControlEvent::OrderExpired:
        id = EventId::OrderExpired;
        break;
    case cluster::ControlEvent::AnnouncementRefused:
        id = EventId::AnnouncementRefused;
        break;
    }
    m_base.log->write(id, { { "subject", subject }, { "index", index } });
}

} // namespace cicadaward
