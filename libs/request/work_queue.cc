#include "request/work_queue.h"

#include <algorithm>

namespace cicadaward::request {

Duration WorkQueue::expectedWait(uint32_t caller) const
{
    if (m_slots == 0)
        return std::chrono::seconds(1);
    if (m_running < m_slots && m_waitingCount == 0)
        return Duration(0);
    auto own = m_callers.find(caller);
    size_t ownJobs = own == m_callers.end() ? 0 : own->second.waiting.size() + own->second.running;
    size_t others = m_callers.size() - (own == m_callers.end() ? 0 : 1);
    size_t ahead = std::min(m_waitingCount, (ownJobs + 1) * (others + 1));
    double seconds = m_meanServiceSeconds * static_cast<double>(ahead + 1) / m_slots;
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

std::optional<WorkQueue::Refusal> WorkQueue::push(const Job& job)
{
    Duration wait = expectedWait(job.caller);
    Refusal refusal { std::max<Duration>(wait, std::chrono::milliseconds(100)) };
    // Includes the service time: a job that starts in time but ends after its deadline is useless, too.
    Duration service = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(m_meanServiceSeconds));
    if (m_slots == 0 || m_clock.now() + wait + service > job.deadline)
        return refusal;
    if (m_waitingCount >= m_maxWaiting) {
        auto largest = std::max_element(m_callers.begin(), m_callers.end(),
            [](const auto& a, const auto& b) { return a.second.waiting.size() < b.second.waiting.size(); });
        auto own = m_callers.find(job.caller);
        size_t ownWaiting = own == m_callers.end() ? 0 : own->second.waiting.size();
        if (largest == m_callers.end() || ownWaiting + 1 >= largest->second.waiting.size())
            return refusal;
        Job displaced = largest->second.waiting.rbegin()->second;
        remove(displaced.id);
        m_dropped.push_back(displaced);
    }
    m_callers[job.caller].waiting.emplace(std::make_pair(job.deadline, job.id), job);
    m_index[job.id] = { job.caller, job.deadline };
    m_deadlines[{ job.deadline, job.id }] = job.caller;
    ++m_waitingCount;
    return std::nullopt;
}

void WorkQueue::dropExpired()
{
    while (!m_deadlines.empty() && m_deadlines.begin()->first.first <= m_clock.now()) {
        auto [key, caller] = *m_deadlines.begin();
        m_dropped.push_back({ key.second, caller, key.first });
        remove(key.second);
    }
}

std::optional<WorkQueue::Job> WorkQueue::pop()
{
    dropExpired();
    if (m_running >= m_slots || m_waitingCount == 0)
        return std::nullopt;
    auto best = m_callers.end();
    for (auto it = m_callers.begin(); it != m_callers.end(); ++it) {
        if (it->second.waiting.empty())
            continue;
        if (best == m_callers.end()
            || std::make_tuple(it->second.running, it->second.lastServed, it->second.waiting.begin()->first)
                < std::make_tuple(best->second.running, best->second.lastServed, best->second.waiting.begin()->first))
            best = it;
    }
    Job job = best->second.waiting.begin()->second;
    ++best->second.running;
    best->second.lastServed = ++m_popCount;
    ++m_running;
    remove(job.id);
    return job;
}

void WorkQueue::onJobFinished(uint32_t caller, Duration serviceTime)
{
    double seconds = std::chrono::duration<double>(serviceTime).count();
    m_meanServiceSeconds
        = m_meanServiceSeconds == 0 ? seconds : m_meanServiceSeconds + (seconds - m_meanServiceSeconds) / 8;
    --m_running;
    auto found = m_callers.find(caller);
    if (found != m_callers.end() && found->second.running > 0)
        --found->second.running;
    eraseIfIdle(caller);
}

bool WorkQueue::remove(uint64_t id)
{
    auto found = m_index.find(id);
    if (found == m_index.end())
        return false;
    auto [caller, deadline] = found->second;
    m_callers[caller].waiting.erase({ deadline, id });
    m_deadlines.erase({ deadline, id });
    m_index.erase(found);
    --m_waitingCount;
    eraseIfIdle(caller);
    return true;
}

void WorkQueue::eraseIfIdle(uint32_t caller)
{
    auto found = m_callers.find(caller);
    if (found != m_callers.end() && found->second.waiting.empty() && found->second.running == 0)
        m_callers.erase(found);
}

std::vector<WorkQueue::Job> WorkQueue::takeDropped() { return std::exchange(m_dropped, {}); }

} // namespace cicadaward::request
