// What agents and control instances exchange to keep a record of the open flows of each target. Each message may be
// lost, duplicated or reordered.
//
// An agent reports the flows of one start of its target. A report contains what has changed since the last report that
// the same control instance has acknowledged, or everything.
#pragma once

#include "steering/flow_packet.h"
#include "steering/route_table.h"

#include <string>
#include <tuple>
#include <vector>

namespace cicadaward::steering {

// Identity of a start of a target, from its heartbeats.
struct TargetStart {
    std::string id;
    uint64_t startTimeMs = 0; // time of birth by the target's clock, milliseconds since 1970; 0: not given
    ServiceKey service; // does not change within a start

    friend bool operator==(const TargetStart& a, const TargetStart& b)
    {
        return a.id == b.id && a.startTimeMs == b.startTimeMs;
    }
    friend bool operator!=(const TargetStart& a, const TargetStart& b) { return !(a == b); }
};

struct RecordedFlow {
    FlowId flow;
    uint32_t acknowledged = 0; // sequence number that the caller has acknowledged, or will within one window
};

constexpr size_t maxRecordedFlows = 4096; // of one agent
constexpr size_t recordedFlowBytes = 16; // in messages and on the disk

// Agent to control instance; also the form in which a control instance keeps and returns its record of an agent.
struct FlowReport {
    Endpoint agent;
    uint64_t incarnation = 0; // of the agent's process
    TargetStart start;
    uint64_t sequence = 0; // from 1; increases within one incarnation
    uint64_t base = 0; // sequence of the report that this one changes; 0: this one has all flows
    uint64_t reportedMs = 0; // time of the content by the agent's clock, milliseconds since 1970
    std::vector<RecordedFlow> flows; // opened, or with another acknowledgement number
    std::vector<FlowId> closed;

    bool isFull() const { return base == 0; }
    // A full report without flows removes the record.
    bool isRemoval() const { return isFull() && flows.empty(); }
    bool isNewerThan(const FlowReport& other) const
    {
        return std::tie(incarnation, sequence) > std::tie(other.incarnation, other.sequence);
    }
};

enum class FlowReportResult : uint8_t {
    Recorded, // in memory and queued for the disk
    NeedsFull, // the control instance does not have the report's base
    Superseded, // the control instance has a record of a later incarnation
    Refused, // a limit is reached
};

// Acknowledges a report.
struct FlowReportAck {
    uint64_t incarnation = 0; // of the report
    uint64_t sequence = 0; // of the report
    FlowReportResult result = FlowReportResult::Refused;
    uint64_t recordedIncarnation = 0; // of the record; Superseded only
};

// Agent to control instance: asks for the record of the sender. Control instances without a disk do not answer.
struct FlowsRequest {
    uint64_t round = 0; // returned in the answer
};

struct FlowsReply {
    uint64_t round = 0;
    std::string dataCentre; // of the control instance
    bool hasRecord = false;
    FlowReport record;
};

} // namespace cicadaward::steering
