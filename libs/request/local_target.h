// Runs jobs (requests) at the target of this agent: the queue in front of the target and the attempts in progress.
//
//     if (auto retryAfter = local.submit({ id, request, deadline }))
//         refuse(*retryAfter); // the job has not run and will not run
//     for (auto& result : local.takeResults()) ...
//
// Each dispatch has a new random attempt id. An answer or failure is used only while its attempt is open; late,
// duplicated and reordered ones are dropped and counted. `RunOutcome::NotRun` is reported only for jobs that were never
// dispatched, that were not sent to the target, or that the target refused before it began to run them.
#pragma once

#include "request/agent_view.h"
#include "request/work_queue.h"

namespace cicadaward::request {

class LocalTarget {
public:
    struct Job {
        uint64_t id = 0;
        std::shared_ptr<const Request> request;
        Time deadline;
    };
    struct Result {
        uint64_t id = 0;
        RunOutcome outcome = RunOutcome::Unknown;
        Answer answer;
    };

    LocalTarget(const AgentView& view, Outbox& out)
        : m_view(view)
        , m_out(out)
        , m_queue(view.clock, view.config.maxQueued)
    {
    }

    // Returns the time after which to try again if the job is refused, and nothing if it is queued.
    std::optional<Duration> submit(const Job& job);
    // Removes a waiting job, which then never starts and has no result. Returns false if the job is not waiting.
    bool removeWaiting(uint64_t id);
    // Cancels a started job: the target connection is closed and no result follows.
    void cancel(uint64_t id);

    void on(TargetAnswered& event);
    void on(const TargetFailed& event);
    void on(const SlotsChanged& event) { m_queue.setSlots(event.slots); }
    void on(const TargetStateChanged& event);
    // Starts waiting jobs while there are free slots.
    void dispatchWaiting();
    std::vector<Result> takeResults() { return std::exchange(m_results, {}); }

    size_t waiting() const { return m_queue.waiting(); }
    size_t running() const { return m_attempts.size(); }

private:
    struct Attempt {
        uint64_t job = 0;
        uint32_t caller = 0;
        bool headOnly = false;
        Time startedAt;
    };
    using Attempts = absl::flat_hash_map<AttemptId, Attempt>;

    void finishAttempt(Attempts::iterator attempt, RunOutcome outcome, Answer answer);
    void reportDropped();

    const AgentView& m_view;
    Outbox& m_out;
    WorkQueue m_queue;
    bool m_isTargetUp = true;
    Incarnation m_target;
    absl::flat_hash_map<uint64_t, Job> m_waiting;
    Attempts m_attempts;
    absl::flat_hash_map<uint64_t, AttemptId> m_attemptByJob; // by job
    std::vector<Result> m_results;
};

} // namespace cicadaward::request
