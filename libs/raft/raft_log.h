// Log in memory, from just behind `baseIndex` to `lastIndex`, with the configurations that it contains. It does not
// know what is committed or durable.
#pragma once

#include "raft/configuration.h"

#include <deque>
#include <optional>
#include <utility>

namespace cicadaward::raft::detail {

// Returns nothing for bytes that are not a valid configuration.
std::optional<Configuration> parseConfiguration(const std::string& bytes);

class RaftLog {
public:
    // Forgets all entries. The log then starts behind `index`, where `configuration` is in force.
    void reset(LogIndex index, Term term, Configuration configuration);

    LogIndex baseIndex() const { return m_baseIndex; }
    LogIndex lastIndex() const { return m_baseIndex + m_entries.size(); }
    Term lastTerm() const { return m_entries.empty() ? m_baseTerm : m_entries.back().term; }
    // Nothing for an index before the base or behind the end.
    std::optional<Term> termAt(LogIndex index) const;
    // Must be in (baseIndex, lastIndex].
    const LogEntry& entry(LogIndex index) const { return m_entries[index - m_baseIndex - 1]; }
    // Entries from `from` on, at most `count` and `bytes` of data, but at least one if there is one.
    std::vector<LogEntry> slice(LogIndex from, size_t count, size_t bytes) const;

    // The entry must have the index lastIndex() + 1 and, if it is one, a valid configuration.
    void append(LogEntry entry);
    // Drops `from` and everything behind it.
    void truncate(LogIndex from);
    // Drops everything up to and including `index`, which must be in the log.
    void compact(LogIndex index);

    size_t bytes() const { return m_bytes; }
    size_t bytesAfter(LogIndex index) const;

    // The newest configuration counts from the moment it is in the log, committed or not.
    const Configuration& configuration() const { return m_configurations.back().second; }
    LogIndex configurationIndex() const { return m_configurations.back().first; }
    const Configuration& configurationAt(LogIndex index) const;

private:
    std::deque<LogEntry> m_entries;
    LogIndex m_baseIndex = 0;
    Term m_baseTerm;
    size_t m_bytes = 0;
    // By index; the first is the one in force at the base.
    std::vector<std::pair<LogIndex, Configuration>> m_configurations { { 0, {} } };
};

} // namespace cicadaward::raft::detail
