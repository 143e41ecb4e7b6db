// Reports the open flows of an agent's target to the control instances that keep records of them: to one in the agent's
// own data centre, which costs no transfer between data centres, and to one in another.
//
//     FlowReporter reporter(options, clock, output);
//     reporter.onTick(start, openFlows, ended.answers()); // at the interval
//     reporter.onAck(control, ack);
//
// A report has only what has changed since the last one that the same instance has acknowledged, and none is sent
// without a change, except for a short one at `keepAliveInterval`. An unacknowledged report is sent again unchanged
// before a further one, so the instance's record is always one that this process knows.
//
// The instances are the first ones in the rendezvous order of the agent's endpoint, so that the loss of an instance
// moves only its own agents. An instance that does not acknowledge or refuses is replaced by the next one for a while.
// Others that hold a record of this agent are told to remove it once the chosen ones have theirs.
//
// Memory: about 24 bytes for each of at most maxRecordedFlows flows and each instance that is reported to.
#pragma once

#include "core/clock.h"
#include "steering/ended_flows.h"
#include "steering/flow_report.h"

#include <absl/container/flat_hash_map.h>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace cicadaward::steering {

struct FlowReporterOptions {
    Endpoint self;
    std::string dataCentre;
    uint64_t incarnation = 0; // of this process
    Duration interval = std::chrono::seconds(1); // between two reports; 0: nothing is reported or asked for
    // False: flows are reported only while AgentSteering::hasReusedUnsafeFlows().
    bool reportsAlways = true;
    // A record whose agent is silent for long is dropped, so one without changes is renewed.
    Duration keepAliveInterval = std::chrono::seconds(10);
    unsigned maxRepeats = 4; // of an unacknowledged report
    Duration avoidTime = std::chrono::seconds(30); // of an instance that refuses or does not acknowledge
    size_t copies = 2;
};

// An open flow of the target's present start.
struct OpenFlow {
    RecordedFlow recorded;
    Time opened; // TargetFlow::opened
};

class FlowReporterOutput {
public:
    virtual ~FlowReporterOutput() = default;
    virtual void sendFlowReport(Endpoint control, const FlowReport&) = 0;
};

class FlowReporter {
public:
    using Answers = std::map<Endpoint, EndedFlows::Answer>;

    FlowReporter(FlowReporterOptions, const Clock&, FlowReporterOutput&);

    // Reports to the instances among `answers`, which are those whose record has been read. Call it at the interval.
    // Flows beyond maxRecordedFlows are not reported.
    void onTick(const TargetStart&, const std::vector<RecordedFlow>& open, const Answers&);
    void onAck(Endpoint control, const FlowReportAck&);

    // Flows that a control instance has acknowledged, the largest number of all instances.
    size_t recordedCount() const;
    uint64_t refusedCount() const { return m_refusedCount; }

private:
    using Flows = absl::flat_hash_map<FlowId, uint32_t>; // acknowledgement numbers

    struct Instance {
        Flows recorded;
        uint64_t base = 0; // sequence of the last acknowledged report; 0: the next one is full
        bool mayHaveRecord = false;
        std::optional<FlowReport> pending;
        unsigned repeats = 0; // of `pending`
        Time lastSent;
        Time avoidedUntil;
    };

    void updateInstances(const Answers&);
    std::vector<Endpoint> chooseInstances(const Answers&) const;
    void report(Endpoint control, Instance&, const TargetStart&, const Flows& open);
    void remove(Endpoint control, Instance&, const TargetStart&);
    bool repeat(Endpoint control, Instance&);
    void send(Endpoint control, Instance&, FlowReport);
    FlowReport makeReport(const TargetStart&, uint64_t base);
    static void addChanges(const Flows& recorded, const Flows& open, FlowReport&);
    static void applyPending(Instance&);

    const FlowReporterOptions m_options;
    const Clock& m_clock;
    FlowReporterOutput& m_output;
    uint64_t m_incarnation;
    uint64_t m_sequence = 0;
    TargetStart m_start;
    std::map<Endpoint, Instance> m_instances; // those of the last answers
    uint64_t m_refusedCount = 0;
};

} // namespace cicadaward::steering
