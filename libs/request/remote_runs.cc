#include "request/remote_runs.h"

namespace cicadaward::request {

void RemoteRuns::on(MemberId from, const RunRequest& message, uint64_t job)
{
    if (message.process != m_view.config.process)
        return m_out.count(RequestCounter::StaleMessage);
    auto found = m_runs.find(message.attempt);
    if (found != m_runs.end()) {
        if (found->second.isFinished)
            m_out.send(found->second.from, found->second.result);
        return;
    }
    // The sender repeats the message until there is room or its deadline has passed.
    if (m_runs.size() >= maxAttempts)
        return m_out.count(RequestCounter::RefusedFull);
    Run& run = m_runs[message.attempt];
    run.from = from;
    run.job = job;
    run.token = message.token;
    run.order = message.order;
    run.deadline = m_view.now() + std::chrono::milliseconds(message.remainingMs);
    run.result.attempt = message.attempt;
    m_expiry.emplace_back(m_view.now() + m_view.config.recordLifetime, message.attempt);
    m_openByJob[job] = message.attempt;
    if (m_view.draining || m_view.isFenced())
        return finish(message.attempt, run, RunOutcome::NotRun, {});
    if (message.request.bytes.empty())
        m_blobs.fetch(job, message.request, run.deadline);
    else
        submit(message.attempt, run, message.request.bytes);
}

void RemoteRuns::submit(AttemptId attempt, Run& run, const std::string& bytes)
{
    auto request = std::make_shared<Request>();
    if (!decodeRequest(bytes, *request)) {
        m_out.count(RequestCounter::DamagedMessage);
        return finish(attempt, run, RunOutcome::NotRun, {});
    }
    if (!request->repeatable && !m_ledger.acceptRun(request->key, requestDigest(*request), run.token, run.order)) {
        m_out.count(RequestCounter::DuplicatePrevented);
        return finish(attempt, run, RunOutcome::NotRun, {});
    }
    run.request = request;
    if (m_local.submit({ run.job, request, run.deadline }))
        finish(attempt, run, RunOutcome::NotRun, {});
}

bool RemoteRuns::onFetched(const BlobTransfer::FetchResult& done)
{
    auto open = m_openByJob.find(done.tag);
    if (open == m_openByJob.end())
        return false;
    AttemptId attempt = open->second;
    Run& run = m_runs[attempt];
    if (done.isComplete)
        submit(attempt, run, done.bytes);
    else
        finish(attempt, run, RunOutcome::NotRun, {});
    return true;
}

bool RemoteRuns::onResult(LocalTarget::Result& result)
{
    auto open = m_openByJob.find(result.id);
    if (open == m_openByJob.end())
        return false;
    AttemptId attempt = open->second;
    StoredBlob stored;
    if (result.outcome == RunOutcome::Answered) {
        stored = m_blobs.store(encodeAnswer(result.answer), m_view.config.recordLifetime);
        if (stored.size == 0)
            result.outcome = RunOutcome::Unknown;
    }
    finish(attempt, m_runs[attempt], result.outcome, stored);
    return true;
}

void RemoteRuns::finish(AttemptId attempt, Run& run, RunOutcome outcome, const StoredBlob& answer)
{
    run.isFinished = true;
    run.result = { attempt, outcome, answer };
    m_openByJob.erase(run.job);
    m_out.send(run.from, run.result);
    // NotRun does not release the claim, because the claimant may try another member.
    if (run.request && !run.request->repeatable && outcome != RunOutcome::NotRun)
        m_ledger.finish(run.request->key, requestDigest(*run.request), run.token, run.order,
            outcome == RunOutcome::Answered ? RecordState::Answered : RecordState::Unknown, answer);
    run.request.reset();
}

void RemoteRuns::on(MemberId, const RunCancel& message)
{
    auto found = m_runs.find(message.attempt);
    if (found == m_runs.end() || found->second.isFinished)
        return;
    Run& run = found->second;
    if (!run.request) {
        m_blobs.cancel(run.job);
        finish(message.attempt, run, RunOutcome::NotRun, {});
    } else if (m_local.removeWaiting(run.job)) {
        finish(message.attempt, run, RunOutcome::NotRun, {});
    } else {
        m_local.cancel(run.job);
        finish(message.attempt, run, RunOutcome::Unknown, {});
    }
}

void RemoteRuns::tick()
{
    std::vector<AttemptId> expired;
    for (const auto& [job, attempt] : m_openByJob) {
        if (m_runs[attempt].deadline <= m_view.now())
            expired.push_back(attempt);
    }
    for (AttemptId attempt : expired)
        on(m_runs[attempt].from, RunCancel { attempt });
    while (!m_expiry.empty() && m_expiry.front().first <= m_view.now()) {
        m_runs.erase(m_expiry.front().second);
        m_expiry.pop_front();
    }
}

} // namespace cicadaward::request
