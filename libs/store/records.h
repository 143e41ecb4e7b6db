// Plain records that a control instance keeps on disk. The store writes them, the consensus machine produces them.
#pragma once

#include "core/ids.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace cicadaward {

// Random number drawn when an instance's folder is created. An instance that lost its disk has a new identity, so it
// cannot vote a second time under the old one.
using InstanceId = Id<struct InstanceTag, uint64_t>;

// Position in the replicated log, from 1; 0 means "before the first entry".
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

// What an instance has promised: its newest term and the candidate that has its vote in that term (zero: none).
struct HardState {
    Term term;
    InstanceId vote;

    friend bool operator==(const HardState& a, const HardState& b) { return a.term == b.term && a.vote == b.vote; }
};

// The applied state up to and including `index`. The store does not look into `configuration` and `data`.
struct LogSnapshot {
    LogIndex index = 0;
    Term term;
    std::string configuration;
    std::string data;
};

// One durable write. An entry replaces the stored entry of its index and all after it. A batch with a snapshot must
// carry the state and all entries after the snapshot, because it replaces everything that was stored before.
struct StoreBatch {
    std::optional<HardState> state;
    std::optional<LogSnapshot> snapshot;
    std::vector<LogEntry> entries;

    bool empty() const { return !state && !snapshot && entries.empty(); }
};

// What a store holds when it is opened. The entries follow the snapshot without a gap.
struct StoreContents {
    InstanceId instance;
    HardState state;
    LogSnapshot snapshot; // index 0 when there is none
    std::vector<LogEntry> entries;

    bool empty() const { return state == HardState {} && snapshot.index == 0 && entries.empty(); }
};

} // namespace cicadaward
