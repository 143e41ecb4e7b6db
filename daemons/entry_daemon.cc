#include "entry_daemon.h"

namespace cicadaward {

namespace detail {

    constexpr size_t commandRingSize = 64;

    DropReason dropReason(flow::EntryVerdict verdict)
    {
        switch (verdict) {
        case flow::EntryVerdict::DropUnknown:
            return DropReason::UnknownService;
        case flow::EntryVerdict::DropNoOwner:
            return DropReason::NoOwner;
        case flow::EntryVerdict::DropDataCentreOut:
            return DropReason::DataCentreOut;
        default:
            return DropReason::Malformed;
        }
    }

} // namespace detail

EntryDaemon::EntryDaemon(DaemonBase& base, const Settings& settings)
    : m_base(base)
    , m_dataCentreName(settings.text("instance.data-centre"))
    , m_self(control::memberIdOf(settings.text("instance.name")))
    , m_drops(*base.log, DaemonBase::clock())
    , m_forwarded(base.metrics.counter("packets.forwarded"))
    , m_packetLoop("packets")
    , m_controlLoop("control")
    , m_authenticator(base.keys)
    , m_sequence(base.process)
    , m_buffer(maxTunnelDatagramBytes + sealTrailerBytes)
    , m_fabric(m_packetLoop.context(), toEndpoint(settings.endpoint("listen.fabric")), maxIpPacketBytes,
          [this](Endpoint, uint8_t* data, size_t size) { handlePacket(data, size); })
    , m_tunnel(m_packetLoop.context(), toEndpoint(settings.endpoint("listen.tunnel")),
          maxTunnelDatagramBytes + sealTrailerBytes,
          [this](Endpoint, uint8_t* data, size_t size) { handleTunnel(data, size); })
    , m_commands(
          detail::commandRingSize, m_packetLoop.context(), [this](PacketCommand&& command) { handleCommand(command); })
    , m_link(base, settings.endpoints("control.peers"), clientSettings(settings), m_controlLoop.context(),
          { [this](std::shared_ptr<const Directory> directory) {
               m_latestCommand.directory = std::move(directory);
               m_commands.push(PacketCommand(m_latestCommand));
           },
              [](Time, DirectoryVersion) {},
              [this](control::Contact contact) {
                  m_latestCommand.isolated = contact == control::Contact::Isolated;
                  m_commands.push(PacketCommand(m_latestCommand));
              } })
{
    m_controlLoop.runEvery(std::chrono::milliseconds(50), [this] { m_link.tick(); });
    m_controlLoop.runEvery(std::chrono::seconds(1), [this] { reportMetrics(); });
    if (settings.isSet("admin.listen")) {
        m_adminServer = std::make_unique<HttpServer>(m_controlLoop.context(),
            toEndpoint(settings.endpoint("admin.listen")), [this](const HttpRequest&, const HttpReplyCallback& reply) {
                reply(200, "application/json", m_base.metrics.json());
            });
    }
}

EntryDaemon::~EntryDaemon() { stop(); }

control::ControlClientSettings EntryDaemon::clientSettings(const Settings& settings) const
{
    control::ControlClientSettings client = memberSettings(m_base, settings);
    client.record.role = MemberRole::Entry;
    client.record.state = MemberState::Warm;
    return client;
}

absl::Status EntryDaemon::start()
{
    for (const absl::Status& status :
        { m_fabric.status(), m_tunnel.status(), m_adminServer ? m_adminServer->status() : absl::OkStatus() }) {
        if (!status.ok())
            return status;
    }
    m_packetLoop.start();
    m_controlLoop.start();
    return absl::OkStatus();
}

void EntryDaemon::stop()
{
    m_controlLoop.stop();
    m_packetLoop.stop();
}

void EntryDaemon::handleCommand(const PacketCommand& command)
{
    m_isolated = command.isolated;
    if (!command.directory)
        return;
    const DataCentre* own = command.directory->findDataCentre(m_dataCentreName);
    DataCentreId dataCentre = own ? own->id : DataCentreId();
    if (!m_forwarder || dataCentre != m_dataCentre) {
        m_dataCentre = dataCentre;
        m_forwarder = std::make_unique<flow::EntryForwarder>(m_self, dataCentre);
    }
    m_forwarder->install(*command.directory);
}

void EntryDaemon::handlePacket(uint8_t* data, size_t size)
{
    if (!m_forwarder || m_isolated) {
        m_drops.add(DropReason::Fenced);
        return;
    }
    flow::Forwarding forwarding;
    flow::EntryVerdict verdict = m_forwarder->forward(data, size, forwarding);
    if (verdict == flow::EntryVerdict::Forward)
        send(forwarding, data, size);
    else
        m_drops.add(detail::dropReason(verdict));
}

void EntryDaemon::send(const flow::Forwarding& forwarding, const uint8_t* packet, size_t size)
{
    size_t length = encodeTunnel(forwarding.header, packet, size, m_buffer.data());
    length = m_authenticator.seal(m_buffer.data(), length, MessagePurpose::Packet, m_sequence.next());
    if (length > 0 && m_tunnel.send(forwarding.to, m_buffer.data(), length))
        m_forwarded.add();
    else
        m_drops.add(DropReason::SendFailed);
}

// An agent replies with an empty datagram, which carries its directory version, when the directory of this entry is
// older.
void EntryDaemon::handleTunnel(uint8_t* data, size_t size)
{
    OpenResult opened = m_authenticator.open(data, size, MessagePurpose::PeerMessage);
    TunnelHeader header;
    if (opened.status != OpenStatus::Valid || !decodeTunnel(data, opened.payloadSize, header)) {
        m_drops.add(DropReason::NotAuthenticated);
        return;
    }
    bool isOtherDataCentre = header.dataCentre != m_dataCentre;
    boost::asio::post(m_controlLoop.context(), [this, version = header.version, isOtherDataCentre] {
        m_link.versionSeen(version);
        if (isOtherDataCentre)
            m_link.otherDataCentreHeard();
    });
}

void EntryDaemon::reportMetrics()
{
    m_drops.report();
    m_base.metrics.gauge("control.bytes_sent").set(static_cast<int64_t>(m_link.bytesSent()));
    m_base.metrics.gauge("control.bytes_received").set(static_cast<int64_t>(m_link.bytesReceived()));
    m_base.metrics.gauge("ring.commands.refused").set(static_cast<int64_t>(m_commands.refused()));
}

} // namespace cicadaward
