// The records of an agent's flows at control instances: reports the flows of the target's present start, and resets
// those of an earlier one. Connects AgentSteering, EndedFlows and FlowReporter.
//
//     AgentRecords records(options, clock, steering, output);
//     records.onTick(poller.controls()); // about every 25 ms, and when a heartbeat has arrived
//     records.onMessage(control, reply);
//
// Only the agent beside the target decides, and only on what it has seen itself or reported before. It works without a
// quorum and without a state. Without an answer of a control instance, only flows that this process has seen are reset.
//
// Bounds: those of EndedFlows and FlowReporter, and about 60 bytes for each open flow.
#pragma once

#include "steering/agent_steering.h"
#include "steering/ended_flows.h"
#include "steering/flow_reporter.h"

namespace cicadaward::steering {

class AgentRecordsOutput : public FlowReporterOutput {
public:
    virtual void sendFlowsRequest(Endpoint control, const FlowsRequest&) = 0;
    // `count` flows of earlier starts were reset.
    virtual void flowsEnded(size_t count, const TargetStart& present) = 0;
};

class AgentRecords final : private EndedFlowsOutput {
public:
    AgentRecords(FlowReporterOptions, const Clock&, AgentSteering&, AgentRecordsOutput&);

    // Does nothing when the interval of the options is 0.
    void onTick(const std::vector<Endpoint>& controls);
    void onMessage(Endpoint control, const FlowsReply&);
    void onMessage(Endpoint control, const FlowReportAck& ack) { m_reporter.onAck(control, ack); }

    size_t recordedCount() const { return m_reporter.recordedCount(); }
    uint64_t resetCount() const { return m_ended.resetCount(); }
    uint64_t refusedCount() const { return m_reporter.refusedCount(); }
    uint64_t droppedCount() const { return m_ended.droppedCount(); }

private:
    // A flow of the present start in the last scan of AgentSteering's table.
    struct Seen {
        OpenFlow flow;
        uint64_t sinceMs = 0; // by the agent's clock: the flow was open by then
    };

    void sendFlowsRequest(Endpoint control, const FlowsRequest&) override;
    bool resetEnded(const EndedFlow& flow) override { return m_steering.resetEnded(flow); }
    void flowsEnded(size_t count, const TargetStart& present) override;
    void onStart(const TargetStart& present);
    void endOwn(const TargetStart& present);
    void adoptPresent();
    void scan();
    void report(const TargetStart& present);
    uint64_t wallTimeMs() const { return static_cast<uint64_t>(m_clock.wallTime().count()); }

    const FlowReporterOptions m_options;
    const Clock& m_clock;
    AgentSteering& m_steering;
    AgentRecordsOutput& m_output;
    EndedFlows m_ended;
    FlowReporter m_reporter;
    std::optional<TargetStart> m_start; // the last one that was certain
    absl::flat_hash_map<FlowId, Seen> m_seen; // at m_start
    // Flows of m_start in records of an earlier process of this agent, which AgentSteering has not seen.
    absl::flat_hash_map<FlowId, uint32_t> m_adopted;
    uint64_t m_adoptedMs = 0;
    Time m_adoptedUntil;
    Time m_nextReport;
};

} // namespace cicadaward::steering
