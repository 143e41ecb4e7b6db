// The entry: receives packets from the fabric and sends each through the tunnel to the owner of its bucket.
//
// Threads: "packets" reads the fabric socket, chooses the owner and sends; "control" maintains the link to the control
// instances and serves the metrics. New directories go from the control thread to the packet thread through a bounded
// ring; when the ring is full, the control thread keeps the newest directory and sends it with the next command.
#pragma once

#include "control_link.h"
#include "daemon.h"
#include "flow/entry_forwarder.h"
#include "net/http_server.h"
#include "net/udp_port.h"
#include "net/waking_ring.h"
#include "observe/drop_log.h"

#include <atomic>

namespace cicadaward {

class EntryDaemon {
public:
    EntryDaemon(DaemonBase&, const Settings&);
    ~EntryDaemon();

    absl::Status start();
    void stop();

private:
    struct PacketCommand {
        std::shared_ptr<const Directory> directory;
        bool isolated = false;
    };

    void handlePacket(uint8_t* data, size_t size);
    void handleTunnel(uint8_t* data, size_t size);
    void handleCommand(const PacketCommand&);
    void send(const flow::Forwarding&, const uint8_t* packet, size_t size);
    void reportMetrics();
    control::ControlClientSettings clientSettings(const Settings&) const;

    DaemonBase& m_base;
    std::string m_dataCentreName;
    MemberId m_self;
    DropLog m_drops;
    Counter& m_forwarded;
    EventLoopThread m_packetLoop;
    EventLoopThread m_controlLoop;

    // Used by the packet thread only.
    Authenticator m_authenticator;
    MessageSequence m_sequence;
    DataCentreId m_dataCentre;
    std::unique_ptr<flow::EntryForwarder> m_forwarder;
    bool m_isolated = false;
    std::vector<uint8_t> m_buffer;
    UdpPort m_fabric;
    UdpPort m_tunnel;
    WakingRing<PacketCommand> m_commands;

    // Used by the control thread only.
    PacketCommand m_latestCommand;
    ControlLink m_link;
    std::unique_ptr<HttpServer> m_adminServer;
};

} // namespace cicadaward
