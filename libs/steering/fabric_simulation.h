// Entries and agents on a simulated fabric, driven by a seed: packets are lost, delayed and spread over entries;
// entries and agents restart empty; targets drain, depart and are replaced; routes move between services; all processes
// lose power at once. A slow, obvious model says which target holds each flow.
#pragma once

#include "core/random.h"
#include "steering/test_fabric.h"

#include <map>
#include <memory>
#include <queue>
#include <set>
#include <string>

namespace cicadaward::steering {

constexpr size_t entryCount = 3;
constexpr size_t agentCount = 7;

struct FabricPacket {
    Time due;
    uint64_t order;
    size_t to; // entry 0.., agent entryCount.., target entryCount + agentCount..
    Endpoint from;
    std::vector<uint8_t> bytes;
    bool operator<(const FabricPacket& other) const { return std::tie(other.due, other.order) < std::tie(due, order); }
};

class Fabric {
public:
    explicit Fabric(uint64_t seed);

    // Plays 7.5 s. Returns the first violation, or nothing.
    std::string run();
    size_t opened() const { return m_opened; }
    size_t delivered() const { return m_delivered; }
    size_t waited() const { return m_waited; }
    size_t lost() const { return m_lost; }
    size_t ended() const { return m_ended; }

private:
    struct Target {
        ServiceKey service;
        uint64_t born = 1;
        uint64_t sequence = 0;
        bool draining = false;
        std::map<uint16_t, bool> flows; // by the caller's port; true: open
    };
    struct Flow {
        FlowId id;
        size_t target = SIZE_MAX; // that holds it
        int tries = 0; // packets in a row that did not reach the target
        Time nextPacket;
        bool reset = false;
        bool lost = false; // its target has ended; the caller does not know
        bool asked = false; // a request has no answer yet
        uint32_t sequence = 1; // of the next data
        uint8_t copies = 0;
    };
    // What the leader confirms: the state at the time of the question.
    struct Confirmation {
        Time asked;
        Time due;
        RouteTable routes;
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
            steering = std::make_unique<EntrySteering>(options, fabric.m_format, fabric.m_clock,
                static_cast<DecisionObserver&>(*this), static_cast<EntryOutput&>(*this));
        }
        void sendFrame(Endpoint agent, const std::vector<uint8_t>& frame) override { fabric.send(index, agent, frame); }
        void sendToCaller(const FlowId& flow, const std::vector<uint8_t>& packet) override
        {
            fabric.atCaller(flow, packet, SIZE_MAX);
        }
        void confirmMembers() override { fabric.askForConfirmation(index); }
        void decided(Decision, const FlowId&, const DecisionInputs&) override { }
        void took(Latency, Duration) override { }
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
            options.self = fabric.endpoint(entryCount + index);
            options.dataCentre = "dc-" + std::to_string(index % 3);
            options.incarnation = ++incarnation;
            steering = std::make_unique<AgentSteering>(options, fabric.m_format, fabric.m_clock,
                static_cast<DecisionObserver&>(*this), static_cast<AgentOutput&>(*this));
        }
        void sendFrame(Endpoint to, const std::vector<uint8_t>& frame) override
        {
            fabric.send(entryCount + index, to, frame);
        }
        void sendToTarget(const uint8_t* packet, size_t size) override
        {
            fabric.atTarget(index, { packet, packet + size });
        }
        void sendToCaller(const FlowId& flow, const uint8_t* packet, size_t size) override
        {
            fabric.atCaller(flow, { packet, packet + size }, index);
        }
        void decided(Decision decision, const FlowId&, const DecisionInputs&) override
        {
            fabric.m_waited += decision == Decision::Waiting ? 1 : 0;
        }
        void took(Latency, Duration) override { }
        Fabric& fabric;
        size_t index;
        uint64_t incarnation = 0;
        RouteTable routes; // known to it; a restart may bring an older state than others have
        std::unique_ptr<AgentSteering> steering;
    };

    Endpoint endpoint(size_t index) const { return { 0x0A000000 + static_cast<uint32_t>(index), 8172 }; }

    void send(size_t from, Endpoint to, std::vector<uint8_t> bytes);
    void deliver();
    void fromCaller(const FlowPacket& packet);
    void openFlow();
    // Callers repeat a SYN twice and then send data at intervals.
    void talk();
    void atTarget(size_t index, std::vector<uint8_t> bytes);
    void answer();
    void fromTarget(size_t index, const FlowPacket& packet);
    void atCaller(const FlowId& id, const std::vector<uint8_t>& bytes, size_t index);
    bool mayOpen(size_t index, const FlowId& flow) const;
    void applyRoutes();
    // Processes hear of new routes at different moments. Evacuations reach the agents at once, since the model allows
    // no time for them.
    void shareState(bool all);
    // The members' register: a target's start enters it some time after its announcement and leaves it after its
    // departure, and agents hear of it later still.
    void tendRegister();
    void askForConfirmation(size_t entry);
    // The leader's answer brings the newest state and all registered members at the time of the question.
    void confirm();
    void shareRecords();
    void beat(size_t index);
    void disturb();
    void loseTarget(size_t index);
    void restartAgent(size_t index);
    void losePower();

    Random m_random;
    ManualClock m_clock;
    FakeFormat m_format;
    std::vector<std::unique_ptr<EntryNode>> m_entries;
    std::vector<std::unique_ptr<AgentNode>> m_agents;
    std::vector<Target> m_targets;
    std::map<uint16_t, Flow> m_flows;
    std::multimap<Time, FlowId> m_answers; // by the time when the target has done the work
    std::priority_queue<FabricPacket> m_network;
    uint64_t m_order = 0;
    uint16_t m_lastPort = 0;
    RouteTable m_routes;
    std::set<std::string> m_out;
    std::map<Endpoint, MemberRecord> m_register; // by agent
    std::map<size_t, Confirmation> m_confirmations; // by entry
    uint64_t m_registerSteps; // mean time until a new start is registered, in steps
    size_t m_waited = 0; // requests
    size_t m_lost = 0; // flows open at a target that ended
    size_t m_ended = 0; // of these: reset before the caller gave up
    size_t m_opened = 0;
    size_t m_delivered = 0;
    std::string m_violation;
};

} // namespace cicadaward::steering
