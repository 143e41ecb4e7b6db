// The log in memory: the entries in (baseIndex, lastIndex] and the configurations among them. It does not track which
// entries are committed or durable. `baseIndex` is the index of the last discarded entry; it may be lower than the
// index of the newest snapshot, because some entries are retained for followers that lag.
#pragma once

#include "raft/configuration.h"

#include <deque>
#include <optional>
#include <utility>

namespace cicadaward::raft::detail {

// Returns nullopt for bytes that are not a valid configuration.
std::optional<Configuration> parseConfiguration(const std::string& bytes);

class RaftLog {
public:
    // Discards all entries. The log then starts after `index`, at which `configuration` is in force.
    void reset(LogIndex index, Term term, Configuration configuration);

    LogIndex baseIndex() const { return m_baseIndex; }
    LogIndex lastIndex() const { return m_baseIndex + m_entries.size(); }
    Term lastTerm() const { return m_entries.empty() ? m_baseTerm : m_entries.back().term; }
    // Returns nullopt for an index before baseIndex() or after lastIndex().
    std::optional<Term> termAt(LogIndex index) const;
    // `index` must be in (baseIndex, lastIndex].
    const LogEntry& entry(LogIndex index) const { return m_entries[index - m_baseIndex - 1]; }
    // Copies entries from index `from` on: at most `count` entries and `bytes` of data, but at least one if there is
    // any.
    std::vector<LogEntry> slice(LogIndex from, size_t count, size_t bytes) const;

    // The entry must have the index lastIndex() + 1. If it is a configuration entry, its data must be valid.
    void append(LogEntry entry);
    // Removes the entry `from` and all later entries.
    void truncate(LogIndex from);
    // Removes all entries up to and including `index`, which must be in the log.
    void compact(LogIndex index);

    // Size of the data of all entries in memory.
    size_t bytes() const { return m_bytes; }
    // The lowest index such that the entries after it, up to `index`, are at most `count` with at most `bytes` of data.
    LogIndex indexBefore(LogIndex index, size_t count, size_t bytes) const;
    // Size of the data of all entries after `index`; linear in their number.
    size_t bytesAfter(LogIndex index) const;

    // The newest configuration in the log is in force as soon as it is appended, committed or not.
    const Configuration& configuration() const { return m_configurations.back().second; }
    LogIndex configurationIndex() const { return m_configurations.back().first; }
    const Configuration& configurationAt(LogIndex index) const;

private:
    std::deque<LogEntry> m_entries;
    LogIndex m_baseIndex = 0;
    Term m_baseTerm;
    size_t m_bytes = 0;
    // Ordered by index; the first is the configuration in force at baseIndex.
    std::vector<std::pair<LogIndex, Configuration>> m_configurations { { 0, {} } };
};

} // namespace cicadaward::raft::detail
