// The flow machine of one agent: bucket owner and holder together. A daemon feeds it events and carries out its
// actions.
//
//     TargetAdmission admission(clock, limits);
//     AgentFlows flows(settings, admission, clock, random);
//     flows.handle(DirectoryReceived { directory }, actions);
//     flows.handle(ControlContact { sentAt, directory->version }, actions);
//     flows.handle(TargetUp { incarnation }, actions);
//     flows.handle(TunnelReceived { header, packet }, actions); // any tunnel datagram, peer messages too
//     flows.handle(Tick {}, actions); // every 10 to 100 ms
//
// Rules (docs/design.md, section 3):
// - A flow that is held here is delivered; one known elsewhere is passed to its holder; an unknown one is decided by
// the
//   owner of its bucket, once every member that may hold flows of the bucket has answered the owner's sync.
// - A member that answered a sync at version v neither places nor admits flows of that bucket for an owner below v.
// - Without contact to the control quorum for the lease, nothing is placed and nothing is admitted; established flows
// go
//   on. If, in addition, no process of another data centre was heard for the isolation limit, nothing is forwarded.
// - A packet is delivered only for this service and the current target incarnation.
//
// Not thread-safe: one thread drives it. Memory is fixed by `flowBytes` apart from the bounded queue of packets and
// about 200 bytes for each member of the service.
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
    size_t flowBytes = 4 << 20; // budget of the flow table; 43 bytes for each flow that is held, owned or backed up
    Duration lease = std::chrono::seconds(3);
    Duration isolationTimeout = std::chrono::seconds(5);
    // Flows of a member that is absent from the directory may still live: for this time, segments of unknown flows are
    // left unanswered instead of reset, so that a member that was cut off finds its callers waiting. A process that is
    // younger than this does not know who is absent. For the same time after its start, an agent may hold flows that
    // nobody knows.
    Duration absentHold = std::chrono::seconds(60);
    // Longer than a shift of 8 hours, so that a silent feed is not closed.
    Duration idleLimit = std::chrono::hours(9);
    Duration handshakeLimit = std::chrono::seconds(60); // a flow that has only sent its first packet
    Duration closeLinger = std::chrono::seconds(2); // a closed flow still passes its last segments
    Duration udpIdleLimit = std::chrono::minutes(5);
};

// A datagram of the tunnel, already authenticated. `bytes` is what follows the header.
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

// A control instance answered with the backing of a quorum. The lease runs from the time when the request was sent, so
// that it ends here no later than at the control instances.
struct ControlContact {
    Time requestSentAt;
    DirectoryVersion latest; // newest version of the answering instance
};

// The target answers; a larger incarnation means that it started again and has no connections.
struct TargetUp {
    Incarnation incarnation;
};
struct TargetDown { };
// The target takes nothing new; its flows continue.
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

    // Appends to `actions`.
    void handle(const AgentEvent& event, Actions& actions);

    const FlowCounters& counters() const;
    DirectoryVersion directoryVersion() const;
    size_t heldFlows() const;
    size_t ownedFlows() const; // flows in this agent's buckets, wherever they live
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
