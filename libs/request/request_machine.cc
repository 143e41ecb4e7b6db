#include "request/request_machine.h"

#include <algorithm>

namespace cicadaward::request {

namespace detail {

    constexpr Duration fencedClaimTimeout
        = std::chrono::seconds(1); // of a claim by an agent that takes no new requests
    constexpr Duration capacityRetryAfter = std::chrono::seconds(1);

    uint64_t milliseconds(Duration duration)
    {
        return static_cast<uint64_t>(
            std::max<int64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(duration).count(), 0));
    }

} // namespace detail

RequestMachine::RequestMachine(const RequestContext& context, uint64_t id, ConnectionId connection, Request request)
    : m_context(context)
    , m_id(id)
    , m_connection(connection)
    , m_request(std::make_shared<Request>(std::move(request)))
    , m_digest(requestDigest(*m_request))
    , m_token { context.view.config.self, context.view.config.process, id }
    , m_deadline(context.view.now() + m_request->timeout)
    , m_claimDeadline(m_deadline)
{
}

void RequestMachine::start()
{
    m_context.budget.addRequest(m_request->caller);
    m_refusesNewWork = m_context.view.isFenced() || m_context.view.draining;
    if (m_refusesNewWork) {
        m_context.out.count(RequestCounter::RefusedFenced);
        m_claimDeadline = std::min(m_deadline, m_context.view.now() + detail::fencedClaimTimeout);
    }
    if (!m_request->repeatable)
        return claim();
    if (m_refusesNewWork)
        return finishNotRun("this agent takes no new requests", m_context.view.config.lease);
    runLocally();
}

void RequestMachine::claim()
{
    m_phase = Phase::Claiming;
    m_retransmit.start(m_context.view);
    if (const Member* owner = m_context.view.owner(m_context.view.bucket(m_request->key)))
        m_context.out.send(
            owner->id, ClaimRequest { m_context.view.config.service, m_request->key, m_digest, m_token });
}

void RequestMachine::on(const ClaimReply& message)
{
    if (m_phase != Phase::Claiming || message.key != m_request->key)
        return m_context.out.count(RequestCounter::StaleMessage);
    switch (message.verdict) {
    case ClaimVerdict::Granted:
        if (!m_context.ledger.acceptGrant(message, m_digest))
            return; // tick() repeats the claim to the owner in a newer directory
        m_order = message.order;
        m_isRunningElsewhere = false;
        if (m_refusesNewWork || m_context.view.isFenced() || m_context.view.draining)
            return finishNotRun("this agent takes no new requests", m_context.view.config.lease);
        return runLocally();
    case ClaimVerdict::Running:
        m_isRunningElsewhere = true;
        return;
    case ClaimVerdict::Answered:
        return fetch(message.answer);
    case ClaimVerdict::Conflict: {
        Reply reply { RequestOutcome::NotRun, false, 422, {}, "this Idempotency-Key was used with another request",
            nullptr };
        return finish(std::move(reply), std::nullopt, {});
    }
    case ClaimVerdict::Unknown: {
        Reply reply { RequestOutcome::Unknown, true, 502, {}, "this request may have run before", nullptr };
        return finish(std::move(reply), std::nullopt, {});
    }
    case ClaimVerdict::Full: {
        Reply reply { RequestOutcome::NotRun, false, 503, detail::capacityRetryAfter,
            "no room for the record of this request", nullptr };
        return finish(std::move(reply), RecordState::Released, {});
    }
    }
}

void RequestMachine::runLocally()
{
    m_phase = Phase::RunningLocally;
    if (auto retryAfter = m_context.local.submit({ m_id, m_request, m_deadline }))
        retryOrFinish(RunOutcome::NotRun, *retryAfter);
}

void RequestMachine::onLocalResult(LocalTarget::Result& result)
{
    if (m_phase != Phase::RunningLocally)
        return;
    if (result.outcome == RunOutcome::Answered)
        return finishAnswered(std::move(result.answer), nullptr);
    retryOrFinish(result.outcome, std::chrono::seconds(1));
}

