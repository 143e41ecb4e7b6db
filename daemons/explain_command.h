// cicadaward-flow explain: prints where a new flow would go now and why, without sending it. Asks the entry, then all
// members that the entry would offer the flow, and walks the offer through their answers.
//
//     return runExplain(argc - 1, argv + 1, std::cout, std::cerr);
//
// The report goes to `out`, errors to `err`. An agent's endpoint for the question is the address of its member with the
// agents' metrics port, which all agents share.
#pragma once

#include "core/findings.h"
#include "explanation_json.h"

#include <iosfwd>

namespace cicadaward {

// Exit codes.
enum class ExplainResult {
    Taken = 0, // a member would take the flow
    NotTaken = 1, // it would be refused, or not be offered
    Usage = 2, // bad arguments; nothing was asked
    NoAnswer = 3, // the entry, or all agents, did not answer in time
};

struct ExplainOptions {
    Endpoint entry; // of its metrics
    steering::PlacementQuestion question;
    uint16_t agentPort = 9152;
    std::chrono::milliseconds timeout { 2000 }; // for all answers together
    bool isJson = false;
    bool isHelp = false; // the other fields may be missing
};

// `arguments` without the program and the role. The options are usable only when no finding was added.
ExplainOptions parseExplainOptions(const std::vector<std::string>& arguments, Findings&);

// `argv[0]` is the role.
int runExplain(int argc, const char* const* argv, std::ostream& out, std::ostream& err);

} // namespace cicadaward
