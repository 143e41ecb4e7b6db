// The agent: the process that runs beside each target. It has three threads: packets (flows), requests (HTTP and the
// target), and control (the link to the control instances, metrics, graceful shutdown).
#pragma once

#include "agent_packets.h"
#include "agent_requests_duty.h"
#include "control_link.h"
#include "net/http_server.h"

#include <condition_variable>
#include <mutex>

namespace cicadaward {

class AgentDaemon {
public:
    AgentDaemon(DaemonBase&, const Settings&);
    ~AgentDaemon();

    absl::Status start();
    // Announces that the agent drains, waits for running requests, and returns when they have ended or stop.limit-ms
    // has passed. Packets of flows are forwarded until the destructor runs.
    void stop();

private:
    void handleInput(const ControlVersionSeen&);
    void handleInput(const ControlOtherDataCentre&) { m_link->otherDataCentreHeard(); }
    void handleInput(const ControlTarget&);
    void handleInput(const ControlDrained&);
    void announceState();
    control::ControlClientSettings clientSettings(const Settings&) const;
    ControlLinkHandlers linkHandlers();

    DaemonBase& m_base;
    Duration m_stopTimeout;
    DropLog m_drops;
    EventLoopThread m_controlLoop;
    WakingRing<ControlInput> m_fromPackets;
    WakingRing<ControlInput> m_fromRequests;
    AgentPacketThread m_packets;
    AgentRequestThread m_requests;
    std::unique_ptr<ControlLink> m_link;
    std::unique_ptr<HttpServer> m_adminServer;
    TargetCondition m_targetCondition;
    bool m_draining = false;
    std::mutex m_mutex;
    std::condition_variable m_drainedSignal;
    bool m_drained = false;
};

} // namespace cicadaward