// Schedules a retry at another member, or finishes the request with `outcome` when a retry is not allowed.
void RequestMachine::retryOrFinish(RunOutcome outcome, Duration retryAfter)
{
    m_mayHaveRun = m_mayHaveRun || outcome != RunOutcome::NotRun;
    bool allowed = (outcome == RunOutcome::NotRun || m_request->repeatable) && m_retries < maxRetries && m_connected
        && !m_context.view.isFenced();
    if (allowed) {
        auto wait = m_context.budget.takeRetry(m_request->caller, m_retries + 1, m_deadline - m_context.view.now());
        if (wait) {
            ++m_retries;
            m_phase = Phase::RetryBackoff;
            m_retryAt = m_context.view.now() + *wait;
            return m_context.out.count(RequestCounter::Retry);
        }
        m_context.out.count(RequestCounter::RetryDenied);
    }
    if (m_mayHaveRun)
        return finishUnknown("the target failed while it ran the request");
    finishNotRun("no target takes the request", retryAfter);
}

void RequestMachine::runRemotely()
{
    std::vector<const Member*> candidates;
    const AgentView& view = m_context.view;
    for (const Member& member : view.table->members()) {
        bool tried = std::find(m_triedMembers.begin(), m_triedMembers.end(), member.id) != m_triedMembers.end();
        if (member.id != view.config.self && !tried && view.table->acceptsNewFlows(member))
            candidates.push_back(&member);
    }
    if (candidates.empty())
        return m_mayHaveRun ? finishUnknown("the target failed while it ran the request")
                            : finishNotRun("no other target takes requests", std::chrono::seconds(1));
    const Member* chosen = candidates[view.random.below(candidates.size())];
    m_triedMembers.push_back(chosen->id);
    m_runnerIncarnation = chosen->process;
    m_attempt = AttemptId(view.random.next());
    if (m_storedBlob.size == 0)
        m_storedBlob
            = m_context.blobs.store(encodeRequest(*m_request), m_deadline - view.now() + std::chrono::seconds(5));
    if (m_storedBlob.size == 0)
        return m_mayHaveRun ? finishUnknown("the target failed while it ran the request")
                            : finishNotRun("no room to pass the request on", detail::capacityRetryAfter);
    m_phase = Phase::RunningRemotely;
    m_retransmit.start(view);
    sendRun();
}

void RequestMachine::sendRun()
{
    m_context.out.send(m_triedMembers.back(),
        RunRequest { m_attempt, m_runnerIncarnation, m_token, m_order, m_storedBlob,
            detail::milliseconds(m_deadline - m_context.view.now()) });
}

void RequestMachine::on(MemberId from, const RunResult& message)
{
    if (m_phase != Phase::RunningRemotely || message.attempt != m_attempt || from != m_triedMembers.back())
        return m_context.out.count(RequestCounter::StaleAttempt);
    if (message.outcome != RunOutcome::Answered)
        return retryOrFinish(message.outcome, std::chrono::seconds(1));
    m_ranRemotely = true;
    fetch(message.answer);
}

void RequestMachine::fetch(const StoredBlob& stored)
{
    m_phase = Phase::FetchingAnswer;
    m_storedBlob = stored;
    m_context.blobs.fetch(m_id, stored, m_deadline);
}

void RequestMachine::onFetched(const BlobTransfer::FetchResult& done)
{
    if (m_phase != Phase::FetchingAnswer)
        return;
    Answer answer;
    if (done.isComplete && bytesDigest(done.bytes) == m_storedBlob.digest && decodeAnswer(done.bytes, answer))
        return finishAnswered(std::move(answer), &m_storedBlob);
    Reply reply { RequestOutcome::Unknown, true, 502, {}, "the request has run, but its answer is no longer kept",
        nullptr };
    finish(std::move(reply), m_ranRemotely ? std::optional(RecordState::Unknown) : std::nullopt, {});
}

void RequestMachine::onCallerDisconnected()
{
    m_connected = false;
    Reply gone { RequestOutcome::Cancelled, false, 503, {}, "the caller closed the connection", nullptr };
    switch (m_phase) {
    case Phase::Claiming:
    case Phase::RetryBackoff:
        return finish(std::move(gone), RecordState::Released, {});
    case Phase::RunningLocally:
        if (m_context.local.removeWaiting(m_id))
            return finish(std::move(gone), RecordState::Released, {});
        // A request that is not repeatable runs to its end: a caller that lost its connection can send the id again
        // and get the stored answer.
        if (!m_request->repeatable)
            return;
        m_context.local.cancel(m_id);
        break;
    case Phase::RunningRemotely:
        if (!m_request->repeatable)
            return;
        m_context.out.send(m_triedMembers.back(), RunCancel { m_attempt });
        break;
    case Phase::FetchingAnswer:
        if (m_ranRemotely)
            return;
        m_context.blobs.cancel(m_id);
        break;
    case Phase::Finished:
        return;
    }
    gone.mayHaveRun = true;
    finish(std::move(gone), std::nullopt, {});
}

