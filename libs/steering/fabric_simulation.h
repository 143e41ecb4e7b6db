// Deterministic simulation of entries and agents on a datagram network, driven by a seed. Packets are lost, delayed and
// distributed over entries; entries and agents restart without memory; targets drain, depart and are replaced; routes
// change between services; all processes lose power at once. A simple reference model records which target holds each
// flow, and run() reports the first deviation from it. The initial sequence numbers of callers are random. States are
// numbered, and processes have states of different ages.
//
// With `portReuse`, callers end their flows by a FIN, a reset or not at all, and open others from the same ports 0.05 s
// to 10 s later; copies of their packets arrive up to 2 s late. A target that still holds the earlier flow takes the
// later one in its place, bounces its SYN or does not answer it.
//
// With `processFaults`, processes are also killed, frozen, slowed and added, entries are restarted in turn, the targets
// of a service are replaced one after the other, and targets bounce packets late or not at all. These faults overlap.
// With `targetFaults`, targets reset flows that send a request, or do not answer, while their heartbeats are good.
// With `heartbeatFaults`, heartbeats of other writers arrive, late ones of any start, and, when a frozen agent is
// thawed, all that were sent to it meanwhile.
#pragma once

#include "core/random.h"
#include "steering/test_fabric.h"

#include <array>
#include <deque>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <string>

namespace cicadaward::steering {

inline const std::array<ServiceKey, 3> fabricServices { serviceKey("hub"), serviceKey("catalogue"),
    serviceKey("archive") };

inline const std::array<Endpoint, 2> fabricAddresses { Endpoint { 0xC6120001, 443 }, Endpoint { 0xC6120002, 443 } };

struct FabricOptions {
    size_t entries = 3;
    std::array<size_t, 3> targets { 3, 2, 2 }; // of each service
    bool processFaults = false;
    bool targetFaults = false;
    bool heartbeatFaults = false;
    bool portReuse = false;
    double linkMbps = 0; // of each entry; above 0, routes have bulk requests most of the time
    uint64_t stepsPerFault = 60; // mean number of simulation steps between faults
};

struct FabricPacket {
    Time due;
    uint64_t order;
    size_t to; // index of the process: entries first, then agents
    bool isFromTarget; // packet of an agent's own target; otherwise a frame
    Endpoint from;
    std::vector<uint8_t> bytes;
    bool operator<(const FabricPacket& other) const { return std::tie(other.due, other.order) < std::tie(due, order); }
};

class Fabric {
public:
    explicit Fabric(uint64_t seed, FabricOptions = {});

