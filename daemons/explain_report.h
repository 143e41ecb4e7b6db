// What `cicadaward-flow explain` prints: the entry's answer, each member with its agent's answer, the way of the offer,
// and the result; as text for operators or as one JSON object.
#pragma once

#include "core/clock.h"
#include "explanation_json.h"

#include <iosfwd>
#include <map>
#include <string>

namespace cicadaward {

// The answer of one agent, or why there is none.
struct AgentReply {
    std::string failure; // empty: answered
    AgentAnswer answer; // valid without a failure
    std::string json; // of the answer
    Duration age {}; // of the answer when the report is made
};

struct ExplainReport {
    Endpoint entryEndpoint;
    steering::PlacementQuestion question;
    EntryAnswer entry;
    std::string entryJson;
    std::map<Endpoint, AgentReply> agents; // by member
    steering::PlacementExplanation placement;

    // True when the flow would be offered and no agent has answered.
    bool hasNoAgentAnswer() const;
};

void printText(const ExplainReport&, std::ostream&);
// The answers stand under `entry` and `agents` as they were received.
void printJson(const ExplainReport&, std::ostream&);

} // namespace cicadaward
