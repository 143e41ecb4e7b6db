// Requests that this agent runs at its local target on behalf of the agent that holds the caller's connection.
//
// A RunRequest names its attempt. This process stores each attempt for the record lifetime, so that a duplicated or
// late message does not run it again and an attempt that was answered NotRun is never run. A message for an earlier
// process of this agent is dropped, because that process may have run the attempt.
#pragma once

#include "request/blob_transfer.h"
#include "request/ledger.h"
#include "request/local_target.h"

namespace cicadaward::request {

class RemoteRuns {
public:
    static constexpr size_t maxAttempts = 1 << 14; // stored attempts; messages with further ones are dropped

    RemoteRuns(const AgentView& view, Outbox& out, Ledger& ledger, LocalTarget& local, BlobTransfer& blobs)
        : m_view(view)
        , m_out(out)
        , m_ledger(ledger)
        , m_local(local)
        , m_blobs(blobs)
    {
    }

    // `job` is a number that is unique in this process.
    void on(MemberId from, const RunRequest& message, uint64_t job);
    void on(MemberId from, const RunCancel& message);
    // These return false if the number does not belong to a remote run.
    bool onResult(LocalTarget::Result& result);
    bool onFetched(const BlobTransfer::FetchResult& done);
    void tick();

    bool isIdle() const { return m_openByJob.empty(); }

private:
    struct Run {
        MemberId from;
        uint64_t job = 0;
        ClaimToken token;
        ClaimOrder order;
        Time deadline;
        std::shared_ptr<const Request> request; // null while it is being fetched and after the run has finished
        bool isFinished = false;
        RunResult result;
    };

    void submit(AttemptId attempt, Run& run, const std::string& bytes);
    void finish(AttemptId attempt, Run& run, RunOutcome outcome, const StoredBlob& answer);

    const AgentView& m_view;
    Outbox& m_out;
    Ledger& m_ledger;
    LocalTarget& m_local;
    BlobTransfer& m_blobs;
    absl::flat_hash_map<AttemptId, Run> m_runs;
    std::map<uint64_t, AttemptId> m_openByJob; // by job
    std::deque<std::pair<Time, AttemptId>> m_expiry;
};

} // namespace cicadaward::request
