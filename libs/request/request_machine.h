// One request of a caller, from its arrival to the reply, at the agent that holds the connection.
//
//     not repeatable:  Claiming -> Local -> (Waiting -> Remote)* -> reply
//                         |  \-> Fetching a stored answer -> reply
//     repeatable:      Local -> (Waiting -> Remote)* -> reply
//
// Only this machine retries, and only work that is known not to have run, or that is repeatable. "Not run" is said to
// the caller only after the owner has granted the claim (so no earlier send of the id has run) and no target has begun
// it, or by an owner that knows that the id has no record. While the owner does not answer, the outcome is unknown,
// because an earlier send of the same id may have run.
#pragma once

#include "request/blob_transfer.h"
#include "request/ledger.h"
#include "request/local_target.h"
#include "request/retry_budget.h"

namespace cicadaward::request {

struct RequestContext {
    const AgentView& view;
    Outbox& out;
    Ledger& ledger;
    LocalTarget& local;
    BlobTransfer& blobs;
    RetryBudget& budget;
};

class RequestMachine {
public:
    static constexpr uint32_t maxRetries = 2;

    // `id` is unique in this process; it is also the nonce of the claim.
    RequestMachine(const RequestContext& context, uint64_t id, ConnectionId connection, Request request);

    void start();
    void on(const ClaimReply& message);
    void on(MemberId from, const RunResult& message);
    void onLocalResult(LocalTarget::Result& result);
    void onFetched(const BlobTransfer::FetchResult& done);
    void onCallerDisconnected();
    void tick();

    bool isFinished() const { return m_phase == Phase::Finished; }
    bool isConnected() const { return m_connected; }
    ConnectionId connection() const { return m_connection; }
    // Attempt at another member; none before the first.
    AttemptId attempt() const { return m_attempt; }

private:
    enum class Phase {
        Claiming,
        RunningLocally,
        RetryBackoff,
        RunningRemotely,
        FetchingAnswer,
        Finished,
    };

    void claim();
    void runLocally();
    void retryOrFinish(RunOutcome outcome, Duration retryAfter);
    void runRemotely();
    void sendRun();
    void handleDeadline();
    void fetch(const StoredBlob& stored);

    void finishAnswered(Answer answer, const StoredBlob* stored);
    void finishNotRun(const std::string& reason, Duration retryAfter);
    void finishUnknown(const std::string& reason);
    // Ends the request; `state` is the final state of a granted claim.
    void finish(Reply reply, std::optional<RecordState> state, const StoredBlob& stored);

    RequestContext m_context;
    uint64_t m_id;
    ConnectionId m_connection;
    std::shared_ptr<const Request> m_request;
    Digest m_digest;
    ClaimToken m_token;
    ClaimOrder m_order;
    Time m_deadline;
    Time m_claimDeadline; // earlier than the deadline while this agent takes no new work
    bool m_refusesNewWork = false;
    bool m_connected = true;
    bool m_isRunningElsewhere = false; // an earlier send of the id is running
    Phase m_phase = Phase::Claiming;
    RetransmitTimer m_retransmit;
    uint32_t m_retries = 0;
    bool m_mayHaveRun = false; // of a repeatable request: an attempt failed after it had begun
    Time m_retryAt;
    std::vector<MemberId> m_triedMembers;
    Incarnation m_runnerIncarnation;
    AttemptId m_attempt;
    StoredBlob m_storedBlob;
    bool m_ranRemotely = false; // Fetching: the answer belongs to this claim
};

} // namespace cicadaward::request
