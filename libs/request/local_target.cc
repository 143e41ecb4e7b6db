#include "request/local_target.h"

namespace cicadaward::request {

std::optional<Duration> LocalTarget::submit(const Job& job)
{
    if (!m_isTargetUp || m_view.isFenced())
        return std::chrono::seconds(1);
    if (auto refusal = m_queue.push({ job.id, job.request->caller, job.deadline })) {
        m_out.count(RequestCounter::RefusedFull);
        return refusal->retryAfter;
    }
    m_waiting.emplace(job.id, job);
    reportDropped();
    return std::nullopt;
}

bool LocalTarget::removeWaiting(uint64_t id)
{
    m_queue.remove(id);
    return m_waiting.erase(id) > 0;
}

void LocalTarget::cancel(uint64_t id)
{
    auto found = m_attemptByJob.find(id);
    if (found == m_attemptByJob.end())
        return;
    auto attempt = m_attempts.find(found->second);
    m_out.addAction(CancelAttempt { attempt->first });
    m_queue.onJobFinished(attempt->second.caller, m_view.now() - attempt->second.startedAt);
    m_attempts.erase(attempt);
    m_attemptByJob.erase(found);
}

void LocalTarget::finishAttempt(Attempts::iterator attempt, RunOutcome outcome, Answer answer)
{
    m_queue.onJobFinished(attempt->second.caller, m_view.now() - attempt->second.startedAt);
    m_results.push_back({ attempt->second.job, outcome, std::move(answer) });
    m_attemptByJob.erase(attempt->second.job);
    m_attempts.erase(attempt);
}

void LocalTarget::on(TargetAnswered& event)
{
    auto attempt = m_attempts.find(event.attempt);
    if (attempt == m_attempts.end())
        return m_out.count(RequestCounter::StaleAttempt);
    if (!attempt->second.headOnly && event.declaredLength != event.answer.body.size()) {
        m_out.count(RequestCounter::PartialAnswer);
        return finishAttempt(attempt, RunOutcome::Unknown, {});
    }
    finishAttempt(attempt, RunOutcome::Answered, std::move(event.answer));
}

void LocalTarget::on(const TargetFailed& event)
{
    auto attempt = m_attempts.find(event.attempt);
    if (attempt == m_attempts.end())
        return m_out.count(RequestCounter::StaleAttempt);
    finishAttempt(attempt, event.failure == TargetFailure::Broken ? RunOutcome::Unknown : RunOutcome::NotRun, {});
}

void LocalTarget::on(const TargetStateChanged& event)
{
    m_isTargetUp = event.up;
    if (event.target == m_target)
        return;
    m_target = event.target;
    while (!m_attempts.empty()) {
        m_out.addAction(CancelAttempt { m_attempts.begin()->first });
        finishAttempt(m_attempts.begin(), RunOutcome::Unknown, {});
    }
}

void LocalTarget::reportDropped()
{
    for (const WorkQueue::Job& job : m_queue.takeDropped()) {
        if (m_waiting.erase(job.id) > 0)
            m_results.push_back({ job.id, RunOutcome::NotRun, {} });
    }
}

void LocalTarget::dispatchWaiting()
{
    if (m_view.isFenced()) {
        while (!m_waiting.empty()) {
            uint64_t id = m_waiting.begin()->first;
            removeWaiting(id);
            m_results.push_back({ id, RunOutcome::NotRun, {} });
        }
        return;
    }
    while (m_isTargetUp) {
        auto next = m_queue.pop();
        if (!next)
            break;
        auto found = m_waiting.find(next->id);
        Job job = std::move(found->second);
        m_waiting.erase(found);
        AttemptId attempt(m_view.random.next());
        m_attempts[attempt] = { job.id, next->caller, job.request->method == "HEAD", m_view.now() };
        m_attemptByJob[job.id] = attempt;
        m_out.addAction(SendToTarget { attempt, job.request, job.deadline - m_view.now() });
    }
    reportDropped();
}

} // namespace cicadaward::request
