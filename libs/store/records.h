// Records that a control instance keeps on disk. The consensus module (raft/raft.h) produces them, the store writes
// them.
#pragma once

#include "core/ids.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace cicadaward {

// Random number that identifies an instance together with its disk; drawn when the folder is created. An instance that
// lost its disk gets a new id, so it can't vote a second time in a term under the old one.
using InstanceId = Id<struct InstanceTag, uint64_t>;

// Position in the replicated log. The first entry has index 1; 0 means "before the first entry".
using LogIndex = uint64_t;

enum class EntryKind : uint8_t { Empty, Command, Configuration };

struct LogEntry {
    LogIndex index = 0;
    Term term;
    EntryKind kind = EntryKind::Empty;
    std::string data;

    friend bool operator==(const LogEntry& a, const LogEntry& b)
    {
        return a.index == b.index && a.term == b.term && a.kind == b.kind && a.data == b.data;
    }
};

// Raft's persistent currentTerm and votedFor (zero: no vote in this term).
struct HardState {
    Term term;
    InstanceId vote;

    friend bool operator==(const HardState& a, const HardState& b) { return a.term == b.term && a.vote == b.vote; }
};

// The state after all entries up to and including `index` were applied. `term` is the term of the entry `index`. The
// store does not interpret `configuration` and `data`.
struct LogSnapshot {
    LogIndex index = 0;
    Term term;
    std::string configuration;
    std::string data;
};

// One durable write. An entry replaces the stored entry of the same index and all later ones. A batch with a snapshot
// replaces everything that was stored before, so it must also hold the state and all entries after the snapshot.
struct StoreBatch {
    std::optional<HardState> state;
    std::optional<LogSnapshot> snapshot;
    std::vector<LogEntry> entries;

    bool empty() const { return !state && !snapshot && entries.empty(); }
};

// State recovered from a store when it is opened. The entries follow the snapshot without a gap.
struct StoreContents {
    InstanceId instance;
    HardState state;
    LogSnapshot snapshot; // index 0 if there is none
    std::vector<LogEntry> entries;

    bool empty() const { return state == HardState {} && snapshot.index == 0 && entries.empty(); }
};

} // namespace cicadaward
