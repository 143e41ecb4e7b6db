// The parts of the simulated system: an instance with agent and target, a caller, and the interface that both the agent
// of this library and the baselines implement.
#pragma once

#include "core/clock.h"
#include "core/random.h"
#include "flow/agent_flows.h"

#include <map>
#include <memory>
#include <string>

namespace cicadaward::flow::simulation {

constexpr uint32_t serviceAddress = 0x0a640001;
constexpr uint32_t otherAddress = 0x0a640002;
constexpr uint16_t servicePort = 7000;

enum class Policy : uint8_t {
    Machines, // the agents of this library
    HashOnly, // rendezvous hashing at the entries; agents deliver each packet that they receive
    PreviousOwner, // HashOnly, but an agent sends segments of unknown flows to the previous owner of the bucket
    RandomPlacement, // owners know the flows of their buckets and place new ones at random
    TwoChoices, // RandomPlacement, but at the less loaded of two members, by load reports that are up to 2 s old
};
const char* policyName(Policy policy);

class SimulatedAgent {
public:
    virtual ~SimulatedAgent() = default;
    virtual void handle(const AgentEvent& event, Actions& actions) = 0;
    virtual const AgentFlows* machine() const { return nullptr; }
};

std::unique_ptr<SimulatedAgent> makeAgent(
    Policy policy, const AgentFlowsSettings& settings, TargetAdmission& admission, const Clock& clock, Random& random);

struct Connection {
    uint32_t attempt = 0; // the caller's initial sequence number, unique in the run
    uint32_t sequence = 0; // the target's initial sequence number, unique in the run
    bool closing = false;
};

// One instance of the simulated system: an agent and its target.
struct Instance {
    MemberId id;
    ServiceId service;
    DataCentreId dataCentre;
    Endpoint endpoint;
    std::unique_ptr<SimulatedAgent> agent; // null while the process is down
    std::unique_ptr<TargetAdmission> admission;
    std::unique_ptr<Random> random;
    uint64_t process = 0;
    bool targetAlive = false;
    uint64_t target = 0; // incarnation
    Time targetStarted;
    std::map<FlowKey, Connection> connections;
    bool draining = false;
    bool removed = false;
    bool cutFromControl = false;
    bool cutFromNetwork = false;
    Time lastFault; // for some time after a fault, a first packet may correctly be placed twice
    Member announcedMember; // the last announcement that control received
    Time lastAnnouncement; // the time of this announcement
    bool hasAnnounced = false;
};

enum class CallerState : uint8_t {
    Idle,
    Connecting,
    Established,
    Closing,
};

struct Caller {
    size_t index = 0;
    FlowKey key;
    CallerState state = CallerState::Idle;
    uint32_t attempt = 0;
    uint32_t expectedSequence = 0; // the target's next sequence number
    int retries = 0; // unanswered segments in a row
    Time waitingSince;
    Time closeAt;
    uint64_t timer = 0; // older timers are ignored
};

} // namespace cicadaward::flow::simulation
