// The request thread of an agent: reads HTTP from the TCP endpoint, drives request::AgentRequests, a state machine,
// sends requests to the local target and checks the target's health.
//
// The TCP endpoint reports its events on other threads; they come to this thread through a bounded ring.
#pragma once

#include "agent_messages.h"
#include "daemon.h"
#include "net/http_client.h"
#include "request/agent_requests.h"
#include "request/http_reader.h"

#include <map>
#include <set>

namespace cicadaward {

class AgentRequestThread {
public:
    // `toPackets` and `toControl` are called on the request thread, `endpointOutput` with the TCP stack's lock held.
    AgentRequestThread(DaemonBase&, const Settings&, std::function<void(PacketsInput&&)> toPackets,
        std::function<void(const ControlInput&)> toControl, TcpEndpoint::PacketOutput endpointOutput);
    ~AgentRequestThread();

    void start() { m_loop.start(); }
    // Ends the thread, then destroys the TCP endpoint, because its events go to a ring of this object.
    void stop();

    void pushFromPackets(RequestsInput&& input) { m_fromPackets.push(std::move(input)); }
    void pushFromControl(RequestsInput&& input) { m_fromControl.push(std::move(input)); }
    void drain(Duration limit); // from any thread; sends ControlDrained when the drain has ended

private:
    struct Connection {
        Connection(const request::HttpLimits&, Endpoint callerEndpoint);

        request::HttpReader reader;
        Endpoint caller;
        bool busy = false; // a request of this connection is in the state machine
    };

    void handleTcp(const TcpEvent&);
    void readRequests(ConnectionId);
    void checkRequestTimeouts();
    void closeConnection(ConnectionId);
    bool isRefused(const Connection&) const;

    void handleInput(const RequestsDirectory&);
    void handleInput(const RequestsContact&);
    void handleInput(const RequestsPeerMessage&);
    void handleInput(const RequestsSlots&);
    void handleInput(const RequestsRefusal&);
    void handleInput(const RequestsTraffic&) { m_targetMonitor.recordTraffic(); }

    void handle(request::RequestEvent);
    void perform(const request::SendToTarget&);
    void perform(const request::CancelAttempt&);
    void perform(const request::WriteReply&);
    void perform(const request::SendPeerMessage&);
    void perform(const request::Count&);
    void perform(const request::DrainFinished&);
    void handleTargetResult(request::AttemptId, Time started, HttpResult);

    void createStateMachine();
    void createEndpoint(const Service&);
    void pollHealth();
    void handleHealthResult(HttpResult);
    void publishTargetCondition();
    void reportMetrics();

    DaemonBase& m_base;
    std::string m_serviceName;
    MemberId m_self;
    std::chrono::milliseconds m_lease;
    size_t m_maxRequests;
    request::HttpLimits m_httpLimits;
    std::function<void(PacketsInput&&)> m_toPackets;
    std::function<void(const ControlInput&)> m_toControl;
    TcpEndpoint::PacketOutput m_endpointOutput;

    EventLoopThread m_loop;
    Random m_random;
    std::shared_ptr<const Directory> m_directory;
    ServiceId m_service;
    std::unique_ptr<request::AgentRequests> m_stateMachine;
    uint32_t m_slots = 0;
    std::shared_ptr<TcpEndpoint> m_endpoint;
    std::map<uint64_t, Connection> m_connections; // by ConnectionId
    std::set<std::pair<uint32_t, uint16_t>> m_refusedCallers; // address and port of the callers
    HttpClient m_targetClient;
    HttpClient m_healthClient;
    uint64_t m_lastHealthCall = 0;
    TargetMonitor m_targetMonitor;
    WakingRing<RequestsInput> m_fromPackets;
    WakingRing<RequestsInput> m_fromControl;
    WakingRing<TcpEvent> m_fromEndpoint;
};

} // namespace cicadaward
