// Decides what the agent beside a target does with each packet. A deterministic state machine without I/O: it reads
// time only from the given clock. Not thread-safe.
//
//     AgentSteering steering(options, format, clock, observer, output);
//     steering.setState(index, routes, evacuated);
//     steering.onHeartbeat(heartbeat);
//     steering.onFrame(sender, data, size); // from an entry or another agent
//     steering.onTargetPacket(data, size); // sent or bounced by the target
//
// A target bounces, that is returns, a packet of a flow that it does not hold or cannot accept.
//
// Every new flow and every request of the target passes through its agent, whichever entry sent it. The agent therefore
// enforces draining, evacuation and the warm-up budget across all entries, and queues the requests beyond the target's
// slots in the order of RequestQueue. The flow table holds only the flows that this process has seen; the target is the
// authority on which flows it holds. A process that started after its target learns the target's flows from their
// packets; until it has run for twice the idle limit of flows, it denies no flow for certain. An entry names the
// service of a new flow; an agent whose state is newer than that of the entry admits it only if its own routes name the
// service too. A flow is reset because its target has ended only when the target has bounced a packet of it after
// another start was announced, or by resetEnded() when a record shows that it was open before the present start was
// born. A reset with which the target answers a packet of a flow that this process does not know is a denial: it does
// not reach the caller, whose flow may be open at another target.
//
// Memory: about 180 bytes for each of at most `maxFlows` flows, about 100 bytes for each of `forwardedPacketSlots`
// frame heads, TriedFlows, the RequestQueue, and the CostModel.
#pragma once

#include "core/clock.h"
#include "steering/decisions.h"
#include "steering/ended_flows.h"
#include "steering/flow_admission.h"
#include "steering/flow_reporter.h"
#include "steering/frame.h"
#include "steering/offer_walk.h"
#include "steering/outlier_detector.h"
#include "steering/request_gate.h"
#include "steering/target_flows.h"
#include "steering/target_registration.h"
#include "steering/tried_flows.h"

#include <set>
#include <string>
#include <vector>

namespace cicadaward::steering {

// What the load of a target is compared by when a new flow goes to one of two members.
enum class PlacementBy : uint8_t {
    Auto, // Work while the configuration has a route with bulk requests, else Requests
    Requests, // the number of requests
    Work, // the time that the requests are expected to take, see CostModel
};

// None when `name` is not one of "auto", "requests" and "work".
std::optional<PlacementBy> placementNamed(const std::string& name);

struct AgentOptions {
    Endpoint self; // address at which this agent receives frames
    std::string dataCentre;
    uint64_t incarnation = 0; // larger after a restart of this process
    size_t maxFlows = 16384;
    size_t forwardedPacketSlots = 1024; // latest forwarded packets whose frames are kept in case they are bounced
    Duration heartbeatTimeout = std::chrono::milliseconds(4800); // four heartbeat intervals
    Duration closedRetention = std::chrono::seconds(4); // for flows that are closed or were never answered
    FlowAdmissionOptions admission;
    RequestQueueOptions queue;
    OutlierOptions outlier;
    PlacementBy placementBy = PlacementBy::Auto;
};

class AgentOutput {
public:
    virtual ~AgentOutput() = default;
    virtual void sendFrame(Endpoint to, const std::vector<uint8_t>& frame) = 0;
    virtual void sendToTarget(const uint8_t* packet, size_t size) = 0;
    virtual void sendToCaller(const FlowId&, const uint8_t* packet, size_t size) = 0;
    // An entry has a newer state than this process, which should request it.
    virtual void newerStateSeen(StateIndex) { }
};

struct AgentExplanation;
struct PlacementQuestion;

class AgentSteering {
public:
    AgentSteering(AgentOptions, const PacketFormat&, const Clock&, DecisionObserver&, AgentOutput&);

    void setState(StateIndex, RouteTable, std::set<std::string> evacuated);
    // A heartbeat of a service that the configuration in force does not name is kept until a configuration names it.
    // All are kept before the first state.
    HeartbeatResult onHeartbeat(const Heartbeat&);
    bool onDeparture(const std::string& id);
    // `data` is changed in place: a packet that is forwarded to the target is given a mark.
    void onFrame(Endpoint sender, uint8_t* data, size_t size);
    void onTargetPacket(uint8_t* data, size_t size);
    // Call at least every 100 ms.
    void onTick();

