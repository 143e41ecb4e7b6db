// The flow state machine of one agent. It is the owner of some buckets (it places their new flows and knows where their
// flows are open) and the holder of the flows of the local target. A daemon passes it events and performs its actions.
//
//     TargetAdmission admission(clock, limits);
//     AgentFlows flows(settings, admission, clock, random);
//     flows.handle(DirectoryReceived { directory }, actions);
//     flows.handle(ControlContact { sentAt, directory->version }, actions);
//     flows.handle(TargetUp { incarnation }, actions);
//     flows.handle(TunnelReceived { header, packet }, actions); // any tunnel datagram, including peer messages
//     flows.handle(Tick {}, actions); // every 10 to 100 ms
//
// Rules (docs/design.md, section 3):
// - A packet of a flow that is held here is delivered. A packet of a flow that is held elsewhere is forwarded to the
//   holder. The owner of the bucket decides about a packet of an unknown flow, once every member that may hold flows of
//   the bucket has answered the owner's sync request.
// - A member that has answered a sync request at version v no longer places flows of that bucket under a version below
//   v, nor admits flows for an owner below v.
// - If the control quorum has not been reached for the lease time, no flow is placed or admitted; established flows
//   continue. If, in addition, nothing has been received from another data centre for the isolation limit, no packet is
//   forwarded.
// - A packet is delivered only if it belongs to this service and to the current incarnation of the target.
//
// Not thread-safe. `flowTableBytes` bounds the memory, apart from the bounded queue of packets and about 200 bytes for
// each member of the service.
#pragma once

#include "admission/target_admission.h"
#include "core/clock.h"
#include "core/random.h"
#include "flow/actions.h"

#include <memory>
#include <variant>

namespace cicadaward::flow {

struct AgentFlowsSettings {
    MemberId self;
    ServiceId service;
    DataCentreId dataCentre;
    // Memory of the flow table: 43 bytes for each flow that is held, owned or backed up here.
    size_t flowTableBytes = 4 << 20;
    Duration lease = std::chrono::seconds(3);
    Duration isolationTimeout = std::chrono::seconds(5);
    // Flows of a member that is absent from the directory may still be open. For this time, segments of unknown flows
    // are dropped instead of answered with a reset, so that the callers of a member that lost its connection to the
    // others keep their connections until it returns. It also applies after the start of this process, which does not
    // know which members were present before, and for as long after its start an agent may hold flows that no other
    // agent knows.
    Duration absentMemberTimeout = std::chrono::seconds(60);
    // Longer than an 8-hour shift, so that a feed (a long-lived connection) that is silent for a shift stays open.
    Duration idleTimeout = std::chrono::hours(9);
    Duration handshakeTimeout = std::chrono::seconds(60); // for a flow whose caller has sent only the first packet
    Duration closedFlowLinger = std::chrono::seconds(2); // a closed flow still delivers late segments
    Duration udpIdleTimeout = std::chrono::minutes(5);
};

// An authenticated tunnel datagram. `bytes` is the payload behind the header.
struct TunnelReceived {
    TunnelHeader header;
    Bytes bytes;
};

// An IP packet that the local target, or the agent's own TCP endpoint, sends to a caller.
struct TargetPacket {
    Bytes packet;
};

struct DirectoryReceived {
    std::shared_ptr<const Directory> directory; // older versions than the current one are ignored
};

// A control instance has answered and a quorum backs the answer. The lease starts when the request was sent, so that it
// ends here no later than at the control instances.
struct ControlContact {
    Time requestSentAt;
    DirectoryVersion latest; // newest version that the answering instance has
};

// The target is reachable. A larger incarnation than before means that it has restarted and has no connections.
struct TargetUp {
    Incarnation incarnation;
};
struct TargetDown { };
// The target accepts no new flows; its open flows continue.
struct TargetDraining { };
struct Tick { };

using AgentEvent = std::variant<TunnelReceived, TargetPacket, DirectoryReceived, ControlContact, TargetUp, TargetDown,
    TargetDraining, Tick>;

namespace detail {
    class AgentMachine;
}

class AgentFlows {
public:
    AgentFlows(const AgentFlowsSettings& settings, TargetAdmission& admission, const Clock& clock, Random& random);
    ~AgentFlows();
    AgentFlows(const AgentFlows&) = delete;
    AgentFlows& operator=(const AgentFlows&) = delete;

    // Handles one event and appends the resulting actions to `actions`.
    void handle(const AgentEvent& event, Actions& actions);

    const FlowCounters& counters() const;
    DirectoryVersion directoryVersion() const;
    size_t heldFlows() const;
    size_t ownedFlows() const; // flows in this agent's buckets, whoever holds them
    size_t ownedBuckets() const;
    size_t settledBuckets() const;
    size_t queuedPackets() const;
    size_t tableBytes() const;
    bool hasLease() const;
    bool isIsolated() const;

private:
    std::unique_ptr<detail::AgentMachine> m_machine;
};

} // namespace cicadaward::flow