void RequestMachine::handleDeadline()
{
    Reply late { RequestOutcome::Cancelled, true, 504, {}, "the deadline has passed", nullptr };
    switch (m_phase) {
    case Phase::Claiming:
        // This process has not run the request, but an earlier send of the id may have run elsewhere.
        return finish(std::move(late), RecordState::Released, {});
    case Phase::RunningLocally:
        if (!m_context.local.removeWaiting(m_id)) {
            m_context.local.cancel(m_id);
            return finish(std::move(late), RecordState::Unknown, {});
        }
        break;
    case Phase::RetryBackoff:
        break;
    case Phase::RunningRemotely:
        m_context.out.send(m_triedMembers.back(), RunCancel { m_attempt });
        return finish(std::move(late), RecordState::Unknown, {});
    case Phase::FetchingAnswer:
        m_context.blobs.cancel(m_id);
        return finish(std::move(late), m_ranRemotely ? std::optional(RecordState::Unknown) : std::nullopt, {});
    case Phase::Finished:
        return;
    }
    late.mayHaveRun = m_mayHaveRun;
    late.status = m_mayHaveRun ? 504 : 503;
    finish(std::move(late), m_mayHaveRun ? RecordState::Unknown : RecordState::Released, {});
}

void RequestMachine::tick()
{
    const AgentView& view = m_context.view;
    if (view.now() >= m_deadline)
        return handleDeadline();
    if (m_phase == Phase::Claiming && m_retransmit.fireIfDue(view)) {
        if (view.now() >= m_claimDeadline) {
            Reply reply { RequestOutcome::Unknown, true, 502, view.config.lease, "the owner of this id does not answer",
                nullptr };
            return finish(std::move(reply), RecordState::Released, {});
        }
        if (const Member* owner = view.owner(view.bucket(m_request->key)))
            m_context.out.send(owner->id, ClaimRequest { view.config.service, m_request->key, m_digest, m_token });
    } else if (m_phase == Phase::RetryBackoff && view.now() >= m_retryAt) {
        runRemotely();
    } else if (m_phase == Phase::RunningRemotely) {
        if (!view.isPresent(m_triedMembers.back(), m_runnerIncarnation))
            retryOrFinish(RunOutcome::Unknown, {});
        else if (m_retransmit.fireIfDue(view))
            sendRun();
    }
}

void RequestMachine::finishAnswered(Answer answer, const StoredBlob* stored)
{
    StoredBlob own;
    if (!stored && !m_request->repeatable)
        own = m_context.blobs.store(encodeAnswer(answer), m_context.view.config.recordLifetime);
    Reply reply { RequestOutcome::Answered, true, answer.status, {}, "", nullptr };
    reply.answer = std::make_shared<Answer>(std::move(answer));
    bool ownClaim = !stored || m_ranRemotely;
    finish(std::move(reply), ownClaim ? std::optional(RecordState::Answered) : std::nullopt, stored ? *stored : own);
}

void RequestMachine::finishNotRun(const std::string& reason, Duration retryAfter)
{
    finish({ RequestOutcome::NotRun, false, 503, retryAfter, reason, nullptr }, RecordState::Released, {});
}

void RequestMachine::finishUnknown(const std::string& reason)
{
    finish({ RequestOutcome::Unknown, true, 502, {}, reason, nullptr }, RecordState::Unknown, {});
}

void RequestMachine::finish(Reply reply, std::optional<RecordState> state, const StoredBlob& stored)
{
    m_phase = Phase::Finished;
    if (!m_request->repeatable && state)
        m_context.ledger.finish(m_request->key, m_digest, m_token, m_order, *state, stored);
    static constexpr RequestCounter counters[]
        = { RequestCounter::Answered, RequestCounter::NotRun, RequestCounter::Unknown, RequestCounter::Cancelled };
    m_context.out.count(counters[static_cast<size_t>(reply.outcome)]);
    if (m_connected)
        m_context.out.addAction(
            WriteReply { m_connection, std::move(reply), !m_request->keepAlive || m_context.view.draining });
}

} // namespace cicadaward::request