    // The member record to announce to other processes. Its sequence increases with each change.
    const MemberRecord& record();
    // Call when the members' register contains this agent with `incarnation` and `targetStart`. New flows are refused
    // until the current start of the target is registered, because entries treat the register as the list of all
    // targets that may hold a flow.
    void onRegistered(uint64_t incarnation, uint64_t targetStartSequence);
    bool isAwaitingRegistration() const { return m_registration.state() == TargetState::Ready && !isRegistered(); }
    bool isRegistered() const { return m_registeredStart != 0 && m_registeredStart == m_record.targetStartSequence; }
    // Call when another process has a record of this agent with `incarnation`. The record of this process must
    // supersede it. Incarnations come from a clock that may have been set back before this process started.
    void raiseIncarnationAbove(uint64_t incarnation);
    const TargetRegistration& registration() const { return m_registration; }
    // Expected work of the target per slot, in hundredths of a request: RequestGate::load(), unanswered SYNs, a tenth
    // of a request for each open flow, since open flows will carry further requests, and one for each slot and recent
    // failure, since failed requests free their slots without being served.
    uint16_t load() const;
    // What this agent would do with the SYN of a new flow. `service` (0: that of the target) and `offeredBy` are
    // those that the entry would name. Defined in placement_explanation.cc.
    AgentExplanation explain(const PlacementQuestion&, ServiceKey service, StateIndex offeredBy) const;
    // Expected time until a further request of the route would be answered, in units of 100 microseconds:
    // RequestGate::expectedWait(), the mean cost of a request of the route, and the mean cost of a request for each
    // recent failure. Saturates at 6.55 s.
    uint16_t loadAsTime(Endpoint route) const;
    // Expected time until a further request would start.
    Duration expectedWait() const;
    // True when loads are compared as times.
    bool isPlacingByWork() const { return m_isByWork; }
    const CostModel& costs() const { return m_requests.costs(); }
    // The longest limit for an answer that is in force for a route of the target.
    std::optional<Duration> answerLimit() const;
    // Offers whose two loads were compared here, and those that were accepted without a comparison because the other
    // member's load is in another unit.
    uint64_t comparedOffers() const { return m_comparedOffers; }
    uint64_t incomparableOffers() const { return m_incomparableOffers; }
    size_t flowCount() const { return m_flows.size(); }
    const OutlierDetector& outliers() const { return m_outliers; }
    size_t waitingRequests() const { return m_requests.queuedCount(); }

    // The present start of the target; nothing while another one is claimed or its time of birth is not plausible.
    // Before the first state, the only start whose heartbeats have arrived: its service does not matter for its
    // identity.
    std::optional<TargetStart> targetStart() const;
    // The flows that the present start holds and that were opened at least `minAge` ago.
    std::vector<OpenFlow> openFlows(Duration minAge);
    bool knowsFlow(const FlowId& flow) { return m_flows.find(flow) != nullptr; }
    // Resets a flow of an earlier start, unless the present one may hold a flow between the same ends. Requires that
    // targetStart() has a value. Returns whether a reset was sent.
    bool resetEnded(const EndedFlow&);
    Duration flowIdleLimit() const { return m_routes.flowIdleLimit(); }
    // True when a flow has recently carried a further request that must not be repeated. Such a request does not
    // survive the discovery that its flow has ended; other callers open a flow for each request, or repeat it.
    bool hasReusedUnsafeFlows() const;

private:
    // A packet that was forwarded to the target. The mark alone does not identify it: a packet that the target bounces
    // late may carry the mark of an earlier process of this agent.
    struct ForwardedPacket {
        uint32_t mark = 0;
        FlowId flow;
        Frame frame;
    };

    // A heartbeat of a service that the configuration in force does not name.
    struct UnnamedHeartbeat {
        Heartbeat heartbeat;
        HeartbeatArrival arrival;
    };

