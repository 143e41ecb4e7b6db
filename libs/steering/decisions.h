// The decisions of entries and agents on flows. Each has a counter in the metrics and a numbered event in the log.
#pragma once

#include "core/clock.h"
#include "core/ids.h"
#include "steering/flow_packet.h"

#include <string>

namespace cicadaward::steering {

enum class Decision : uint8_t {
    Offered, // an entry sent the SYN of a new flow to the first member
    Accepted, // an agent forwarded a new flow to its target
    Repeated, // an agent gave its target another copy of the SYN of a flow that it knows
    Waiting, // a request is queued for a free slot of the target, or a packet for the first state of the entry
    PassedOn, // an agent forwarded a packet to the next member
    Searched, // an entry started or continued a search for the agent of a flow
    Broadcast, // a search was not answered in time: all members are asked in parallel
    Tried, // an agent gave a packet to its target without knowing whether the target holds the flow
    Located, // an agent told the entry that its target holds the flow
    Refused, // no member accepts the new flow
    Outdated, // an agent denied an offer that its newer state excludes, or an entry got such a denial
    Reset, // the flow is reset: its target has ended or no target holds it
    NoRoute,
    NotHeld, // no member holds the flow
    Malformed,
    TableFull,
    Unready, // state that the decision needs is not there yet
    Count
};

const char* decisionName(Decision);

// Latencies that a caller can observe. Each has a histogram in the metrics.
enum class Latency : uint8_t {
    FlowOpened, // from the SYN's arrival at the agent to the target's answer to it
    FlowFound, // from an entry's first search to the answer of the flow's agent
    RequestAnswered, // from forwarding a request to the target to the first data of the response
    RequestWaited, // in the queue for a free slot of the target
    Count
};

const char* latencyName(Latency);

// The inputs of a decision: the member or target concerned, the reason, the version of the configuration in force, the
// load of the target, the state of the process, and that of the process that sent the frame.
struct DecisionInputs {
    Endpoint member;
    const char* reason = "";
    uint64_t version = 0;
    uint32_t load = 0;
    StateIndex state {};
    StateIndex peerState {}; // 0: no frame, or one that does not name it
};

// Called on the event loop's thread for each decision and latency; must not block.
class DecisionObserver {
public:
    virtual ~DecisionObserver() = default;
    virtual void onDecision(Decision, const FlowId&, const DecisionInputs&) = 0;
    virtual void onLatency(Latency, Duration) = 0;
};

} // namespace cicadaward::steering
