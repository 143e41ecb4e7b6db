// Checks for tests: what must hold in every run of a group of machines, whatever is lost. A violation is thrown as
// std::runtime_error.
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

// Stand-in for the caller's state: the hash of all applied entries.
struct AppliedState {
    LogIndex index = 0;
    uint64_t hashChain = 0;
};

// Differs in length, so that it takes a varying number of chunks.
inline std::string snapshotData(const AppliedState& state)
{
    return std::to_string(state.index) + ":" + std::to_string(state.hashChain) + std::string(state.index % 150, '.');
}

class SafetyChecker {
public:
    // Log matching: an entry's index and term decide its content and the term before it, hence all that precedes it.
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

    // Applied sequences are prefixes of one another, and what is committed never changes.
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

    // After every event: what was applied stays in the log or in the snapshot before it.
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

    // One leader in a term, and leader completeness; log matching extends it to the earlier entries.
    void checkLeader(InstanceId id, Term term, const detail::RaftLog& log)
    {
        std::string name = "leader of term " + std::to_string(term.value());
        auto [known, isNew] = m_leaders.emplace(term, id);
        require(isNew || known->second == id, "second " + name);
        LogIndex last = committed();
        require(last == 0 || last < log.baseIndex() || log.termAt(last) == m_committed.back().term,
            name + " lacks committed entry " + std::to_string(last));
    }

    // A leader that may answer reads is the newest one and knows everything that is committed.
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
