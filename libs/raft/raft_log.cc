#include "raft/raft_log.h"

#include "raft/codec.h"

namespace cicadaward::raft::detail {

std::optional<Configuration> parseConfiguration(const std::string& bytes)
{
    Configuration configuration;
    if (!decodeMessage(bytes, configuration))
        return std::nullopt;
    for (const std::vector<InstanceId>* ids : { &configuration.voters, &configuration.learners }) {
        if (std::adjacent_find(ids->begin(), ids->end(), std::greater_equal<>()) != ids->end())
            return std::nullopt;
    }
    for (InstanceId id : configuration.learners) {
        if (configuration.isVoter(id))
            return std::nullopt;
    }
    return configuration;
}

void RaftLog::reset(LogIndex index, Term term, Configuration configuration)
{
    m_entries.clear();
    m_bytes = 0;
    m_baseIndex = index;
    m_baseTerm = term;
    m_configurations = { { index, std::move(configuration) } };
}

std::optional<Term> RaftLog::termAt(LogIndex index) const
{
    if (index == m_baseIndex)
        return m_baseTerm;
    if (index < m_baseIndex || index > lastIndex())
        return std::nullopt;
    return entry(index).term;
}

std::vector<LogEntry> RaftLog::slice(LogIndex from, size_t count, size_t bytes) const
{
    std::vector<LogEntry> result;
    size_t used = 0;
    for (LogIndex i = from; i <= lastIndex() && result.size() < count; ++i) {
        used += entry(i).data.size();
        if (used > bytes && !result.empty())
            break;
        result.push_back(entry(i));
    }
    return result;
}

void RaftLog::append(LogEntry entry)
{
    m_bytes += entry.data.size();
    if (entry.kind == EntryKind::Configuration)
        m_configurations.emplace_back(entry.index, parseConfiguration(entry.data).value_or(configuration()));
    m_entries.push_back(std::move(entry));
}

void RaftLog::truncate(LogIndex from)
{
    while (lastIndex() >= from && !m_entries.empty()) {
        m_bytes -= m_entries.back().data.size();
        m_entries.pop_back();
    }
    while (m_configurations.size() > 1 && m_configurations.back().first >= from)
        m_configurations.pop_back();
}

void RaftLog::compact(LogIndex index)
{
    while (m_baseIndex < index) {
        m_baseTerm = m_entries.front().term;
        m_bytes -= m_entries.front().data.size();
        m_entries.pop_front();
        ++m_baseIndex;
    }
    while (m_configurations.size() > 1 && m_configurations[1].first <= m_baseIndex)
        m_configurations.erase(m_configurations.begin());
}

LogIndex RaftLog::indexBefore(LogIndex index, size_t count, size_t bytes) const
{
    LogIndex before = index;
    for (size_t used = 0; before > m_baseIndex && index - before < count; --before) {
        used += entry(before).data.size();
        if (used > bytes)
            break;
    }
    return before;
}

size_t RaftLog::bytesAfter(LogIndex index) const
{
    size_t bytes = 0;
    for (LogIndex i = std::max(index, m_baseIndex) + 1; i <= lastIndex(); ++i)
        bytes += entry(i).data.size();
    return bytes;
}

const Configuration& RaftLog::configurationAt(LogIndex index) const
{
    size_t i = m_configurations.size() - 1;
    while (i > 0 && m_configurations[i].first > index)
        --i;
    return m_configurations[i].second;
}

} // namespace cicadaward::raft::detail
