// The packet thread of an agent: feeds flow::AgentFlows, a state machine, with datagrams from the tunnel, packets from
// the target and packets of the agent's own TCP endpoint, and performs the actions that it returns.
//
// Input from the other threads comes through bounded rings. A full ring drops packets, as a network would, and refuses
// commands, which their senders repeat.
#pragma once

#include "agent_messages.h"
#include "auth/replay_window.h"
#include "daemon.h"
#include "flow/agent_flows.h"
#include "net/tcp_endpoint.h"
#include "net/udp_port.h"
#include "observe/drop_log.h"

#include <absl/container/flat_hash_map.h>

namespace cicadaward {

class AgentPacketThread {
public:
    // `toRequests` and `toControl` are called on the packet thread.
    AgentPacketThread(DaemonBase&, DropLog&, const Settings&, std::function<void(RequestsInput&&)> toRequests,
        std::function<void(const ControlInput&)> toControl);

    absl::Status status() const;
    void start() { m_loop.start(); }
    void stop()
    {
        m_loop.stop();
        m_endpoint.reset();
    }

    // Called from the control thread and the request thread.
    void pushFromControl(PacketsInput&& input) { m_fromControl.push(std::move(input)); }
    void pushFromRequests(PacketsInput&& input) { m_fromRequests.push(std::move(input)); }
    // For a packet that the TCP endpoint sends; called on the thread that holds the lock of the TCP stack.
    void pushFromEndpoint(const uint8_t* packet, size_t size);

private:
    void handleTunnel(Endpoint sender, uint8_t* data, size_t size);
    void handleTargetPacket(uint8_t* data, size_t size);
    void handle(const flow::AgentEvent&);
    void handleSenderState(Endpoint sender, const TunnelHeader&);

    void handleInput(const PacketsDirectory&);
    void handleInput(const PacketsContact&);
    void handleInput(const PacketsTarget&);
    void handleInput(const PacketsPeerMessage&);
    void handleInput(const PacketsRequestEnded&);
    void handleInput(const PacketsEndpoint&);

    void perform(const flow::SendTunnel&);
    void perform(const flow::SendPeer&);
    void perform(const flow::DeliverPacket&);
    void perform(const flow::SendToCaller&);
    void perform(const flow::RequestDirectory&);
    void sendTunnel(Endpoint to, const TunnelHeader&, const uint8_t* payload, size_t size, MessagePurpose);

    void tick();
    void reportSlots();
    void reportMetrics();

    DaemonBase& m_base;
    DropLog& m_drops;
    std::string m_serviceName;
    std::string m_dataCentreName;
    MemberId m_self;
    Endpoint m_fabricReturn;
    Endpoint m_targetPackets;
    size_t m_maxFlows;
    std::chrono::milliseconds m_lease;
    std::chrono::milliseconds m_isolationTimeout;
    std::function<void(RequestsInput&&)> m_toRequests;
    std::function<void(const ControlInput&)> m_toControl;

    EventLoopThread m_loop;
    Random m_random;
    Authenticator m_authenticator;
    MessageSequence m_sequence;
    ReplayGuard m_replays;
    std::shared_ptr<const Directory> m_directory;
    ServiceId m_service;
    DataCentreId m_dataCentre;
    std::unique_ptr<TargetAdmission> m_admission;
    std::unique_ptr<flow::AgentFlows> m_flows;
    std::optional<flow::AgentEvent> m_targetEvent; // the last one, replayed to an m_flows that is created later
    std::optional<flow::ControlContact> m_contact;
    flow::Actions m_actions;
    std::shared_ptr<TcpEndpoint> m_endpoint;
    uint32_t m_reportedSlots = UINT32_MAX;
    Time m_lastOtherDataCentreReport;
    absl::flat_hash_map<uint64_t, Time>
        m_notifiedEntries; // time of the last notice to an entry with an older directory, by address and port
    std::vector<uint8_t> m_buffer;
    UdpPort m_tunnel;
    UdpPort m_target;
    WakingRing<PacketsInput> m_fromControl;
    WakingRing<PacketsInput> m_fromRequests;
    WakingRing<std::vector<uint8_t>> m_fromEndpoint;
};

} // namespace cicadaward
