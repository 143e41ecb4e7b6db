// Resets the flows that have ended with an earlier start of the agent's target, from the records that control instances
// keep. Asks all known control instances for them after a start of the agent or of its target.
//
//     EndedFlows ended(options, clock, output);
//     ended.begin();
//     ended.onTick(controls, steering.targetStart()); // asks, and resets what is due
//     ended.onReply(control, reply, steering.targetStart());
//     if (!ended.isBusy())
//         reporter.onTick(...); // a report would replace records that have not been used yet
//
// A flow is reset only when its target has certainly ended: the present start was born after the record's start and
// after the agent made the record's newest report, and it is of the same service. Both times are of the instance that
// agent and target run on. A record of the present start never causes a reset. A clock that was set back only prevents
// resets.
//
// An agent that lives on when its target ends knows the flows itself; see addOwn(). The records are asked for as well,
// because a start of the agent may have had no answer.
//
// Memory: one record for each of at most `maxControls` control instances, and at most `maxQueuedFlows` flows that wait
// for their reset or were reset since begin().
#pragma once

#include "core/clock.h"
#include "steering/flow_report.h"

#include <absl/container/flat_hash_set.h>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace cicadaward::steering {

struct EndedFlowsOptions {
    Duration askInterval = std::chrono::milliseconds(100); // between two requests to an instance, at first
    Duration fastAskTime = std::chrono::seconds(3);
    Duration slowAskInterval = std::chrono::seconds(1); // later, for instances that open their disk late
    Duration askTime = std::chrono::seconds(15); // the default idle limit of flows: later the callers have given up
    Duration probeInterval = std::chrono::seconds(30); // later still: finds instances that can keep records
    uint32_t resetsPerSecond = 2000;
    size_t maxQueuedFlows = 8192;
    size_t maxControls = 32;
};

// A flow to reset towards its caller.
struct EndedFlow {
    RecordedFlow recorded;
    std::optional<Time> opened; // when this process has seen the flow: TargetFlow::opened
};

class EndedFlowsOutput {
public:
    virtual ~EndedFlowsOutput() = default;
    virtual void sendFlowsRequest(Endpoint control, const FlowsRequest&) = 0;
    // Returns false when the flow is excluded because the present start of the target holds a flow between its ends.
    virtual bool resetEnded(const EndedFlow&) = 0;
    // All flows known so far are reset; `count` of them were not excluded.
    virtual void flowsEnded(size_t count, const TargetStart& present) = 0;
};

class EndedFlows {
public:
    // What a control instance has answered.
    struct Answer {
        std::string dataCentre;
        bool hasRecord = false;
    };

    EndedFlows(EndedFlowsOptions, const Clock&, EndedFlowsOutput&);

    // Starts to ask all control instances again.
    void begin();
    // Adds flows that this process has seen at an earlier start of the target and that have ended with it.
    void addOwn(const std::vector<EndedFlow>&);
    void onReply(Endpoint control, const FlowsReply&, const std::optional<TargetStart>& present);
    // Call about every 25 ms, and when a heartbeat has arrived. `present` is the registered start of the target;
    // nothing while it is not certain.
    void onTick(const std::vector<Endpoint>& controls, const std::optional<TargetStart>& present);

    // True while flows wait for their reset.
    bool isBusy() const { return !m_queue.empty(); }
    // The control instances that have answered since begin(). Only these may get reports.
    const std::map<Endpoint, Answer>& answers() const { return m_answers; }
    // The flows of records of the present start, once.
    std::vector<RecordedFlow> takePresent();
    uint64_t resetCount() const { return m_resetCount; }
    uint64_t droppedCount() const { return m_droppedCount; } // flows beyond maxQueuedFlows

private:
    void ask(const std::vector<Endpoint>& controls);
    Duration currentAskInterval() const;
    void decide(const TargetStart& present);
    bool isSuperseded(const FlowReport&) const;
    void take(const FlowReport&, const TargetStart& present);
    void enqueue(const EndedFlow&);
    void resetDue(const TargetStart& present);

    const EndedFlowsOptions m_options;
    const Clock& m_clock;
    EndedFlowsOutput& m_output;
    uint64_t m_round = 0;
    Time m_begun;
    std::map<Endpoint, Time> m_nextAsk;
    std::map<Endpoint, Answer> m_answers;
    std::map<Endpoint, FlowReport> m_records; // not decided yet
    std::vector<FlowReport> m_taken; // without their flows; the newest maxControls
    std::vector<RecordedFlow> m_present;
    std::deque<EndedFlow> m_queue;
    absl::flat_hash_set<FlowId> m_known; // queued or reset since begin()
    Time m_lastReset;
    double m_allowance = 0; // resets
    size_t m_unreportedResets = 0;
    uint64_t m_resetCount = 0;
    uint64_t m_droppedCount = 0;
};

} // namespace cicadaward::steering
