// JSON and HTTP side of the administration API of a control instance; docs/ADMIN-API.md describes it.
#pragma once

#include "control/control_instance.h"
#include "control_messages.h"
#include "raft/raft.h"

#include <string>

namespace cicadaward {

// POST /v1/manifest with a manifest as body; POST /v1/data-centres/NAME/out or /in, with ?replaces=VERSION.
// Returns false when the path is none of these.
bool parseAdminChange(const AdminCall&, control::ManifestCommand& command);

// HTTP status: 200 accepted, 409 conflict, older or wrong base, 422 invalid, 503 no leader or busy, 504 not decided.
unsigned adminStatus(control::ManifestOutcome);
const char* outcomeName(control::ManifestOutcome);

std::string formatResult(const control::ManifestResult&);
std::string formatStatus(
    const std::string& name, const std::string& leader, const control::StatusReply&, const raft::RaftStatus&);
std::string formatMembers(const Directory&);

} // namespace cicadaward
