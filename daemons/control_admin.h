// Parses requests and formats JSON responses of the administration API of a control instance, which docs/ADMIN-API.md
// describes.
#pragma once

#include "control/control_instance.h"
#include "control_messages.h"
#include "raft/raft.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace cicadaward {

// A request target, split at '/' and '&', with percent codes decoded.
struct AdminTarget {
    std::vector<std::string> path; // without the leading empty part
    std::map<std::string, std::string> query;
};

// Returns false when `target` does not start with '/' or holds a malformed percent code.
bool parseAdminTarget(const std::string& target, AdminTarget&);

// Returns the HTTP status: 200 when the path exists and takes the method, 400 for a malformed target, 404 for an
// unknown path, 405 for a method that the path does not take.
unsigned checkAdminRequest(const std::string& method, const std::string& target);

// Sets `value` to a whole number in the query, or to `defaultValue` when the key is absent. Returns false when it is
// not a whole number from 1 to `maxValue`.
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

// From this call on, the last 512 events of this process are kept in memory, each truncated to 1 KiB.
void enableRecentEvents();
// JSON list of event lines, the newest last. From any thread.
std::string recentEvents(size_t limit);

} // namespace cicadaward
