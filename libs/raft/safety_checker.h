// Checks the safety properties of Raft (figure 3 of the paper) in tests, over all instances of a group. A violation is
// thrown as std::runtime_error.
#pragma once

#include "core/hash.h"
#include "raft/raft.h"

#include <map>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

namespace cicadaward::raft {

inline void require(bool condition, const std::string& what)
{
    if (!condition)
        throw std::runtime_error(what);
}

// Stands for the caller's state machine: a hash chain over all applied entries.
struct AppliedState {
    LogIndex index = 0;
    uint64_t hashChain = 0;
};

// The length varies with the index, so that snapshots take different numbers of chunks.
inline std::string snapshotData(const AppliedState& state)
{
    return std::to_string(state.index) + ":" + std::to_string(state.hashChain) + std::string(state.index % 150, '.');
}

class SafetyChecker {
public:
    // Log Matching: an entry's index and term determine its content and the term of the entry before it, and so, by
    // induction, all preceding entries.
    void checkEntries(const detail::RaftLog& log, const std::vector<LogEntry>& entries)
    {
        for (const LogEntry& entry : entries) {
            std::optional<Term> previous = log.termAt(entry.index - 1);
            uint64_t content = mixHash(hashString(entry.data), previous.value_or(Term()).value());
            auto [known, isNew] = m_entries.emplace(std::pair(entry.index, entry.term), content);
            require(
                isNew || known->second == content, "log matching: entry " + std::to_string(entry.index) + " differs");
        }
    }

    // State Machine Safety: all instances apply the same entry at each index, in order.
    void applyEntries(AppliedState& state, const std::vector<LogEntry>& entries)
    {
        for (const LogEntry& entry : entries) {
            require(entry.index == ++state.index, "an entry is applied out of order");
            if (m_committed.size() < entry.index) {
                m_committed.push_back(entry);
                m_hashChains.push_back(mixHash(mixHash(state.hashChain, entry.term.value()), hashString(entry.data)));
            }
            require(
                m_committed[entry.index - 1] == entry, "committed entry " + std::to_string(entry.index) + " changed");
            state.hashChain = m_hashChains[entry.index - 1];
        }
    }

    // Called after every event: applied entries are never truncated from the log or replaced. They may be compacted
    // into a snapshot.
    void checkApplied(const AppliedState& state, const detail::RaftLog& log) const
    {
        require(log.lastIndex() >= state.index, "applied entries are cut from the log");
        std::optional<Term> term = log.termAt(state.index);
        require(state.index == 0 || state.index < log.baseIndex() || term == m_committed[state.index - 1].term,
            "an applied entry is replaced");
    }

    void installSnapshot(AppliedState& state, const LogSnapshot& snapshot)
    {
        require(snapshot.index > state.index && snapshot.index <= committed(), "snapshot of uncommitted entries");
        state = { snapshot.index, m_hashChains[snapshot.index - 1] };
        require(snapshot.data == snapshotData(state), "snapshot differs from the applied entries");
    }

    // Election Safety and Leader Completeness. Only the last committed entry is compared; Log Matching covers the
    // earlier ones.
    void checkLeader(InstanceId id, Term term, const detail::RaftLog& log)
    {
        std::string name = "leader of term " + std::to_string(term.value());
        auto [known, isNew] = m_leaders.emplace(term, id);
        require(isNew || known->second == id, "second " + name);
        LogIndex last = committed();
        require(last == 0 || last < log.baseIndex() || log.termAt(last) == m_committed.back().term,
            name + " lacks committed entry " + std::to_string(last));
    }

    // Linearizable reads: a leader whose canRead() is true is the newest leader and has applied all committed entries.
    void checkRead(InstanceId id, const AppliedState& state) const
    {
        require(m_leaders.rbegin()->second == id, "a replaced leader answers reads");
        require(state.index == committed(), "a leader with stale state answers reads");
    }

    LogIndex committed() const { return m_committed.size(); }
    size_t leaders() const { return m_leaders.size(); }

private:
    std::map<Term, InstanceId> m_leaders;
    std::map<std::pair<LogIndex, Term>, uint64_t> m_entries;
    std::vector<LogEntry> m_committed; // as first applied by any instance
    std::vector<uint64_t> m_hashChains;
};

} // namespace cicadaward::raft
