#include "request/request_machine.h"

#include <algorithm>

namespace cicadaward::request {

namespace detail {

    constexpr Duration claimPatience = std::chrono::seconds(1); // of an agent that takes no new work
    constexpr Duration fullRetryAfter = std::chrono::seconds(1);

    uint64_t milliseconds(Duration duration)
    {
        return static_cast<uint64_t>(
            std::max<int64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(duration).count(), 0));
    }

} // namespace detail

RequestMachine::RequestMachine(const RequestParts& parts, uint64_t id, ConnectionId connection, Request request)
    : m_parts(parts)
    , m_id(id)
    , m_connection(connection)
    , m_request(std::make_shared<Request>(std::move(request)))
    , m_digest(requestDigest(*m_request))
    , m_token { parts.view.config.self, parts.view.config.process, id }
    , m_deadline(parts.view.now() + m_request->timeout)
    , m_giveUpClaim(m_deadline)
{
}

void RequestMachine::start()
{
    m_parts.budget.addRequest(m_request->caller);
    m_refuseNew = m_parts.view.isFenced() || m_parts.view.draining;
    if (m_refuseNew) {
        m_parts.out.count(RequestCounter::RefusedFenced);
        m_giveUpClaim = std::min(m_deadline, m_parts.view.now() + detail::claimPatience);
    }
    if (!m_request->repeatable)
        return claim();
    if (m_refuseNew)
        return finishNotRun("this agent takes no new requests", m_parts.view.config.lease);
    runLocally();
}

void RequestMachine::claim()
{
    m_phase = Phase::Claiming;
    m_repeat.start(m_parts.view);
    if (const Member* owner = m_parts.view.owner(m_parts.view.bucket(m_request->key)))
        m_parts.out.send(owner->id, ClaimRequest { m_parts.view.config.service, m_request->key, m_digest, m_token });
}

void RequestMachine::on(const ClaimReply& message)
{
    if (m_phase != Phase::Claiming || message.key != m_request->key)
        return m_parts.out.count(RequestCounter::StaleMessage);
    switch (message.verdict) {
    case ClaimVerdict::Granted:
        if (!m_parts.ledger.acceptGrant(message, m_digest))
            return; // tick() claims again, from the owner of a newer directory
        m_order = message.order;
        m_elsewhere = false;
        if (m_refuseNew || m_parts.view.isFenced() || m_parts.view.draining)
            return finishNotRun("this agent takes no new requests", m_parts.view.config.lease);
        return runLocally();
    case ClaimVerdict::Running:
        m_elsewhere = true;
        return;
    case ClaimVerdict::Answered:
        return fetch(message.answer);
    case ClaimVerdict::Conflict: {
        Reply reply { Outcome::NotRun, false, 422, {}, "this Idempotency-Key was used with another request", nullptr };
        return finish(std::move(reply), std::nullopt, {});
    }
    case ClaimVerdict::Unknown: {
        Reply reply { Outcome::Unknown, true, 502, {}, "this request may have run before", nullptr };
        return finish(std::move(reply), std::nullopt, {});
    }
    case ClaimVerdict::Full: {
        Reply reply { Outcome::NotRun, false, 503, detail::fullRetryAfter, "no room for the record of this request",
            nullptr };
        return finish(std::move(reply), RecordState::Released, {});
    }
    }
}

void RequestMachine::runLocally()
{
    m_phase = Phase::Local;
    if (auto retryAfter = m_parts.local.submit({ m_id, m_request, m_deadline }))
        retryOr(RunOutcome::NotRun, *retryAfter);
}

void RequestMachine::onLocal(LocalTarget::Result& result)
{
    if (m_phase != Phase::Local)
        return;
    if (result.outcome == RunOutcome::Answered)
        return finishAnswered(std::move(result.answer), nullptr);
    retryOr(result.outcome, std::chrono::seconds(1));
}

