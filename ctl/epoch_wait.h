// Waits until every live process has applied an epoch.
//
// Only the leader knows which epoch each process has acknowledged. A new leader knows no members until one lease has
// passed, and publishes no directory before; its count is therefore used only when the published directory is of its
// own term.
#pragma once

#include "admin_client.h"

#include <string>
#include <vector>

namespace cicadaward {

struct EpochWait {
    bool done = false;
    uint64_t members = 0;
    uint64_t behindCount = 0;
    std::vector<std::string> behind; // at most 64 names
    std::string unknownReason; // why the count is not known; empty otherwise
};

EpochWait waitForEpoch(AdminClient& client, uint64_t epoch);

// True for the status of a leader with a quorum.
bool isLeaderStatus(const AdminResponse& response);

// Status of the leader among the answers of all instances, or the one with the highest epoch when there is no leader;
// null when no instance answered with status 200.
const AdminResponse* findLeaderStatus(const std::vector<AdminResponse>& responses);

} // namespace cicadaward
