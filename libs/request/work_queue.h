// The queue of requests (jobs) that wait for a slot of the local target.
//
//     if (auto refusal = queue.push({ id, caller, deadline }))
//         refuse(refusal->retryAfter);
//     queue.setSlots(slots);
//     while (auto job = queue.pop())
//         dispatch(*job);
//     queue.onJobFinished(caller, serviceTime);
//
// The queue is short, because jobs in a long one wait until their answers are too late to be useful. It is fair between
// callers: the next job is one of the caller with the fewest running jobs, and of these callers the least recently
// served one; the jobs of one caller are ordered by deadline. When the queue is full, a caller with fewer waiting jobs
// displaces the job with the latest deadline of the caller with the most. A job that would not finish before its
// deadline at the observed service time is refused at once. pop() costs O(waiting callers), at most `maxWaiting`.
#pragma once

#include "core/clock.h"

#include <absl/container/btree_map.h>
#include <absl/container/flat_hash_map.h>
#include <cstdint>
#include <optional>
#include <vector>

namespace cicadaward::request {

class WorkQueue {
public:
    struct Job {
        uint64_t id = 0;
        uint32_t caller = 0;
        Time deadline;
    };
    struct Refusal {
        Duration retryAfter {};
    };

    WorkQueue(const Clock& clock, size_t maxWaiting)
        : m_clock(clock)
        , m_maxWaiting(maxWaiting)
    {
    }

    void setSlots(uint32_t slots) { m_slots = slots; }
    uint32_t slots() const { return m_slots; }
    size_t waiting() const { return m_waitingCount; }
    size_t running() const { return m_running; }

    std::optional<Refusal> push(const Job& job);
    // Returns the next job if a slot is free. Jobs whose deadline has passed move to takeDropped().
    std::optional<Job> pop();
    void onJobFinished(uint32_t caller, Duration serviceTime);
    // Returns false if the job is not waiting.
    bool remove(uint64_t id);
    // Returns the jobs that were displaced or whose deadline has passed. None of them has started.
    std::vector<Job> takeDropped();
    // The estimated time until a new job of this caller would start, if the callers are served in turn.
    Duration expectedWait(uint32_t caller) const;

private:
    struct Caller {
        absl::btree_map<std::pair<Time, uint64_t>, Job> waiting; // by deadline
        size_t running = 0;
        uint64_t lastServed = 0; // m_popCount at the last pop of a job of this caller
    };

    void dropExpired();
    void eraseIfIdle(uint32_t caller);

    const Clock& m_clock;
    size_t m_maxWaiting;
    uint32_t m_slots = 0;
    size_t m_waitingCount = 0;
    size_t m_running = 0;
    uint64_t m_popCount = 0;
    double m_meanServiceSeconds = 0; // exponential average with weight 1/8 for the newest value
    absl::flat_hash_map<uint32_t, Caller> m_callers;
    absl::btree_map<uint64_t, std::pair<uint32_t, Time>> m_index; // job to caller and deadline
    absl::btree_map<std::pair<Time, uint64_t>, uint32_t>
        m_deadlines; // deadline and job to caller, for all waiting jobs
    std::vector<Job> m_dropped;
};

} // namespace cicadaward::request