// Tries another member, or reports `outcome` when that is not allowed.
void RequestMachine::retryOr(RunOutcome outcome, Duration retryAfter)
{
    m_mayHaveRun = m_mayHaveRun || outcome != RunOutcome::NotRun;
    bool allowed = (outcome == RunOutcome::NotRun || m_request->repeatable) && m_retries < maxRetries && m_connected
        && !m_parts.view.isFenced();
    if (allowed) {
        auto wait = m_parts.budget.takeRetry(m_request->caller, m_retries + 1, m_deadline - m_parts.view.now());
        if (wait) {
            ++m_retries;
            m_phase = Phase::Waiting;
            m_retryAt = m_parts.view.now() + *wait;
            return m_parts.out.count(RequestCounter::Retry);
        }
        m_parts.out.count(RequestCounter::RetryDenied);
    }
    if (m_mayHaveRun)
        return finishUnknown("the target failed while it ran the request");
    finishNotRun("no target takes the request", retryAfter);
}

void RequestMachine::runRemotely()
{
    std::vector<const Member*> candidates;
    const AgentView& view = m_parts.view;
    for (const Member& member : view.table->members()) {
        bool tried = std::find(m_tried.begin(), m_tried.end(), member.id) != m_tried.end();
        if (member.id != view.config.self && !tried && view.table->acceptsNewFlows(member))
            candidates.push_back(&member);
    }
    if (candidates.empty())
        return m_mayHaveRun ? finishUnknown("the target failed while it ran the request")
                            : finishNotRun("no other target takes requests", std::chrono::seconds(1));
    const Member* chosen = candidates[view.random.below(candidates.size())];
    m_tried.push_back(chosen->id);
    m_runner = chosen->process;
    m_attempt = AttemptId(view.random.next());
    if (m_sentRequest.size == 0)
        m_sentRequest
            = m_parts.blobs.keep(encodeRequest(*m_request), m_deadline - view.now() + std::chrono::seconds(5));
    if (m_sentRequest.size == 0)
        return m_mayHaveRun ? finishUnknown("the target failed while it ran the request")
                            : finishNotRun("no room to pass the request on", detail::fullRetryAfter);
    m_phase = Phase::Remote;
    m_repeat.start(view);
    sendRun();
}

void RequestMachine::sendRun()
{
    m_parts.out.send(m_tried.back(),
        RunRequest { m_attempt, m_runner, m_token, m_order, m_sentRequest,
            detail::milliseconds(m_deadline - m_parts.view.now()) });
}

void RequestMachine::on(MemberId from, const RunResult& message)
{
    if (m_phase != Phase::Remote || message.attempt != m_attempt || from != m_tried.back())
        return m_parts.out.count(RequestCounter::StaleAttempt);
    if (message.outcome != RunOutcome::Answered)
        return retryOr(message.outcome, std::chrono::seconds(1));
    m_ranElsewhere = true;
    fetch(message.answer);
}

void RequestMachine::fetch(const StoredAnswer& stored)
{
    m_phase = Phase::Fetching;
    m_sentRequest = stored;
    m_parts.blobs.fetch(m_id, stored, m_deadline);
}

void RequestMachine::onFetched(const BlobTransfer::Done& done)
{
    if (m_phase != Phase::Fetching)
        return;
    Answer answer;
    if (done.ok && bytesDigest(done.bytes) == m_sentRequest.digest && decodeAnswer(done.bytes, answer))
        return finishAnswered(std::move(answer), &m_sentRequest);
    Reply reply { Outcome::Unknown, true, 502, {}, "the request has run, but its answer is no longer kept", nullptr };
    finish(std::move(reply), m_ranElsewhere ? std::optional(RecordState::Unknown) : std::nullopt, {});
}

void RequestMachine::onCallerGone()
{
    m_connected = false;
    Reply gone { Outcome::Cancelled, false, 503, {}, "the caller has gone", nullptr };
    switch (m_phase) {
    case Phase::Claiming:
    case Phase::Waiting:
        return finish(std::move(gone), RecordState::Released, {});
    case Phase::Local:
        if (m_parts.local.withdraw(m_id))
            return finish(std::move(gone), RecordState::Released, {});
        // Work that may not be repeated goes on: a caller that lost its connection sends the id again and gets the
        // stored answer.
        if (!m_request->repeatable)
            return;
        m_parts.local.cancel(m_id);
        break;
    case Phase::Remote:
        if (!m_request->repeatable)
            return;
        m_parts.out.send(m_tried.back(), RunCancel { m_attempt });
        break;
    case Phase::Fetching:
        if (m_ranElsewhere)
            return;
        m_parts.blobs.cancel(m_id);
        break;
    case Phase::Finished:
        return;
    }
    gone.mayHaveRun = true;
    finish(std::move(gone), std::nullopt, {});
}

