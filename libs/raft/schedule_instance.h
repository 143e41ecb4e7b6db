// Parts of raft_schedule_test: an instance with simulated disk and clock, and coverage counters.
#pragma once

#include "raft/raft.h"
#include "raft/safety_checker.h"
#include "store/memory_file_system.h"
#include "store/store.h"

#include <deque>
#include <memory>

namespace cicadaward::raft {

// Limits small enough to be reached within a few entries.
inline RaftOptions smallOptions(size_t maxMessageEntries)
{
    RaftOptions options;
    options.electionTimeout = std::chrono::milliseconds(200);
    options.heartbeatInterval = std::chrono::milliseconds(40);
    options.maxMessageBytes = 64; // a snapshot takes several chunks
    options.maxProbeBytes = 20; // some proposals are larger
    options.maxMessageEntries = maxMessageEntries;
    options.maxInflightMessages = 3;
    options.maxInflightSnapshotBytes = 160; // two chunks
    options.maxUncommittedEntries = 12;
    options.retainedEntries = 3;
    options.retainedBytes = 60; // often fewer entries
    options.retainedBytesForFollowers = 240;
    options.maxDeferredMessages = 16;
    return options;
}

// An instance with its simulated disk and clock.
struct Instance {
    explicit Instance(uint64_t seed)
        : files(seed)
        , random(seed ^ 0x5eed)
    {
    }
    InstanceId id;
    MemoryFileSystem files;
    Random random;
    ManualClock clock;
    double clockRate = 1; // speed of the clock relative to simulated time
    std::unique_ptr<Store> store;
    std::unique_ptr<Raft> raft; // null while crashed
    std::deque<Persist> pendingWrites; // not yet written
    bool paused = false;
    bool isDiskLost = false;
    AppliedState state;
};

// Counts what the schedules reached, so that the test fails if they stop exercising a feature.
struct Coverage {
    unsigned long long leaders = 0;
    unsigned long long committed = 0;
    unsigned long long snapshotsInstalled = 0;
    unsigned long long crashes = 0;
    unsigned long long repairs = 0;
    unsigned long long lossesInChanges = 0; // of disks, while the group was not repaired
    unsigned long long reads = 0;
    unsigned long long transfers = 0;
};

} // namespace cicadaward::raft
