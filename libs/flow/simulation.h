// Simulated system for the tests of this library: a control instance, entries, agents with targets, callers (clients of
// the service) and a network that loses, duplicates and reorders packets. It runs the agents of this library, or
// baselines, under a seeded schedule of faults and checks them against a model that knows every connection of every
// target.
//
//     SimulationSettings settings;
//     settings.seed = 42;
//     SimulationResult result = Simulation(settings).run();
//     if (result.brokenFlows > 0)
//         report(result.notes);
#pragma once

#include "flow/entry_forwarder.h"
#include "flow/simulation_parts.h"

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <vector>

namespace cicadaward::flow::simulation {

// Kinds of faults. A schedule chooses among them at random.
enum class Fault : uint8_t {
    AgentRestart,
    TargetRestart,
    Drain,
    ControlCut,
    NetworkCut,
    Join,
    DirectoryBurst, // 20 directory changes in a row
    DataCentreOut,
    Reassign, // the endpoint is assigned to an agent of another service
    LossBurst,
};
constexpr size_t faultKinds = 10;

struct SimulationSettings {
    uint64_t seed = 1;
    Policy policy = Policy::Machines;
    size_t agents = 5;
    size_t entries = 3;
    size_t callers = 24;
    uint32_t buckets = 64;
    uint32_t capacity = 24;
    double coldShare = 0.25;
    size_t faultCount = 8;
    std::vector<Fault> allowedFaults; // all kinds when empty
    Duration faultPeriod = std::chrono::seconds(24); // faults start within this time
    Duration faultFreeTime = std::chrono::seconds(26); // at the end; longer than all retries and leases
    Duration tick = std::chrono::milliseconds(100);
    double lossProbability = 0.02;
    double duplicateProbability = 0.02;
    Duration meanConnectionTime = std::chrono::seconds(20);
    double meanThinkSeconds = 1; // mean time between the answer to a segment and the next segment of the caller
    bool trace = false;
};

struct SimulationResult {
    uint64_t brokenFlows = 0; // established flows that were lost although the target had the connection
    uint64_t misdelivered = 0; // packets at the wrong service, target or target incarnation
    uint64_t overAdmitted = 0; // new connections above the number that the target sustained
    uint64_t splitFlows = 0; // flows whose first packet opened connections at two targets
    uint64_t established = 0; // connections
    uint64_t refused = 0; // attempts answered with a reset
    uint64_t endedWithTarget = 0; // flows lost because their target or data centre had ended
    uint64_t speculative = 0; // segments of unknown flows, delivered to targets that may have the connection
    uint64_t extraHops = 0;
    uint64_t deliveries = 0;
    uint64_t directories = 0;
    double imbalance = 0; // maximum over mean of the connections of warm targets at the end
    std::vector<std::string> notes; // a description of each failure, and of each event with `trace`
};

class Simulation {
public:
    explicit Simulation(const SimulationSettings& settings);
    SimulationResult run();

private:
    using Step = std::function<void()>;
    struct Scheduled {
        Time time;
        uint64_t order;
        std::shared_ptr<Step> step;
        bool operator<(const Scheduled& o) const { return time != o.time ? time > o.time : order > o.order; }
    };
    struct Entry {
        MemberId id;
        EntryForwarder forwarder;
    };

    void scheduleAfter(Duration delay, Step step);
    Duration randomDuration(int lowMs, int highMs);
    bool withProbability(double probability) { return m_random.unit() < probability; }
    void addNote(const std::string& text);

    // Network and processes.
    void sendDatagram(const Instance* from, const Endpoint& to, const TunnelHeader& header, Bytes bytes);
    void performActions(Instance& instance, Actions& actions);
    void dispatch(Instance& instance, const AgentEvent& event);
    void tick(size_t index);
    void startAgent(Instance& instance);
    void stopAgent(Instance& instance);
    void startTarget(Instance& instance);
    void addInstance(ServiceId service, Endpoint endpoint);

    // Control.
    void announce(size_t index);
    void publish();
    void sendDirectory(size_t index, Duration delay);
    void pollEntry(size_t index);

    // Callers and targets.
    void callerStep(size_t index, uint64_t timer);
    void sendFromCaller(Caller& caller, TcpFlags flags, const std::string& payload);
    void receiveAtCaller(const std::vector<uint8_t>& bytes);
    void connect(Caller& caller);
    void callerReset(Caller& caller);
    void schedule(Caller& caller, Duration delay);
    void deliver(Instance& instance, const DeliverPacket& delivery);
    void openConnection(Instance& instance, const IpPacket& packet);
    void answer(Instance& instance, const FlowKey& key, TcpFlags flags, uint32_t sequence, uint32_t acknowledgement);
    Instance* holderOf(uint32_t attempt);

    void inject(Fault fault);
    void endFaults();
    void finishResult();

    SimulationSettings m_settings;
    SimulationResult m_result;
    ManualClock m_clock;
    Random m_random;
    std::priority_queue<Scheduled> m_queue;
    uint64_t m_order = 0;
    Time m_start;
    bool m_faultsEnded = false;
    double m_lossProbability;

    std::vector<std::unique_ptr<Instance>> m_instances;
    std::map<uint32_t, size_t> m_instanceByAddress; // endpoint address to the index of the instance that has it now
    std::vector<Entry> m_entries;
    std::vector<Caller> m_callers;
    std::map<FlowKey, size_t> m_callerByKey;
    std::map<uint32_t, std::pair<size_t, uint64_t>> m_holders; // attempt to instance index and target incarnation
    std::shared_ptr<const Directory> m_directory;
    std::set<uint32_t> m_abandoned; // attempts whose data centre was out during their connection
    uint16_t m_dataCentreOut = 0;
    uint32_t m_nextAttempt = 1000;
    uint64_t m_nextIncarnation = 1;
    uint32_t m_nextAddress = 0x0a000001;
};

} // namespace cicadaward::flow::simulation
