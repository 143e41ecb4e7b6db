// The parts of the simulated system: an instance with agent and target, a caller, and the interface behind which either
// the real agent machine or a baseline runs.
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
    Machines, // the machines of this library
    HashOnly, // rendezvous hashing at the entries, no help from agents
    PreviousOwner, // as before, and an agent sends unknown segments to the bucket's previous owner
    RandomPlacement, // owners know their flows and place new ones at random
    TwoChoices, // as before, on the less loaded of two by load reports 2 s old
};
const char* policyName(Policy policy);

class Node {
public:
    virtual ~Node() = default;
    virtual void handle(const AgentEvent& event, Actions& actions) = 0;
    virtual const AgentFlows* machine() const { return nullptr; }
};

std::unique_ptr<Node> makeNode(
    Policy policy, const AgentFlowsSettings& settings, TargetAdmission& admission, const Clock& clock, Random& random);

struct Connection {
    uint32_t attempt = 0; // the caller's first sequence number, unique in the whole run
    uint32_t sequence = 0; // the target's, unique too
    bool closing = false;
};

// One machine of the system: an agent and its target.
struct Instance {
    MemberId id;
    ServiceId service;
    DataCentreId dataCentre;
    Endpoint endpoint;
    std::unique_ptr<Node> agent; // null while the process is down
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
    Time lastFault; // last fault here; for some seconds, a second placement of a first packet is right
    Member announcedMember; // what control knows of it
    Time lastAnnouncement; // by control
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
    uint64_t timer = 0; // only the newest timer counts
};

} // namespace cicadaward::flow::simulation