    // Simulates 7.5 s. Returns the first violation, or an empty string.
    std::string run();
    size_t opened() const { return m_opened; }
    size_t delivered() const { return m_delivered; }
    size_t requestsQueued() const { return m_requestsQueued; }
    size_t lost() const { return m_lost; }
    size_t lostAndReset() const { return m_lostAndReset; }
    size_t resetByTargets() const { return m_resetByTargets; }
    size_t passedOnAsEjected() const { return m_passedOnAsEjected; }
    size_t reopened() const { return m_reopened; }
    size_t takenInPlace() const { return m_takenInPlace; }
    size_t refusedAsBulk() const { return m_refusedAsBulk; }

private:
    // A flow at a target.
    struct HeldFlow {
        uint32_t callerIsn = 0;
        uint32_t targetIsn = 0;
        uint32_t answerEnd = 0; // sequence number after the newest answer
        uint32_t expected = 0; // sequence number after the caller's newest data
        uint64_t agentIncarnation = 0; // of the agent that forwarded the SYN
        bool isChosen = false; // the caller has chosen this target
        bool hasClosed = false; // the target has sent a FIN
    };
    // The last flow between two ends that both ends have closed at a target.
    struct EndedFlow {
        uint32_t callerIsn = 0;
        Time ended;
    };
    struct Target {
        ServiceKey service;
        uint64_t startTimeMs = 0;
        uint64_t sequence = 0; // of the next heartbeat
        bool draining = false;
        std::map<uint16_t, HeldFlow> flows; // by the caller's port
        // By the caller's port. Without those that the agent may not know: it has started later, or the target has
        // bounced a packet between the same ends since.
        std::map<uint16_t, EndedFlow> endedFlows;
        // Caller's port and initial sequence number of each SYN that the present agent has given to the target. Its
        // copies need no other admission.
        std::set<std::pair<uint16_t, uint32_t>> admittedSyns;
        Time slowUntil; // until then the target bounces packets late or not at all
        Time failingUntil; // until then the target resets flows with a request, or does not answer
        bool isHanging = false; // while it fails, the target does not answer
    };
    // Current faults of the process of an entry or agent.
    struct Fault {
        Time downUntil; // while down, packets are dropped; the process then starts without memory
        Time frozenUntil; // until then, packets are delayed
        bool down = false;
    };
    // A flow at its caller.
    struct Flow {
        FlowId id;
        uint32_t callerIsn = 0;
        size_t target = SIZE_MAX; // index of the target that holds the flow; SIZE_MAX: none yet
        int undeliveredInRow = 0; // consecutive packets that did not reach the target
        int misdelivered = 0; // of these, packets that reached another target while the flow's own agent had no fault
        Time misdeliveredSince;
        bool isCountedMisdelivered = false; // the newest packet is counted in `misdelivered`
        Time nextPacket;
        bool isReset = false;
        bool hasEnded = false; // the caller has ended it
        std::optional<Time> endsAt; // the caller ends it then
        std::optional<Time> reopensAt; // the caller opens another flow from the same port then
        bool lost = false; // its target has ended, and the caller has not been told
        bool isUnknownToAgent = false; // the target has sent nothing on it since its agent restarted
        bool hasOpenRequest = false; // a request has no answer yet
        uint32_t sequence = 0; // sequence number of the next data
        uint32_t acknowledged = 0;
        uint8_t synRetransmits = 0;

        bool isOver() const { return isReset || hasEnded; }
    };
    // An answer that a target is about to send.
    struct Answer {
        FlowId flow;
        size_t target;
        uint32_t callerIsn;
    };
    // A replicated state. Evacuations are not part of it, because the simulation gives them to agents at once.
    struct State {
        StateIndex index;
        RouteTable routes;
    };
    // Answer of the control leader to an entry: the state at the time of the request.
    struct Confirmation {
        Time requestedAt;
        Time due;
        State state;
        std::map<Endpoint, MemberRecord> members;
    };
    struct EntryNode final : EntryOutput, DecisionObserver {
        EntryNode(Fabric& owner, size_t position)
            : fabric(owner)
            , index(position)
        {
            start();
        }
        void start()
        {
            EntryOptions options;
            options.self = fabric.endpoint(index);
            options.bulk.linkMbps = fabric.m_options.linkMbps;
            steering = std::make_unique<EntrySteering>(options, fabric.m_format, fabric.m_clock,
                static_cast<DecisionObserver&>(*this), static_cast<EntryOutput&>(*this));
        }
        void sendFrame(Endpoint agent, const std::vector<uint8_t>& frame) override { fabric.send(index, agent, frame); }
        void sendToCaller(const FlowId& flow, const std::vector<uint8_t>& packet) override
        {
            fabric.onPacketAtCaller(flow, packet, SIZE_MAX);
        }
        void confirmMembers() override { fabric.requestConfirmation(index); }
        void newerStateSeen(StateIndex) override { fabric.requestState(index); }
        void onDecision(Decision decision, const FlowId&, const DecisionInputs& inputs) override
        {
            bool isBulk = std::strncmp(inputs.reason, "bulk transfers", 14) == 0;
            fabric.m_refusedAsBulk += decision == Decision::Refused && isBulk ? 1 : 0;
        }
        void onLatency(Latency, Duration) override { }
        Fabric& fabric;
        size_t index;
        std::unique_ptr<EntrySteering> steering;
    };
    struct AgentNode final : AgentOutput, DecisionObserver {
        AgentNode(Fabric& owner, size_t position)
            : fabric(owner)
            , index(position)
        {
            start();
        }
        void start()
        {
            AgentOptions options;
            options.self = fabric.endpoint(fabric.m_options.entries + index);
            options.dataCentre = "dc-" + std::to_string(index % 3);
            options.incarnation = ++incarnation;
            steering = std::make_unique<AgentSteering>(options, fabric.m_format, fabric.m_clock,
                static_cast<DecisionObserver&>(*this), static_cast<AgentOutput&>(*this));
        }
        void sendFrame(Endpoint to, const std::vector<uint8_t>& frame) override
        {
            fabric.send(fabric.m_options.entries + index, to, frame);
        }
        void sendToTarget(const uint8_t* packet, size_t size) override
        {
            fabric.onPacketAtTarget(index, { packet, packet + size });
        }
        void sendToCaller(const FlowId& flow, const uint8_t* packet, size_t size) override
        {
            fabric.onPacketAtCaller(flow, { packet, packet + size }, index);
        }
        void newerStateSeen(StateIndex) override { fabric.requestState(fabric.m_options.entries + index); }
        void onDecision(Decision decision, const FlowId& flow, const DecisionInputs& inputs) override
        {
            if (decision == Decision::Waiting)
                fabric.recordQueuedRequest(index, flow.caller.port);
            fabric.m_passedOnAsEjected += std::strcmp(inputs.reason, "target is ejected") == 0 ? 1 : 0;
        }
        void onLatency(Latency, Duration) override { }
        Fabric& fabric;
        size_t index;
        uint64_t incarnation = 0;
        State state; // of this agent; after a restart it may be older than those of others
        std::unique_ptr<AgentSteering> steering;
    };

