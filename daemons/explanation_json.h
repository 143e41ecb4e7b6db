// The HTTP call that explains a placement, on metrics.listen of entries and agents, and its answers as JSON:
//
//     GET /explain?address=198.18.0.1:443&caller=100.64.0.1:1000&bytes=0
//     GET /explain?address=198.18.0.1:443&caller=100.64.0.1:1000&bytes=0&service=9f27...&state=12 (to an agent)
//
// Both sides of the call are here, so that a field is written and read in one place. Readers ignore fields that they do
// not know; a missing or malformed field is an error. See docs/ADMIN-API.md for the fields.
#pragma once

#include "steering/placement_explanation.h"

#include <absl/status/statusor.h>
#include <optional>
#include <string>

namespace cicadaward {

constexpr size_t maxExplanationBytes = 1 << 20; // of an answer

// ADDRESS:PORT with an IPv4 address and a port from 1. Nothing when the text is malformed.
std::optional<Endpoint> parseEndpoint(const std::string& text);

struct ExplainCall {
    steering::PlacementQuestion question;
    steering::ServiceKey service; // to an agent: the service that the entry draws; 0: that of its target
    StateIndex state; // to an agent: the entry's state
};

// True when the request target is that of the call, whatever its query.
bool isExplainTarget(const std::string& target);
std::string explainTarget(const ExplainCall&);
// The error lists all findings.
absl::StatusOr<ExplainCall> parseExplainTarget(const std::string& target);

// How well the process that answers is informed.
struct ControlContact {
    uint64_t heardState = 0; // the newest state that it has heard of
    int64_t behindMs = 0; // how long it has been without progress towards that state; 0: it has it
    bool isInContact = false; // a control instance answers
    int64_t lastReplyMs = 0;
};

template <typename Explanation> struct ExplainAnswer {
    std::string name; // of the instance
    ControlContact contact;
    Explanation explanation;
};

using EntryAnswer = ExplainAnswer<steering::EntryExplanation>;
using AgentAnswer = ExplainAnswer<steering::AgentExplanation>;

std::string toJson(const EntryAnswer&);
std::string toJson(const AgentAnswer&);
absl::StatusOr<EntryAnswer> parseEntryAnswer(const std::string& json);
absl::StatusOr<AgentAnswer> parseAgentAnswer(const std::string& json);

} // namespace cicadaward
