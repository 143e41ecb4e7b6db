// JSON and HTTP side of the administration API of a control instance; docs/ADMIN-API.md describes it.
#pragma once

#include "control/control_instance.h"
#include "control_messages.h"
#include "raft/raft.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace cicadaward {

// A request target, split at '/' and '&', with percent codes resolved.
struct AdminTarget {
    std::vector<std::string> path; // without the leading empty part
    std::map<std::string, std::string> query;
};

// Returns false on a damaged percent code.
bool parseAdminTarget(const std::string& target, AdminTarget&);

// 200 when the path and the method go together, else 400, 404 or 405.
unsigned checkAdminRequest(const std::string& method, const std::string& target);

// Value of a whole number in the query, `fallback` when it is not there. Returns false when it is not from 1 to `most`.
bool parseQueryNumber(
    const AdminTarget&, const std::string& key, uint64_t maxValue, uint64_t defaultValue, uint64_t& value);

// POST /v1/manifest with a manifest as body; POST /v1/data-centres/NAME/out or /in, with ?replaces=VERSION.
// Returns false, with the reason in `error`, when the query is wrong or the path is none of these.
bool parseAdminChange(const AdminCall&, control::ManifestCommand& command, std::string& error);

// HTTP status: 200 accepted, 409 conflict, older or wrong base, 422 invalid, 503 no leader or busy, 504 not decided.
unsigned httpStatusForOutcome(control::ManifestOutcome);
const char* outcomeName(control::ManifestOutcome);

std::string formatError(const std::string& error);
std::string formatResult(const control::ManifestResult&);
// `nameOf` gives the configured name of an instance id, empty for an id that no name has any longer.
std::string formatStatus(const std::string& name, const std::string& leader, const control::StatusReply&,
    const raft::RaftStatus&, const std::function<std::string(InstanceId)>& nameOf);
std::string formatMembers(const Directory&);
// The last `limit` accepted versions, the newest first.
std::string formatHistory(const control::ManifestRegister&, size_t limit);

// From the call on, the last 512 events of this process are kept in memory, each cut to 1 KiB.
void enableRecentEvents();
// JSON list of event lines, the newest last. From any thread.
std::string recentEvents(size_t limit);

} // namespace cicadaward