    const char* refusalReason(const FlowId&) const;
    OfferVerdict judgeOffer(const FlowId&, ServiceKey, StateIndex offeredBy) const;
    uint16_t placementLoad(const FlowId& flow) const { return m_isByWork ? loadAsTime(flow.service) : load(); }
    std::optional<Duration> answerLimitOf(Endpoint route) const;
    void onOffer(Frame&, const FlowPacket&, uint8_t* data, size_t size);
    bool isOutdated(const FlowId&, ServiceKey, StateIndex offeredBy) const;
    ServiceKey ownService() const;
    void denyOutdated(Frame&, const FlowPacket&, const uint8_t* data, size_t size);
    bool handleCopy(TargetFlow& known, const Frame&, const FlowPacket&, uint8_t* data, size_t size);
    void accept(Frame&, const FlowPacket&, uint16_t ownLoad, uint8_t* data, size_t size);
    void offerBeside(TargetFlow& known, Frame&, const FlowPacket&, uint8_t* data, size_t size);
    TargetFlow* replaceByOther(const FlowId&, TargetFlow& known);
    void onDelivery(Frame&, const FlowPacket&, uint8_t* data, size_t size);
    void onOtherFlow(const TargetFlow& known, Frame&, const FlowPacket&, uint8_t* data, size_t size);
    bool isKnownAbsent() const;
    bool hasLearntFlows() const;
    void onUnknownFlow(Frame&, const FlowPacket&, uint8_t* data, size_t size);
    void fanOut(const Frame&, const uint8_t* data, size_t size);
    void onKnownFlow(TargetFlow&, Frame&, const FlowPacket&, uint8_t* data, size_t size);
    void forwardQueuedRequests();
    void passOn(Frame&, const FlowPacket&, const char* reason, const uint8_t* data, size_t size);
    void forwardToTarget(const Frame&, const FlowId&, uint8_t* data, size_t size);
    // The first step of forwardToTarget(): returns the mark of the packet, whose frame is kept in case it is bounced.
    uint32_t recordForwarded(const Frame&, const FlowId&);
    // The second step. The target may answer before this returns, and the flow may be erased then.
    void sendToTarget(uint32_t mark, uint8_t* data, size_t size);
    void forwardToTarget(QueuedRequest&);
    void onCallerClosed(TargetFlow&, const FlowPacket&);
    void onTargetClosed(const FlowPacket&, TargetFlow&);
    void onBounced(const FlowPacket&, uint8_t* data, size_t size);
    void passOnBounced(const FlowPacket&, uint8_t* data, size_t size);
    bool denyTried(const FlowPacket& reset);
    bool canTargetHold(const FlowId&) const;
    RequestPolicy requestPolicyOf(const FlowId&) const;
    void recordResult(const FlowPacket&, TargetFlow&);
    void recordUnsafeReuse(const FlowId&, const TargetFlow&);
    void detectUnanswered();
    void sendLocated(const FlowId&, TargetFlow&);
    void eraseFlow(const FlowId&);
    bool isNamed(const Heartbeat&) const;
    void keepUnnamed(const Heartbeat&);
    void takeNamed();
    HeartbeatResult takeHeartbeat(const Heartbeat&, HeartbeatArrival);
    void onNewStart(bool hadTarget);
    static bool isHeldDespiteBounce(const TargetFlow&, const FlowPacket&);
    bool hasTargetLost(const TargetFlow&, const FlowPacket&) const;
    void onFlowLost(TargetFlow&, const FlowPacket&);
    bool mayBeHeld(const TargetFlow&, const EndedFlow&) const;
    void expire();

    const AgentOptions m_options;
    const PacketFormat& m_format;
    const Clock& m_clock;
    DecisionObserver& m_observer;
    AgentOutput& m_output;
    StateIndex m_state; // 0: none yet
    RouteTable m_routes;
    bool m_hasState = false;
    std::set<std::string> m_evacuatedDataCentres;
    TargetRegistration m_registration;
    std::vector<UnnamedHeartbeat> m_unnamedHeartbeats; // the newest of each start, at most maxUnnamedHeartbeats
    FlowAdmission m_admission;
    MemberRecord m_record;
    uint64_t m_registeredStart = 0;
    bool m_hasUnannouncedStart = false; // m_record does not contain the current start of the target yet
    bool m_hasUntrackedFlows = false; // m_flows was full and may lack flows of the target's current start
    RequestGate m_requests;
    bool m_isByWork = false; // the setting and the routes in force ask for PlacementBy::Work
    uint64_t m_comparedOffers = 0;
    uint64_t m_incomparableOffers = 0;
    OutlierDetector m_outliers;
    Time m_lastTick;
    Duration m_observed {}; // time in which this process ran beside a target that sent heartbeats
    Time m_pausedUntil; // until then unanswered requests and SYNs may be due to a pause of this process
    TargetFlows m_flows;
    TriedFlows m_tried;
    std::vector<ForwardedPacket> m_forwardedPackets; // ring buffer, indexed by mark modulo its size
    uint32_t m_lastMark; // starts at a value that differs between processes, see ForwardedPacket
    std::optional<Time> m_unsafeReuse; // see hasReusedUnsafeFlows()
    Time m_lastExpiry;
    std::vector<uint8_t> m_frameBuffer;
};

} // namespace cicadaward::steering