    Endpoint endpoint(size_t index) const { return { 0x0A000000 + static_cast<uint32_t>(index), 8172 }; }

    size_t agentCount() const { return m_targets.size(); }
    Fault& agentFault(size_t index) { return m_faults[m_options.entries + index]; }
    bool isWorking(const Fault& fault) const { return !fault.down && fault.frozenUntil <= m_clock.now(); }

    void send(size_t from, Endpoint to, std::vector<uint8_t> bytes);
    void deliver();
    void deliver(FabricPacket&);
    void tick();
    void sendFromCaller(const FlowPacket& packet);
    void sendFromCaller(const std::vector<uint8_t>& bytes);
    void sendLateCopies();
    FlowPacket callerPacket(const Flow&, uint16_t length) const;
    FlowPacket callerSyn(const Flow&) const;
    void openFlow();
    void startFlow(uint16_t port, Endpoint service);
    void end(Flow&);
    void reopen(Flow&);
    // Callers retransmit a SYN twice. Once it is answered, they send data at intervals.
    void sendCallerPackets();
    void onPacketAtCaller(const FlowId& id, const std::vector<uint8_t>& bytes, size_t index);
    void onSynAckAtCaller(size_t index, const FlowPacket&, Flow&);
    void onPacketAtTarget(size_t index, std::vector<uint8_t> bytes);
    void onSynAtTarget(size_t index, const FlowPacket&, const Flow&);
    void takeFlow(size_t index, const FlowPacket& syn);
    void onOwnPacketAtTarget(size_t index, const FlowPacket&, Flow&);
    void onEndAtTarget(size_t index, const FlowPacket&);
    static bool isOf(const FlowPacket&, uint32_t callerIsn);
    bool isOpenAt(size_t index, const Flow&) const;
    void recordQueuedRequest(size_t index, uint16_t port);
    void recordMisdelivery(uint16_t port, Flow&);
    void sendDueAnswers();
    void sendFromTarget(size_t index, const FlowPacket& packet);
    void bounce(size_t index, FlowPacket packet);
    bool mayOpen(size_t index, const FlowId& flow) const;
    bool mayHaveService(size_t index, const FlowId& flow) const;
    void changeRoutes();
    const State& newestState() const { return m_states.back(); }
    void addState(RouteTable);
    void giveState(EntryNode&);
    void giveState(AgentNode&);
    void requestState(size_t process);
    void deliverRequestedStates();
    // Sends the newest state to the processes. Each receives it at a different time unless `all` is set.
    // Agents receive evacuations at once, since the reference model allows no delay for them.
    void distributeState(bool all);
    // Simulates the members' register. A start is added some time after it was announced and removed after the target
    // has departed. Agents learn of their registration later.
    void updateRegister();
    void requestConfirmation(size_t entry);
    // Delivers the leader's answers that are due: the newest state and all registered members at the time of the
    // request.
    void deliverConfirmations();
    void announceMembers();
    void announce(AgentNode&, EntryNode&);
    void sendHeartbeat(size_t index);
    void injectFault();
    // Injects one of the faults that FabricOptions::processFaults enables.
    void injectProcessFault();
    // Lets a few targets fail, or sometimes all of a service.
    void injectTargetFault();
    void injectHeartbeatFault();
    Heartbeat foreignHeartbeat(size_t index);
    Heartbeat lateHeartbeat(size_t index);
    void giveHeartbeat(size_t index, const Heartbeat&);
    void giveHeldHeartbeats();
    void onRequestAtTarget(size_t index, Flow&);
    void kill(size_t process, Duration);
    void freeze(size_t process, Duration);
    void endFaults();
    void replaceNext();
    void startEntry(size_t index);
    void startTarget(size_t index);
    void restartTarget(size_t index);
    void restartAgent(size_t index);
    void simulatePowerLoss();