void RequestMachine::handleDeadline()
{
    Reply late { Outcome::Cancelled, true, 504, {}, "the deadline has passed", nullptr };
    switch (m_phase) {
    case Phase::Claiming:
        // This process has not run it; an earlier send of the id may have run elsewhere.
        return finish(std::move(late), RecordState::Released, {});
    case Phase::Local:
        if (!m_parts.local.withdraw(m_id)) {
            m_parts.local.cancel(m_id);
            return finish(std::move(late), RecordState::Unknown, {});
        }
        break;
    case Phase::Waiting:
        break;
    case Phase::Remote:
        m_parts.out.send(m_tried.back(), RunCancel { m_attempt });
        return finish(std::move(late), RecordState::Unknown, {});
    case Phase::Fetching:
        m_parts.blobs.cancel(m_id);
        return finish(std::move(late), m_ranElsewhere ? std::optional(RecordState::Unknown) : std::nullopt, {});
    case Phase::Finished:
        return;
    }
    late.mayHaveRun = m_mayHaveRun;
    late.status = m_mayHaveRun ? 504 : 503;
    finish(std::move(late), m_mayHaveRun ? RecordState::Unknown : RecordState::Released, {});
}

void RequestMachine::tick()
{
    const AgentView& view = m_parts.view;
    if (view.now() >= m_deadline)
        return handleDeadline();
    if (m_phase == Phase::Claiming && m_repeat.isDue(view)) {
        if (view.now() >= m_giveUpClaim) {
            Reply reply { Outcome::Unknown, true, 502, view.config.lease, "the owner of this id does not answer",
                nullptr };
            return finish(std::move(reply), RecordState::Released, {});
        }
        if (const Member* owner = view.owner(view.bucket(m_request->key)))
            m_parts.out.send(owner->id, ClaimRequest { view.config.service, m_request->key, m_digest, m_token });
    } else if (m_phase == Phase::Waiting && view.now() >= m_retryAt) {
        runRemotely();
    } else if (m_phase == Phase::Remote) {
        if (!view.isPresent(m_tried.back(), m_runner))
            retryOr(RunOutcome::Unknown, {});
        else if (m_repeat.isDue(view))
            sendRun();
    }
}

void RequestMachine::finishAnswered(Answer answer, const StoredAnswer* stored)
{
    StoredAnswer own;
    if (!stored && !m_request->repeatable)
        own = m_parts.blobs.keep(encodeAnswer(answer), m_parts.view.config.recordLifetime);
    Reply reply { Outcome::Answered, true, answer.status, {}, "", nullptr };
    reply.answer = std::make_shared<Answer>(std::move(answer));
    bool ownClaim = !stored || m_ranElsewhere;
    finish(std::move(reply), ownClaim ? std::optional(RecordState::Answered) : std::nullopt, stored ? *stored : own);
}

void RequestMachine::finishNotRun(const std::string& reason, Duration retryAfter)
{
    finish({ Outcome::NotRun, false, 503, retryAfter, reason, nullptr }, RecordState::Released, {});
}

void RequestMachine::finishUnknown(const std::string& reason)
{
    finish({ Outcome::Unknown, true, 502, {}, reason, nullptr }, RecordState::Unknown, {});
}

void RequestMachine::finish(Reply reply, std::optional<RecordState> state, const StoredAnswer& stored)
{
    m_phase = Phase::Finished;
    if (!m_request->repeatable && state)
        m_parts.ledger.finish(m_request->key, m_digest, m_token, m_order, *state, stored);
    static constexpr RequestCounter counters[]
        = { RequestCounter::Answered, RequestCounter::NotRun, RequestCounter::Unknown, RequestCounter::Cancelled };
    m_parts.out.count(counters[static_cast<size_t>(reply.outcome)]);
    if (m_connected)
        m_parts.out.act(WriteReply { m_connection, std::move(reply), !m_request->keepAlive || m_parts.view.draining });
}

} // namespace cicadaward::request
