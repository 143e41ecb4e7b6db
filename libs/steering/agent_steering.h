// Decides what the agent beside a target does with each packet. Pure: no sockets, no clock but the given one; one
// thread.
//
//     AgentSteering steering(options, format, clock, observer, output);
//     steering.setState(routes, evacuated);
//     steering.onHeartbeat(heartbeat);
//     steering.onFrame(sender, data, size); // from an entry or another agent
//     steering.onTargetPacket(data, size); // sent or bounced by the target
//
// Draining, evacuation and the warm-up budget are enforced here, in sum over all entries, because every new flow of the
// target passes. So does every request: those beyond the target's slots wait here in an order of their own. The flow
// table is what this process has seen; the target itself has the last word on what it holds.
// Memory: at most `maxFlows` flows of about 150 bytes, `forwardedPacketSlots` frame heads of about 100 bytes, and the
// queue.
#pragma once

#include "core/clock.h"
#include "steering/decisions.h"
#include "steering/flow_admission.h"
#include "steering/frame.h"
#include "steering/request_gate.h"
#include "steering/target_flows.h"
#include "steering/target_registration.h"

#include <set>
#include <string>
#include <vector>

namespace cicadaward::steering {

struct AgentOptions {
    Endpoint self; // where frames for this agent go
    std::string dataCentre;
    uint64_t incarnation = 0; // larger after a restart of this process
    size_t maxFlows = 16384;
    size_t forwardedPacketSlots = 1024; // packets given to the target whose frames are kept for a bounce
    Duration heartbeatTimeout = std::chrono::milliseconds(4800); // four heartbeats
    Duration closedRetention = std::chrono::seconds(4);
    FlowAdmissionOptions admission;
    RequestQueueOptions queue;
};

class AgentOutput {
public:
    virtual ~AgentOutput() = default;
    virtual void sendFrame(Endpoint to, const std::vector<uint8_t>& frame) = 0;
    virtual void sendToTarget(const uint8_t* packet, size_t size) = 0;
    virtual void sendToCaller(const FlowId&, const uint8_t* packet, size_t size) = 0;
};

class AgentSteering {
public:
    AgentSteering(AgentOptions, const PacketFormat&, const Clock&, DecisionObserver&, AgentOutput&);

    void setState(RouteTable, std::set<std::string> evacuated);
    HeartbeatResult onHeartbeat(const Heartbeat&);
    bool onDeparture(const std::string& id);
    // `data` is changed in place: the packet gets a mark before it goes to the target.
    void onFrame(Endpoint sender, uint8_t* data, size_t size);
    void onTargetPacket(uint8_t* data, size_t size);
    // Call at least every 100 ms.
    void onTick();

    // The record that other processes shall know; its sequence rises with each change.
    const MemberRecord& record();
    // The current start of the target stands in the members' register, under this incarnation of the agent and start.
    // New flows wait for it, since entries take the register for the list of all targets that may hold a flow.
    void onRegistered(uint64_t incarnation, uint64_t targetStart);
    bool isAwaitingRegistration() const { return m_registration.state() == TargetState::Ready && !isRegistered(); }
    bool isRegistered() const { return m_registeredStart != 0 && m_registeredStart == m_record.targetStart; }
    // Another record of this agent is known under `incarnation`; the own one must supersede it. The clock that gave
    // this process its incarnation may have been set back before the start.
    void raiseIncarnationAbove(uint64_t incarnation);
    const TargetRegistration& registration() const { return m_registration; }
    // Expected work of the target for each of its slots, in hundredths: requests in hand and waiting, their mean over
    // the last second, and a tenth for each open flow, since an open flow will bring more.
    uint16_t load() const;
    size_t flowCount() const { return m_flows.size(); }
    size_t waitingRequests() const { return m_requests.queuedCount(); }

private:
    // A packet given to the target. The mark alone does not name it: a packet that the target returns late may carry
    // the mark of an earlier process of this agent.
    struct ForwardedPacket {
        uint32_t mark = 0;
        FlowId flow;
        Frame frame;
    };

    const char* refusalReason(const FlowId&);
    void onOffer(Frame&, const FlowPacket&, uint8_t* data, size_t size);
    void accept(Frame&, const FlowPacket&, uint8_t* data, size_t size);
    void onDelivery(Frame&, const FlowPacket&, uint8_t* data, size_t size);
    void onUnknownFlow(Frame&, const FlowPacket&, uint8_t* data, size_t size);
    void sendProbes(const Frame&, const uint8_t* data, size_t size);
    void onKnownFlow(TargetFlow&, Frame&, const FlowPacket&, uint8_t* data, size_t size);
    void forwardQueuedRequests();
    void passOn(Frame&, const FlowPacket&, const char* reason, const uint8_t* data, size_t size);
    void forwardToTarget(const Frame&, const FlowId&, uint8_t* data, size_t size);
    void forwardToTarget(QueuedRequest&);
    void onCallerClosed(TargetFlow&, const FlowPacket&);
    void onBounced(const FlowPacket&, uint8_t* data, size_t size);
    bool canTargetHold(const FlowId&) const;
    RequestPolicy requestPolicyOf(const FlowId&) const;
    void sendLocated(const FlowId&, TargetFlow&);
    void eraseFlow(const FlowId&);
    void onNewStart(bool hadTarget);
    void expire();

    const AgentOptions m_options;
    const PacketFormat& m_format;
    const Clock& m_clock;
    DecisionObserver& m_observer;
    AgentOutput& m_output;
    RouteTable m_routes;
    bool m_hasState = false;
    std::set<std::string> m_evacuatedDataCentres;
    TargetRegistration m_registration;
    FlowAdmission m_admission;
    MemberRecord m_record;
    uint64_t m_registeredStart = 0;
    bool m_hasUnannouncedStart = false; // the record does not show the current start of the target yet
    bool m_hasUntrackedFlows = false; // flows of the target's current start may be missing in m_flows
    RequestGate m_requests;
    TargetFlows m_flows;
    std::vector<ForwardedPacket> m_forwardedPackets; // ring, by mark
    uint32_t m_lastMark; // begins at a random number, see Marked
    Time m_lastExpiry;
    std::vector<uint8_t> m_frameBuffer;
};

} // namespace cicadaward::steering
