// Decisions that touch a flow. Each has a counter in the metrics and a numbered event in the log.
#pragma once

#include "core/clock.h"
#include "steering/flow_packet.h"

#include <string>

namespace cicadaward::steering {

enum class Decision : uint8_t {
    Offered, // an entry chose the first member for a new flow
    Accepted, // an agent gave a new flow to its target
    Waiting, // a request waits for a free slot of the target, or a packet for the first state of the entry
    PassedOn, // an agent sent a packet to the next member
    Searched, // an entry asks members for a flow that it does not know
    Broadcast, // a search brought nothing: all members are asked at once
    Located, // an entry learned where a flow lives
    Refused, // no member takes the new flow
    Reset, // the flow ended with its target
    NoRoute,
    NotHeld, // no member holds the flow
    Malformed,
    TableFull,
    Unready, // the process does not have what it needs to decide
    Count
};

const char* decisionName(Decision);

// Times that a caller may notice. Each has a histogram in the metrics.
enum class Latency : uint8_t {
    FlowOpened, // from the SYN's arrival at the agent to the target's answer to it
    FlowFound, // from an entry's first search to the answer of the flow's agent
    RequestAnswered, // from a request's way to the target to the first data of the answer
    RequestWaited, // for a free slot of the target
    Count
};

const char* latencyName(Latency);

// What the inputs were: the member or target concerned, why, and the version of the state that was used.
struct DecisionInputs {
    Endpoint member;
    const char* reason = "";
    uint64_t version = 0;
    uint32_t load = 0;
};

// Called for each decision on the event loop's thread; must not block.
class DecisionObserver {
public:
    virtual ~DecisionObserver() = default;
    virtual void onDecision(Decision, const FlowId&, const DecisionInputs&) = 0;
    virtual void onLatency(Latency, Duration) = 0;
};

} // namespace cicadaward::steering
