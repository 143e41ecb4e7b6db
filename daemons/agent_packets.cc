#include "agent_packets.h"

namespace cicadaward {

namespace detail {

    constexpr size_t commandRingSize = 1024;
    constexpr size_t packetRingSize = 8192;
    constexpr auto tickInterval = std::chrono::milliseconds(20);
    // Shortest time between two notices to the same entry, and between two to the control thread.
    constexpr auto minNoticeInterval = std::chrono::milliseconds(200);
    constexpr size_t maxNotifiedEntries = 4096;
    constexpr size_t maxReplaySenders = 4096;
    constexpr size_t bytesPerFlow = 64; // stated on the design page; the table needs less

} // namespace detail

AgentPacketThread::AgentPacketThread(DaemonBase& base, DropLog& drops, const Settings& settings,
    std::function<void(RequestsInput&&)> toRequests, std::function<void(const ControlInput&)> toControl)
    : m_base(base)
    , m_drops(drops)
    , m_serviceName(settings.text("service.name"))
    , m_dataCentreName(settings.text("instance.data-centre"))
    , m_self(control::memberIdOf(settings.text("instance.name")))
    , m_fabricReturn(toEndpoint(settings.endpoint("fabric.return")))
    , m_targetPackets(toEndpoint(settings.endpoint("target.packets")))
    , m_maxFlows(static_cast<size_t>(settings.number("limits.max-flows")))
    , m_lease(3 * settings.duration("control.announce-interval-ms"))
    , m_isolationTimeout(settings.duration("control.isolation-ms"))
    , m_toRequests(std::move(toRequests))
    , m_toControl(std::move(toControl))
    , m_loop("packets")
    , m_random(base.seed + 1)
    , m_authenticator(base.keys)
    , m_sequence(base.process)
    , m_replays(detail::maxReplaySenders)
    , m_buffer(maxTunnelDatagramBytes + sealTrailerBytes)
    , m_tunnel(m_loop.context(), toEndpoint(settings.endpoint("listen.tunnel")),
          maxTunnelDatagramBytes + sealTrailerBytes,
          [this](Endpoint sender, uint8_t* data, size_t size) { handleTunnel(sender, data, size); })
    , m_target(m_loop.context(), toEndpoint(settings.endpoint("listen.target")), maxIpPacketBytes,
          [this](Endpoint, uint8_t* data, size_t size) { handleTargetPacket(data, size); })
    , m_fromControl(detail::commandRingSize, m_loop.context(),
          [this](PacketsInput&& input) { std::visit([this](const auto& each) { handleInput(each); }, input); })
    , m_fromRequests(detail::commandRingSize, m_loop.context(),
          [this](PacketsInput&& input) { std::visit([this](const auto& each) { handleInput(each); }, input); })
    , m_fromEndpoint(detail::packetRingSize, m_loop.context(),
          [this](std::vector<uint8_t>&& packet) { handle(flow::TargetPacket { packet }); })
{
    m_loop.runEvery(detail::tickInterval, [this] { tick(); });
    m_loop.runEvery(std::chrono::seconds(1), [this] { reportMetrics(); });
}

absl::Status AgentPacketThread::status() const
{
    return m_tunnel.status().ok() ? m_target.status() : m_tunnel.status();
}

void AgentPacketThread::pushFromEndpoint(const uint8_t* packet, size_t size)
{
    m_fromEndpoint.push(std::vector<uint8_t>(packet, packet + size));
}

void AgentPacketThread::handle(const flow::AgentEvent& event)
{
    if (!m_flows)
        return;
    m_actions.clear();
    m_flows->handle(event, m_actions);
    for (const flow::Action& action : m_actions.list())
        std::visit([this](const auto& each) { perform(each); }, action);
}

void AgentPacketThread::handleTunnel(Endpoint sender, uint8_t* data, size_t size)
{
    TunnelHeader header;
    if (!decodeTunnel(data, size, header)) {
        m_drops.add(DropReason::Malformed);
        return;
    }
    bool isMessage = header.kind == TunnelKind::PeerMessage || header.kind == TunnelKind::RequestMessage;
    OpenResult opened
        = m_authenticator.open(data, size, isMessage ? MessagePurpose::PeerMessage : MessagePurpose::Packet);
    if (opened.status != OpenStatus::Valid || (isMessage && !m_replays.accept(header.sender, opened.sequence))) {
        m_drops.add(DropReason::NotAuthenticated);
        return;
    }
    handleSenderState(sender, header);
    const uint8_t* payload = data + tunnelHeaderBytes;
    size_t payloadSize = opened.payloadSize - tunnelHeaderBytes;
    if (header.kind == TunnelKind::RequestMessage) {
        m_toRequests(
            RequestsPeerMessage { header.sender, std::string(reinterpret_cast<const char*>(payload), payloadSize) });
        return;
    }
    handle(flow::TunnelReceived { header, flow::Bytes(payload, payloadSize) });
}

// Sends a notice to an entry whose directory is older than this agent's, and tells the control thread when the sender
// is in another data centre.
void AgentPacketThread::handleSenderState(Endpoint sender, const TunnelHeader& header)
{
    Time now = DaemonBase::clock().now();
    if (header.dataCentre != m_dataCentre && now - m_lastOtherDataCentreReport >= detail::minNoticeInterval) {
        m_lastOtherDataCentreReport = now;
        m_toControl(ControlOtherDataCentre {});
    }
    if (header.kind != TunnelKind::ToOwner || header.hops > 1 || !m_directory || header.version >= m_directory->version)
        return;
    uint64_t key = static_cast<uint64_t>(sender.address) << 16 | sender.port;
    if (m_notifiedEntries.size() >= detail::maxNotifiedEntries)
        m_notifiedEntries.clear();
    Time& last = m_notifiedEntries[key];
    if (now - last < detail::minNoticeInterval)
        return;
    last = now;
    TunnelHeader notice;
    notice.kind = TunnelKind::PeerMessage;
    notice.service = m_service;
    notice.version = m_directory->version;
    notice.sender = m_self;
    notice.dataCentre = m_dataCentre;
    sendTunnel(sender, notice, nullptr, 0, MessagePurpose::PeerMessage);
}

void AgentPacketThread::handleTargetPacket(uint8_t* data, size_t size)
{
    m_toRequests(RequestsTraffic {});
    handle(flow::TargetPacket { flow::Bytes(data, size) });
}

void AgentPacketThread::handleInput(const PacketsDirectory& input)
{
    m_directory = input.directory;
    const Service* service = m_directory->findService(m_serviceName);
    const DataCentre* dataCentre = m_directory->findDataCentre(m_dataCentreName);
    m_dataCentre = dataCentre ? dataCentre->id : DataCentreId();
    if (!service) {
        m_flows.reset();
        m_service = ServiceId();
        return;
    }
    TargetCapacity capacity { service->spec.flowsPerTarget, service->spec.slotsPerTarget, service->spec.coldShare,
        std::chrono::seconds(service->spec.coldSeconds) };
    if (!m_flows || m_service != service->id) {
        m_service = service->id;
        m_admission = std::make_unique<TargetAdmission>(DaemonBase::clock(), capacity);
        flow::AgentFlowsSettings settings;
        settings.self = m_self;
        settings.service = m_service;
        settings.dataCentre = m_dataCentre;
        settings.flowTableBytes = m_maxFlows * detail::bytesPerFlow;
        settings.lease = m_lease;
        settings.isolationTimeout = m_isolationTimeout;
        m_flows = std::make_unique<flow::AgentFlows>(settings, *m_admission, DaemonBase::clock(), m_random);
        if (m_contact)
            handle(*m_contact);
        if (m_targetEvent)
            handle(*m_targetEvent);
    }
    m_admission->setCapacity(capacity);
    handle(flow::DirectoryReceived { m_directory });
    reportSlots();
}

void AgentPacketThread::handleInput(const PacketsContact& input)
{
    m_contact = flow::ControlContact { input.quorumConfirmedAt, input.newest };
    handle(*m_contact);
}

void AgentPacketThread::handleInput(const PacketsTarget& input)
{
    switch (input.condition.state) {
    case TargetState::Unknown:
        return;
    case TargetState::Up:
        m_targetEvent = flow::TargetUp { input.condition.incarnation };
        break;
    case TargetState::Draining:
        // TargetUp comes first, because it carries the incarnation, which an agent that starts beside a draining target
        // does not know yet.
        handle(flow::TargetUp { input.condition.incarnation });
        m_targetEvent = flow::TargetDraining {};
        break;
    case TargetState::Down:
        m_targetEvent = flow::TargetDown {};
        break;
    }
    handle(*m_targetEvent);
    reportSlots();
}

void AgentPacketThread::handleInput(const PacketsPeerMessage& input)
{
    const Member* member = m_directory ? m_directory->findMember(input.to) : nullptr;
    if (!member)
        return;
    TunnelHeader header;
    header.kind = TunnelKind::RequestMessage;
    header.service = m_service;
    header.version = m_directory->version;
    header.sender = m_self;
    header.dataCentre = m_dataCentre;
    sendTunnel(member->tunnel, header, reinterpret_cast<const uint8_t*>(input.bytes.data()), input.bytes.size(),
        MessagePurpose::PeerMessage);
}

void AgentPacketThread::handleInput(const PacketsRequestEnded& input)
{
    if (!m_admission)
        return;
    m_admission->observeWork(input.outcome, input.latency);
    reportSlots();
}

void AgentPacketThread::handleInput(const PacketsEndpoint& input) { m_endpoint = input.endpoint; }

void AgentPacketThread::perform(const flow::SendTunnel& action)
{
    sendTunnel(action.to, action.header, action.packet.data(), action.packet.size(), MessagePurpose::Packet);
}

void AgentPacketThread::perform(const flow::SendPeer& action)
{
    sendTunnel(action.to, action.header, action.message.data(), action.message.size(), MessagePurpose::PeerMessage);
}

void AgentPacketThread::sendTunnel(
    Endpoint to, const TunnelHeader& header, const uint8_t* payload, size_t size, MessagePurpose purpose)
{
    if (size > maxIpPacketBytes) {
        m_drops.add(DropReason::Malformed);
        return;
    }
    size_t length = encodeTunnel(header, payload, size, m_buffer.data());
    length = m_authenticator.seal(m_buffer.data(), length, purpose, m_sequence.next());
    if (length == 0 || !m_tunnel.send(to, m_buffer.data(), length))
        m_drops.add(DropReason::SendFailed);
}

void AgentPacketThread::perform(const flow::DeliverPacket& action)
{
    if (action.mode == PortMode::Flow) {
        m_target.send(m_targetPackets, action.packet.data(), action.packet.size());
        return;
    }
    if (!m_endpoint)
        return;
    if (action.refuseRequests) {
        auto parsed = parseIpPacket(action.packet.data(), action.packet.size());
        if (auto* packet = std::get_if<IpPacket>(&parsed))
            m_toRequests(RequestsRefusal { { packet->key.sourceAddress, packet->key.sourcePort } });
    }
    m_endpoint->input(action.packet.data(), action.packet.size());
}

void AgentPacketThread::perform(const flow::SendToCaller& action)
{
    m_target.send(m_fabricReturn, action.packet.data(), action.packet.size());
}

void AgentPacketThread::perform(const flow::RequestDirectory& action)
{
    m_toControl(ControlVersionSeen { action.version });
}

void AgentPacketThread::tick()
{
    handle(flow::Tick {});
    reportSlots();
}

void AgentPacketThread::reportSlots()
{
    uint32_t slots = m_admission ? m_admission->work().limit() : 0;
    if (slots == m_reportedSlots)
        return;
    m_reportedSlots = slots;
    m_toRequests(RequestsSlots { slots });
}

void AgentPacketThread::reportMetrics()
{
    if (!m_flows)
        return;
    for (size_t i = 0; i < flow::flowCounterCount; ++i) {
        auto counter = static_cast<flow::FlowCounter>(i);
        m_base.metrics.gauge(std::string("flow.") + flow::flowCounterName(counter))
            .set(static_cast<int64_t>(m_flows->counters().value(counter)));
    }
    m_base.metrics.gauge("flow.held").set(static_cast<int64_t>(m_flows->heldFlows()));
    m_base.metrics.gauge("flow.owned").set(static_cast<int64_t>(m_flows->ownedFlows()));
    m_base.metrics.gauge("flow.buckets").set(static_cast<int64_t>(m_flows->ownedBuckets()));
    m_base.metrics.gauge("flow.buckets_settled").set(static_cast<int64_t>(m_flows->settledBuckets()));
    m_base.metrics.gauge("flow.table_bytes").set(static_cast<int64_t>(m_flows->tableBytes()));
    m_base.metrics.gauge("admission.flow_limit").set(m_admission->flows().limit());
    m_base.metrics.gauge("admission.work_limit").set(m_admission->work().limit());
    m_base.metrics.gauge("ring.endpoint.refused").set(static_cast<int64_t>(m_fromEndpoint.refused()));
}

} // namespace cicadaward