    const FabricOptions m_options;
    Random m_random;
    ManualClock m_clock;
    FakePacketFormat m_format;
    std::vector<std::unique_ptr<EntryNode>> m_entries;
    std::vector<std::unique_ptr<AgentNode>> m_agents;
    std::vector<Target> m_targets;
    std::vector<Fault> m_faults; // by index of the process
    std::vector<std::deque<Heartbeat>> m_sentHeartbeats; // by agent: the newest ones of its targets
    std::vector<std::deque<Heartbeat>> m_heldHeartbeats; // by agent: those that a frozen agent has not read yet
    std::vector<size_t> m_toReplace; // targets still to be replaced, the next one last
    std::vector<size_t> m_toRestart; // entries still to be restarted, the next one last
    std::map<uint16_t, Flow> m_flows;
    std::multimap<Time, Answer> m_answers; // by the time at which the target answers
    std::multimap<Time, std::vector<uint8_t>> m_lateCopies; // of callers' packets, by the time at which they arrive
    std::priority_queue<FabricPacket> m_network;
    uint64_t m_order = 0;
    uint16_t m_lastPort = 0;
    std::vector<State> m_states; // all, the newest one last
    std::map<size_t, Time> m_stateRequests; // of processes that are behind: the time of the answer
    std::set<std::string> m_evacuated;
    std::map<Endpoint, MemberRecord> m_register; // by agent
    std::map<size_t, Confirmation> m_confirmations; // by entry
    uint64_t m_registerSteps; // mean number of steps until a new start is registered
    size_t m_requestsQueued = 0; // requests that were queued at an agent
    size_t m_lost = 0; // flows whose target ended while they were open
    size_t m_lostAndReset = 0; // lost flows that were reset before the caller gave up
    size_t m_resetByTargets = 0; // flows that a failing target reset
    size_t m_passedOnAsEjected = 0; // times that an agent passed a flow on because its target was ejected
    size_t m_refusedAsBulk = 0; // SYNs that an entry refused because of its link
    size_t m_reopened = 0; // flows that callers opened from ports used before
    size_t m_takenInPlace = 0; // flows that a target took in place of an earlier one
    size_t m_opened = 0;
    size_t m_delivered = 0;
    std::string m_violation;
};

} // namespace cicadaward::steering
