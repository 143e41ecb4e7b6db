// Deterministic simulation of one service whose targets fail while their heartbeats report them as ready: an entry and
// the agents of all targets, without a network between them, driven by a seed.
//
// Callers send orders, each on a flow of its own, and keep feeds open on which they read at intervals. An order that
// was sent on an open flow may have run and is not repeated: it is lost when the flow is reset or no answer comes
// within its timeout. Reads are idempotent; a feed whose read fails opens a new flow.
//
//     FaultOutcome outcome = TargetFaultSimulation(workload, seed).run();
#pragma once

#include "core/random.h"
#include "steering/test_fabric.h"

#include <map>
#include <memory>
#include <queue>
#include <vector>

namespace cicadaward::steering {

enum class FaultKind : uint8_t {
    None,
    ResetAll, // the target resets each flow that sends a request
    ResetSome, // the same for `faultShare` of the requests
    HangSome, // the target does not answer `faultShare` of the requests, and they keep their slots
    Hang, // the target does not answer
    Flap, // the target is down for 1.5 s and up for 1.5 s in turn; while down it resets each flow with a request
    Slow, // service times are eight times as long
};

struct FaultWorkload {
    size_t targets = 42;
    size_t failingTargets = 14;
    FaultKind fault = FaultKind::None;
    double faultShare = 0.5; // of the requests, for FaultKind::ResetSome and HangSome
    Duration faultStart = std::chrono::seconds(2);
    Duration faultEnd = std::chrono::seconds(10);
    Duration length = std::chrono::seconds(15);
    double ordersPerSecond = 325;
    size_t feeds = 560;
    Duration feedInterval = std::chrono::milliseconds(500);
    bool isDrained = false; // the failing targets report that they drain, instead of a fault
    bool isDetecting = true; // false: the reference policy, without outlier detection
};

struct FaultOutcome {
    size_t orders = 0;
    size_t ordersAnswered = 0;
    size_t ordersLost = 0; // sent on an open flow and not answered
    size_t ordersNotRun = 0; // refused, or the flow did not open; the caller may try again
    size_t reads = 0;
    size_t readsAnswered = 0;
    size_t ejections = 0;
    size_t ejectedAtEnd = 0; // targets that do not take flows freely at the end
    Duration longestSilence {}; // between two answers after the first second
};

class TargetFaultSimulation {
public:
    TargetFaultSimulation(const FaultWorkload&, uint64_t seed);
    FaultOutcome run();

private:
    struct Request {
        FlowId flow;
        uint32_t sequence = 0;
    };
    struct Target {
        uint64_t heartbeatSequence = 0;
        size_t inService = 0;
        std::queue<Request> waiting;
        std::map<uint16_t, uint32_t> sequences; // by the caller's port: sequence number of the next data
        bool wasEjected = false;
    };
    struct Flow {
        FlowId id;
        bool isFeed = false;
        size_t target = SIZE_MAX; // index of the target that answered the SYN; SIZE_MAX: none
        uint8_t synRetransmissions = 0;
        Time synSent;
        Time nextRead;
        uint32_t sequence = 1; // of the next data of the caller
        uint32_t targetSequence = 0; // initial sequence number of the target
        bool isWaiting = false; // for an answer
        Time requestSent;
    };
    struct Completion {
        Time due;
        uint64_t order;
        size_t target;
        Request request;
        uint16_t answerBytes; // 0: the target does not answer
        bool operator<(const Completion& other) const
        {
            return std::tie(other.due, other.order) < std::tie(due, order);
        }
    };
    struct Frame {
        Endpoint from;
        Endpoint to;
        std::vector<uint8_t> bytes;
    };
    struct EntryNode final : EntryOutput {
        explicit EntryNode(TargetFaultSimulation& owner)
            : simulation(owner)
        {
        }
        void sendFrame(Endpoint agent, const std::vector<uint8_t>& frame) override
        {
            simulation.m_frames.push({ entryEndpoint, agent, frame });
        }
        void sendToCaller(const FlowId& flow, const std::vector<uint8_t>&) override
        {
            simulation.onReset(flow.caller.port, SIZE_MAX);
        }
        void confirmMembers() override { }
        TargetFaultSimulation& simulation;
    };
    struct AgentNode final : AgentOutput {
        AgentNode(TargetFaultSimulation& owner, size_t position);
        void sendFrame(Endpoint to, const std::vector<uint8_t>& frame) override
        {
            simulation.m_frames.push({ endpointOf(index), to, frame });
        }
        void sendToTarget(const uint8_t* packet, size_t) override
        {
            FlowPacket head;
            std::memcpy(&head, packet, sizeof(head));
            simulation.m_toTargets.push({ index, head });
        }
        void sendToCaller(const FlowId&, const uint8_t* packet, size_t) override
        {
            FlowPacket head;
            std::memcpy(&head, packet, sizeof(head));
            simulation.onPacketAtCaller(head, index);
        }
        TargetFaultSimulation& simulation;
        const size_t index;
        AgentSteering steering;
    };

    static Endpoint endpointOf(size_t index) { return testMember(static_cast<uint32_t>(index + 1)).agent; }
    bool isFailing(size_t index) const;
    bool isResetting(size_t index);
    void step();
    void tick();
    void sendHeartbeats();
    void openFlow(bool isFeed);
    void sendSyn(Flow&);
    void sendRequest(Flow&);
    void sendFromCaller(const FlowPacket&);
    void sendDueReads();
    void retransmitSyns();
    void expireRequests();
    void deliver();
    void onPacketAtTarget(size_t index, const FlowPacket&);
    void onPacketAtCaller(const FlowPacket&, size_t index);
    void onReset(uint16_t port, size_t index);
    void onRequestFailed(Flow&);
    void endFlow(uint16_t port);
    void receiveRequest(size_t index, const Request&);
    void startService(size_t index, const Request&);
    void answer(size_t index, const Request&, uint16_t bytes);
    void completeDue();
    void sendFromTarget(size_t index, FlowPacket);

    const FaultWorkload m_workload;
    Random m_random;
    ManualClock m_clock;
    const Time m_start;
    FakePacketFormat m_format;
    CountingObserver m_observer;
    std::unique_ptr<EntryNode> m_entryNode;
    std::unique_ptr<EntrySteering> m_entry;
    std::vector<std::unique_ptr<AgentNode>> m_agents;
    std::vector<Target> m_targets;
    std::map<uint16_t, Flow> m_flows; // by the caller's port
    std::priority_queue<Completion> m_completions;
    std::queue<Frame> m_frames;
    std::queue<std::pair<size_t, FlowPacket>> m_toTargets;
    std::vector<uint16_t> m_feedsToReopen;
    uint64_t m_order = 0;
    uint16_t m_lastPort = 0;
    Time m_lastAnswer;
    FaultOutcome m_outcome;
};

} // namespace cicadaward::steering
