// The state machine of one caller request, from its arrival to the reply, at the agent that holds the connection.
//
// A request that is not repeatable needs a claim from the owner of its id (see ledger.h) before it runs. It runs at the
// local target first; when that target has not run it, it is retried at other members.
//
//     not repeatable:  Claiming -> RunningLocally -> (RetryBackoff -> RunningRemotely)* -> FetchingAnswer -> reply
//     repeatable:      RunningLocally -> (RetryBackoff -> RunningRemotely)* -> FetchingAnswer -> reply
//
// FetchingAnswer gets the answer of a remote run. It also follows Claiming directly when an earlier send of the id has
// been answered. An answer of the local target is replied at once, and each phase can end with a reply.
//
// Retries happen only here, and only for a request that is known not to have run or that is repeatable. The caller is
// told "not run" in two cases only: the owner has granted the claim (so no earlier send of the id has run) and no
// target has begun the request; or the owner reports that the id has no record. While the owner does not answer, the
// outcome is unknown, because an earlier send of the same id may have run.
#pragma once

#include "request/blob_transfer.h"
#include "request/ledger.h"
#include "request/local_target.h"
#include "request/retry_budget.h"

namespace cicadaward::request {

// The objects that all requests of an agent share. They outlive the requests.
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

    // `id` is unique in this process. It is also the nonce of the claim token.
    RequestMachine(const RequestContext& context, uint64_t id, ConnectionId connection, Request request);

    void start();
    void on(const ClaimReply& message);
    void on(MemberId from, const RunResult& message);
    void onLocalResult(LocalTarget::Result& result);
    void onFetched(const BlobTransfer::FetchResult& done);
    void onCallerDisconnected();
    // Handles the deadline, retransmissions and the start of retries.
    void tick();

    bool isFinished() const { return m_phase == Phase::Finished; }
    bool isConnected() const { return m_connected; }
    ConnectionId connection() const { return m_connection; }
    // The last attempt at another member; a default AttemptId before the first.
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
    // Ends the request and sends the reply. `state` is reported to the owner as the final state of the claim; without
    // it nothing is reported.
    void finish(Reply reply, std::optional<RecordState> state, const StoredBlob& stored);

    RequestContext m_context;
    uint64_t m_id;
    ConnectionId m_connection;
    std::shared_ptr<const Request> m_request;
    Digest m_digest;
    ClaimToken m_token;
    ClaimOrder m_order;
    Time m_deadline;
    Time m_claimDeadline; // earlier than m_deadline if this agent takes no new requests
    bool m_refusesNewWork = false;
    bool m_connected = true;
    bool m_isRunningElsewhere = false; // the owner replied that an earlier send of the id is running
    Phase m_phase = Phase::Claiming;
    RetransmitTimer m_retransmit;
    uint32_t m_retries = 0;
    bool m_mayHaveRun = false; // an attempt failed after the target may have begun it
    Time m_retryAt;
    std::vector<MemberId> m_triedMembers;
    Incarnation m_runnerIncarnation;
    AttemptId m_attempt;
    StoredBlob m_storedBlob; // the request as sent to runners; in FetchingAnswer, the answer that is fetched
    bool m_ranRemotely = false; // in FetchingAnswer: the answer is one of this claim, not of an earlier send
};

} // namespace cicadaward::request
