// Interface of a platform adapter. An adapter translates the packet format and the HTTP calls of targets and operators;
// it makes no decisions, which are the daemons' part.
#pragma once

#include "steering/flow_packet.h"
#include "steering/route_table.h"
#include "steering/target_registration.h"

#include <absl/status/status.h>
#include <string>
#include <variant>

namespace cicadaward {

// Calls of the target beside an agent.
struct HeartbeatCall {
    steering::Heartbeat heartbeat;
};
struct DepartureCall {
    std::string id;
};

// Calls of operators.
struct PutConfigurationCall {
    steering::Configuration configuration;
    std::string text; // as received
};
struct ReadConfigurationCall { };
struct SetDataCentreCall {
    std::string name;
    bool out = false;
};

// The absl::Status stands for a call that cannot be translated: InvalidArgument lists all findings, NotFound means that
// there is no such call.
using TargetCall = std::variant<absl::Status, HeartbeatCall, DepartureCall>;
using OperatorCall = std::variant<absl::Status, PutConfigurationCall, ReadConfigurationCall, SetDataCentreCall>;

class FlowAdapter {
public:
    virtual ~FlowAdapter() = default;
    virtual const steering::PacketFormat& packets() const = 0;
    virtual bool isReadinessCall(const std::string& method, const std::string& path) const = 0;
    virtual TargetCall targetCall(
        const std::string& method, const std::string& path, const std::string& body) const = 0;
    virtual OperatorCall operatorCall(
        const std::string& method, const std::string& path, const std::string& body) const = 0;
};

} // namespace cicadaward
