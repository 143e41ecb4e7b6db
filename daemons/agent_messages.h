// Messages between the threads of an agent, each carried by a bounded ring.
#pragma once

#include "admission/target_admission.h"
#include "admission/target_monitor.h"
#include "control/control_client.h"
#include "net/tcp_endpoint.h"
#include "net/waking_ring.h"

#include <memory>
#include <string>
#include <variant>

namespace cicadaward {

// To the packet thread.
struct PacketsDirectory {
    std::shared_ptr<const Directory> directory;
};
struct PacketsContact {
    Time quorumConfirmedAt;
    DirectoryVersion newest;
};
struct PacketsTarget {
    TargetCondition condition;
};
struct PacketsPeerMessage { // a message of request::AgentRequests to another agent
    MemberId to;
    std::string bytes;
};
struct PacketsRequestEnded { // a request has ended at the target
    Outcome outcome = Outcome::Completed;
    Duration latency {};
};
struct PacketsEndpoint { // receives the packets of ports in request mode; null while there is none
    std::shared_ptr<TcpEndpoint> endpoint;
};
using PacketsInput = std::variant<PacketsDirectory, PacketsContact, PacketsTarget, PacketsPeerMessage,
    PacketsRequestEnded, PacketsEndpoint>;

// To the request thread.
struct RequestsDirectory {
    std::shared_ptr<const Directory> directory;
};
struct RequestsContact {
    bool renewed = false;
    DirectoryVersion newest; // at the instance that answered
};
struct RequestsPeerMessage {
    MemberId from;
    std::string bytes;
};
struct RequestsSlots {
    uint32_t slots = 0;
};
struct RequestsRefusal { // requests from this address and port are answered "not run"
    Endpoint caller;
};
struct RequestsTraffic { }; // the target has sent a packet
using RequestsInput = std::variant<RequestsDirectory, RequestsContact, RequestsPeerMessage, RequestsSlots,
    RequestsRefusal, RequestsTraffic>;

// To the control thread.
struct ControlVersionSeen {
    DirectoryVersion version;
};
struct ControlOtherDataCentre { };
struct ControlTarget {
    TargetCondition condition;
};
struct ControlDrained { // every request has ended and the records are handed over, or the limit has passed
    bool complete = false;
};
using ControlInput = std::variant<ControlVersionSeen, ControlOtherDataCentre, ControlTarget, ControlDrained>;

} // namespace cicadaward
